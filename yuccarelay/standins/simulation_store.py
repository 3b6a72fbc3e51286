"""
Simulated store that takes store effects and answers with store events.

It can be down, unreachable from one region, slow, and it can drop the answer to a
write that took effect.
"""

from typing import TYPE_CHECKING

from yuccarelay.core.effects import (
    CreateRecord,
    Deregister,
    LoadOpenRecords,
    LoadRecord,
    ProposePlan,
    ReplaceRecord,
)
from yuccarelay.core.events import (
    Conflict,
    EntriesSeen,
    KeyTaken,
    Loaded,
    LoadedMany,
    ManifestSeen,
    Missing,
    PlanSeen,
    Registered,
    RegistrationLost,
    Stored,
    StoreHealthChanged,
    StoreReplied,
    StoreResult,
    Unavailable,
)
from yuccarelay.core.guarantee_plan import Plan
from yuccarelay.core.manifest import Manifest
from yuccarelay.core.models import EntryRef, JobRecord, JobState

if TYPE_CHECKING:
    from yuccarelay.standins.simulation import Simulation
    from yuccarelay.standins.simulation_types import Process

CALL_DELAY_MS = 4
LEASE_MS = 10_000
KEEP_ALIVE_MS = 3_000
CALL_DEADLINE_MS = 2_000


