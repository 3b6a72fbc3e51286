"""Proposal of a new guarantee plan for the region of an entry."""

from yuccarelay.core.effects import ProposePlan
from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.guarantee_plan import Plan, assign_cells
from yuccarelay.core.manifest import Manifest
from yuccarelay.core.timing import REPLAN_ABSENCE_MS

PLAN_INTERVAL_MS = 1_000
# The entry with the lowest incarnation proposes first and each following one waits
# this much longer, so that entries rarely propose at the same time.
RANK_DELAY_MS = 5_000


class PlanProposer:
    """Compares the plan in force with the view and proposes a new one if needed."""

    def __init__(self, state: EntryState):
        self.state = state
        self.next_check_ms = 0
        self.serving_since_ms: int | None = None
        self.outdated_since_ms: int | None = None

    def tick(self, now_ms: int) -> None:
        """Propose a plan when the one in force does not match the live workers."""
        state = self.state
        if now_ms < self.next_check_ms:
            return
        self.next_check_ms = now_ms + PLAN_INTERVAL_MS
        if not state.is_serving or state.fenced or not state.store_up:
            self.serving_since_ms = None
            return
        if self.serving_since_ms is None:
            self.serving_since_ms = now_ms
        plan = self._make_plan()
        if plan is state.plan or not self._is_view_complete(now_ms):
            self.outdated_since_ms = None
            return
        if self.outdated_since_ms is None:
            self.outdated_since_ms = now_ms
        if now_ms >= self.outdated_since_ms + self._find_rank() * RANK_DELAY_MS:
            self.outdated_since_ms = now_ms
            state.outbox.add(ProposePlan(plan))
            state.outbox.log(
                'plan_proposed', epoch=plan.epoch, cells=len(plan.assignments)
            )

    def _make_plan(self) -> Plan | None:
        state = self.state
        workers = [record.state for record in state.view.workers.values()]
        if not workers and state.plan is None:
            return None
        return assign_cells(
            select_region(state.manifest, state.entry.region),
            state.generation,
            workers,
            state.plan,
            self._find_pinned(),
        )

    def _find_pinned(self) -> frozenset[tuple[str, int]]:
        # A cell is pinned if guaranteed work runs on one of its workers.
        busy = {
            (grant.organisation, worker_id)
            for worker_id, record in self.state.view.workers.items()
            for grant in record.state.grants
            if grant.guaranteed
        }
        assignments = self.state.plan.assignments if self.state.plan else ()
        return frozenset(
            (assignment.organisation, assignment.ordinal)
            for assignment in assignments
            if any(
                (assignment.organisation, worker) in busy
                for worker in assignment.workers
            )
        )

    def _is_view_complete(self, now_ms: int) -> bool:
        # After a start the view is incomplete until the workers have announced. A
        # worker of the plan in force counts as absent only after `REPLAN_ABSENCE_MS`.
        if self.state.plan is None:
            return True
        if now_ms >= self.serving_since_ms + REPLAN_ABSENCE_MS:
            return True
        return all(
            worker in self.state.view.workers
            for assignment in self.state.plan.assignments
            for worker in assignment.workers
        )

    def _find_rank(self) -> int:
        own = self.state.entry
        return sum(
            entry.region == own.region and entry.incarnation < own.incarnation
            for entry in self.state.entries
        )


def select_region(manifest: Manifest, region: str) -> Manifest:
    """Return a manifest with the racks of a region and the cells that may be there."""
    organisations = {
        name: organisation._replace(
            guarantee=tuple(
                cell
                for cell in organisation.guarantee
                if cell.cell.region in ('', region)
            ),
        )
        for name, organisation in manifest.organisations.items()
    }
    return manifest._replace(
        racks=tuple(rack for rack in manifest.racks if rack.region == region),
        organisations=organisations,
    )
