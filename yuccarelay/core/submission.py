"""Checks of a submission against the manifest, and the choice of its region."""

from result import Err, Ok, Result

from yuccarelay.core.effects import NotAccepted
from yuccarelay.core.manifest import FieldError, Manifest
from yuccarelay.core.models import JobSpec


def find_spec(
    manifest: Manifest,
    organisation: str,
    job_name: str,
) -> Result[JobSpec, NotAccepted]:
    """Return the specification of a job, or why the caller may not run it."""
    owner = manifest.organisations.get(organisation)
    if owner is None:
        return Err(_refuse('unknown_organisation', 'organisation', organisation))
    spec = owner.jobs.get(job_name)
    if spec is None:
        return Err(_refuse('unknown_job', 'job', job_name))
    return Ok(spec)


def choose_region(manifest: Manifest, spec: JobSpec, own_region: str) -> str:
    """
    Return the region that a job is run in.

    It is the entry's own region if the organisation has guaranteed cells of the
    service there, or has none anywhere and the region offers the service. Traffic
    between regions is paid for, so a job leaves its region only for a reason.
    """
    offering = {rack.region for rack in manifest.racks if rack.service == spec.service}
    owned = {
        region
        for guaranteed in manifest.organisations[spec.organisation].guarantee
        if guaranteed.cell.service == spec.service
        for region in ({guaranteed.cell.region} if guaranteed.cell.region else offering)
    }
    suitable = owned or offering
    return own_region if own_region in suitable else min(suitable, default=own_region)


def _refuse(code: str, field: str, value: str) -> NotAccepted:
    rule = f'{value!r} is not in the manifest in force'
    return NotAccepted(code, (FieldError(field, rule),))
