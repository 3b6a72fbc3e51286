"""Report on each organisation for operators."""

from typing import TypedDict

from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.guarantee_plan import Plan, list_plan_requests, unplaced_cells
from yuccarelay.core.models import JobState
from yuccarelay.core.packing import CellRequest
from yuccarelay.core.plan_proposal import select_region

# Column of the report in which a job of each state is counted.
PHASES = {
    JobState.RECORDING: 'queued',
    JobState.QUEUED: 'queued',
    JobState.ACQUIRING: 'starting',
    JobState.LAUNCHING: 'starting',
    JobState.RUNNING: 'running',
    JobState.SETTLING: 'settling',
}


class MissingCell(TypedDict):
    """A cell of the guarantee and how many equal ones have no workers."""

    workers: int
    accelerators: int
    within: str
    service: str
    count: int


class OrganisationReport(TypedDict):
    """
    State of an organisation.

    `queued`, `starting`, `running` and `settling` count the jobs of this entry.
    `guaranteed` and `borrowed` count the accelerators in use in the region, `owned`
    those that the plan assigns, and `cells` the guaranteed cells.
    """

    organisation: str
    queued: int
    starting: int
    running: int
    settling: int
    guaranteed: int
    borrowed: int
    owned: int
    cells: int
    cells_without_workers: list[MissingCell]


def report_organisations(state: EntryState) -> list[OrganisationReport]:
    """Return the state of all organisations of the manifest in force, by name."""
    if state.manifest is None:
        return []
    reports = {
        name: _make_report(name) for name in sorted(state.manifest.organisations)
    }
    for job in state.jobs.values():
        phase = PHASES.get(job.state)
        if phase and job.spec.organisation in reports:
            reports[job.spec.organisation][phase] += 1
    _add_usage(state, reports)
    _add_cells(state, reports)
    return list(reports.values())


def _make_report(name: str) -> OrganisationReport:
    return OrganisationReport(
        organisation=name,
        queued=0,
        starting=0,
        running=0,
        settling=0,
        guaranteed=0,
        borrowed=0,
        owned=0,
        cells=0,
        cells_without_workers=[],
    )


def _add_usage(state: EntryState, reports: dict[str, OrganisationReport]) -> None:
    for record in state.view.workers.values():
        for grant in record.state.grants:
            if grant.organisation in reports:
                kind = 'guaranteed' if grant.guaranteed else 'borrowed'
                reports[grant.organisation][kind] += grant.accelerators
    for shares in state.view.owned.values():
        for name, accelerators in shares.items():
            if name in reports:
                reports[name]['owned'] += accelerators


def _add_cells(state: EntryState, reports: dict[str, OrganisationReport]) -> None:
    manifest = select_region(state.manifest, state.entry.region)
    for request in list_plan_requests(manifest):
        reports[request.organisation]['cells'] += 1
    plan = state.plan or Plan(epoch=0, generation=0, assignments=())
    for request in unplaced_cells(manifest, plan):
        _count_missing(reports[request.organisation], request)


def _count_missing(report: OrganisationReport, request: CellRequest) -> None:
    cell = request.cell
    missing = MissingCell(
        workers=cell.workers,
        accelerators=cell.accelerators,
        within=cell.within.value,
        service=cell.service,
        count=0,
    )
    for known in report['cells_without_workers']:
        if {**known, 'count': 0} == missing:
            known['count'] += 1
            return
    report['cells_without_workers'].append({**missing, 'count': 1})
