"""Whether a submission may be accepted at all."""

from result import Err, Ok, Result

from yuccarelay.core.events import NotAccepted
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


def _refuse(code: str, field: str, value: str) -> NotAccepted:
    rule = f'{value!r} is not in the manifest in force'
    return NotAccepted(code, (FieldError(field, rule),))