class SimulatedStore:
    """Records, configuration and registrations of a simulation; counts the calls."""

    def __init__(self, simulation: 'Simulation'):
        self.simulation = simulation
        self.up = True
        self.lost_answers = 0
        self.extra_delay_ms = 0
        self.cut_regions: set[str] = set()
        self.revision = 1
        self.calls = 0
        self.writes = 0
        self.records: dict[str, tuple[JobRecord, int]] = {}
        self.keys: dict[tuple[str, str], str] = {}
        self.manifest: tuple[int, Manifest] | None = None
        self.plans: dict[str, Plan] = {}
        self.plan_history: list[Plan] = []
        self.entries: dict[str, EntryRef] = {}
        self.lease_deadlines: dict[str, int] = {}
        self.members: dict[str, Process] = {}
        self.reported_up: dict[str, bool] = {}
        self.renewed_ms: dict[str, int] = {}
        self.lapsed: set[str] = set()

    # Faults and operator actions

    def set_up(self, up: bool) -> None:
        """Start or end an outage; leases do not expire during an outage."""
        self.up = up
        self.simulation.write_line('store', up=up)
        if up:
            for address in self.lease_deadlines:
                self.lease_deadlines[address] = self.simulation.now_ms + LEASE_MS
            self._schedule_notifications()

    def reaches(self, process: 'Process') -> bool:
        """Whether a process can reach the store."""
        return self.up and process.region not in self.cut_regions

    def cut_region(self, region: str, cut: bool) -> None:
        """Start or end an outage that only affects one region."""
        self.simulation.write_line('store_cut', region=region, cut=cut)
        if cut:
            self.cut_regions.add(region)
        else:
            self.cut_regions.discard(region)
            self._schedule_notifications()

    def put_manifest(self, manifest: Manifest) -> int:
        """Commit a manifest and return its generation."""
        generation = self.manifest[0] + 1 if self.manifest else 1
        self.manifest = (generation, manifest)
        self.simulation.write_line('commit', generation=generation)
        self._schedule_notifications()
        return generation

    # Registration

    def register(self, process: 'Process') -> None:
        """Register an entry and start to renew its lease."""
        self.members[process.address] = process
        self.reported_up.pop(process.address, None)
        self.simulation.at(CALL_DELAY_MS, lambda: self._register(process))

    def forget(self, process: 'Process') -> None:
        """Stop renewing the lease of an ended process, so that it expires."""
        if self.members.get(process.address) is process:
            del self.members[process.address]

    def _register(self, process: 'Process') -> None:
        if self.members.get(process.address) is not process:
            return
        if not self.reaches(process) or process.paused:
            self.simulation.at(KEEP_ALIVE_MS, lambda: self._register(process))
            return
        self.calls += 1
        self.revision += 1
        self._end_lease(process.address)
        reference = EntryRef(self.revision, process.region, process.address)
        self.entries[process.address] = reference
        self.lease_deadlines[process.address] = self.simulation.now_ms + LEASE_MS
        self.renewed_ms[process.address] = self.simulation.now_ms
        self.lapsed.discard(process.address)
        deliver = self.simulation.deliver
        self._notify_health(process, True)
        deliver(process, Registered(reference.incarnation))
        self._schedule_notifications()
        self.simulation.at(KEEP_ALIVE_MS, lambda: self._keep_alive(process, reference))

    def _keep_alive(self, process: 'Process', reference: EntryRef) -> None:
        if self.members.get(process.address) is not process:
            self._watch_lease(process.address, reference)
            return
        if process.paused or not self.reaches(process):
            self._notify_health(process, self.reaches(process))
            self._watch_lease(process.address, reference)
            self._notify_lapse(process, reference)
            self.simulation.at(100, lambda: self._keep_alive(process, reference))
            return
        self.calls += 1
        self._notify_health(process, True)
        lapsed = process.address in self.lapsed
        if self.entries.get(process.address) != reference or lapsed:
            self.simulation.deliver(process, RegistrationLost())
            self._register(process)
            return
        self.lease_deadlines[process.address] = self.simulation.now_ms + LEASE_MS
        self.renewed_ms[process.address] = self.simulation.now_ms
        self.simulation.at(KEEP_ALIVE_MS, lambda: self._keep_alive(process, reference))

    def _notify_lapse(self, process: 'Process', reference: EntryRef) -> None:
        # An entry treats its lease as expired if it could not renew it in time, even
        # when the store suspends expiry during an outage.
        due_ms = self.renewed_ms.get(process.address, 0) + LEASE_MS
        if self.simulation.now_ms >= due_ms and process.address not in self.lapsed:
            self.lapsed.add(process.address)
            self.simulation.deliver(process, RegistrationLost())

    def _watch_lease(self, address: str, reference: EntryRef) -> None:
        if self.entries.get(address) != reference:
            return
        if self.up and self.simulation.now_ms >= self.lease_deadlines.get(address, 0):
            self._end_lease(address)
            self._schedule_notifications()
        elif address not in self.members:
            self.simulation.at(100, lambda: self._watch_lease(address, reference))

    def _end_lease(self, address: str) -> None:
        self.entries.pop(address, None)
        self.lease_deadlines.pop(address, None)

    def _notify_health(self, process: 'Process', up: bool) -> None:
        if self.reported_up.get(process.address) is not up:
            self.reported_up[process.address] = up
            self.simulation.deliver(process, StoreHealthChanged(up))

    def _schedule_notifications(self) -> None:
        self.simulation.at(CALL_DELAY_MS, self._notify_members)

    def _notify_members(self) -> None:
        if not self.up:
            return
        entries = tuple(sorted(self.entries.values()))
        for process in list(self.members.values()):
            if self.entries.get(process.address) is None or not self.reaches(process):
                continue
            if not self.reaches(process):
                continue
            deliver = self.simulation.deliver
            deliver(process, EntriesSeen(entries))
            if self.manifest is not None:
                deliver(process, ManifestSeen(*self.manifest))
            plan = self.plans.get(process.region)
            if plan is not None:
                deliver(process, PlanSeen(plan))

    # Calls

    def take(self, process: 'Process', effect: object) -> None:
        """Execute a store effect after a delay."""
        self.simulation.at(CALL_DELAY_MS, lambda: self._execute(process, effect))

    def _execute(self, process: 'Process', effect: object) -> None:
        self.calls += 1
        if not self.reaches(process):
            self._reply(process, effect, Unavailable(ambiguous=False))
            self._notify_health(process, False)
            return
        match effect:
            case ProposePlan(plan):
                known = self.plans.get(process.region)
                if plan.epoch == (known.epoch + 1 if known else 1):
                    self.plans[process.region] = plan
                    self.plan_history.append(plan)
                    self._schedule_notifications()
                return
            case Deregister():
                self._end_lease(process.address)
                self.members.pop(process.address, None)
                self._schedule_notifications()
                return
        is_write = isinstance(effect, CreateRecord | ReplaceRecord)
        result = self._apply(effect)
        if is_write and self.lost_answers:
            self.lost_answers -= 1
            self.simulation.at(
                CALL_DEADLINE_MS,
                lambda: self._reply(process, effect, Unavailable(ambiguous=True)),
            )
            return
        self.simulation.at(
            CALL_DELAY_MS + self.extra_delay_ms,
            lambda: self._reply(process, effect, result),
        )

    def _apply(self, effect: object) -> StoreResult:
        match effect:
            case CreateRecord(_, record):
                return self._create(record)
            case ReplaceRecord(_, record, revision):
                return self._replace(record, revision)
            case LoadRecord(_, job_id):
                known = self.records.get(job_id)
                return Loaded(*known) if known else Missing()
            case LoadOpenRecords():
                records = [
                    Loaded(record, revision)
                    for record, revision in self.records.values()
                    if record.state is not JobState.ENDED
                ]
                return LoadedMany(tuple(records))
        raise TypeError(f'not a store effect: {effect!r}')

    def _create(self, record: JobRecord) -> StoreResult:
        binding = (record.organisation, record.key)
        if record.key and binding in self.keys:
            return KeyTaken(self.keys[binding])
        if record.job_id in self.records:
            return Conflict(*self.records[record.job_id])
        if record.key:
            self.keys[binding] = record.job_id
        return self._put(record)

    def _replace(self, record: JobRecord, revision: int) -> StoreResult:
        known = self.records.get(record.job_id)
        if known is None:
            return Missing()
        if known[1] != revision:
            return Conflict(*known)
        return self._put(record)

    def _put(self, record: JobRecord) -> Stored:
        self.writes += 1
        self.revision += 1
        self.records[record.job_id] = (record, self.revision)
        return Stored(self.revision)

    def _reply(self, process: 'Process', effect: object, result: StoreResult) -> None:
        tag = getattr(effect, 'tag', None)
        if tag is not None:
            self.simulation.deliver(process, StoreReplied(tag, result))
