"""Free resources of the workers during one scheduling pass."""

from collections.abc import Iterable

from yuccarelay.core.batch.candidate_listing import (
    CandidateMaker,
    Listing,
    Slots,
    UnitTraits,
    find_traits,
    mark_own_step,
)
from yuccarelay.core.batch.entities import (
    STOP_STAGES,
    Reservation,
    Unit,
    WorkerView,
)
from yuccarelay.core.batch.models import Queue, Resources, Step
from yuccarelay.core.batch.planner_state import PlannerState
from yuccarelay.core.batch.polling import awaits_first_answers
from yuccarelay.core.batch.run_times import Quantile
from yuccarelay.core.batch.unit_placement import (
    Avoidance,
    Candidate,
    Suspicion,
    could_hold,
    fill_candidates,
    is_usable,
    resources_held,
)
from yuccarelay.core.batch.victim_search import (
    Victim,
    VictimsByAgent,
    group_victims,
)

# A unit that cannot be placed otherwise waits this long before it uses workers that it
# avoids or resources that are reserved in advance for others. Accepted work may be idle
# for 3 s while there is room for it.
LONGEST_IDLE_MS = 2_000
# Sick workers recover within this time. Until then a last attempt does not use one
# while others could hold it.
RECOVERY_MS = 8_000
# Others may use what is reserved in advance for a unit until it has waited this long.
# Later only work that does not delay it may, so that small tasks cannot hold up a large
# gang without an end.
BACKFILL_LIMIT_MS = 10_000
# While less than this share of a service is in use, most of it is idle, and work need
# not wait for the ends of other work.
IDLE_SHARE = 0.5


class CapacitySnapshot:
    """
    Free resources of the workers that take new work, updated as the pass decides.

    Runs, reservations and advance reservations hold resources. Computing the free
    resources again for each unit would take most of a pass on large fleets.
    """

    def __init__(self, planner_state: PlannerState, entitled: set[str]):
        self.planner_state = planner_state
        self.entitled = entitled
        self.advance_reservations: list[Reservation] = []
        self.open: dict[str, list[WorkerView]] = {}
        # Workers that would take new work if their failure domain were not evacuated.
        self.evacuated: dict[str, list[WorkerView]] = {}
        self.free: dict[str, Resources] = {}
        self.listings: dict[UnitTraits, Listing] = {}
        self.slots: dict[tuple[str, Resources], Slots] = {}
        # The workers in the order in which they have changed during the pass.
        self.changes: list[str] = []
        for view in planner_state.workers.values():
            if not is_open(view) or not planner_state.silent_agents.may_extend(
                view.agent
            ):
                continue
            if view.info.domain in planner_state.evacuated.domains:
                self.evacuated.setdefault(view.info.service, []).append(view)
            else:
                self.open.setdefault(view.info.service, []).append(view)
                self.free[view.agent] = view.info.capacity.minus(view.used())
        # What no run holds, whether it is reserved or not.
        self.unused = dict(self.free)
        for reservation in planner_state.reserved.values():
            self._subtract(reservation)
        self.ends: dict[Quantile, VictimsByAgent] = {}
        self.stopping: VictimsByAgent | None = None
        self.shares_in_use: dict[str, float] = {}
        # Units with one attempt left, by job, occurrence and step.
        self.last_attempts: dict[tuple[str, int, int], int] = {}
        cutoffs_ms = {
            service: planner_state.releases.find_cutoff_ms(
                service, planner_state.now.wall_ms
            )
            for service in self.open
        }
        # Whether a new planner has not heard all workers yet.
        self.awaits_answers = awaits_first_answers(planner_state)
        self.maker = CandidateMaker(planner_state, cutoffs_ms)

    def list_candidates(
        self, unit: Unit, queue: Queue, *, needs_speed: bool = False
    ) -> list[Candidate]:
        """Return the workers that may take a unit, with their free resources."""
        planner_state = self.planner_state
        step = planner_state.plans[unit.job].job.steps[unit.step]
        own_reservation = planner_state.reserved.get(tuple(unit))
        traits = find_traits(planner_state, unit, queue, needs_speed=needs_speed)
        listing = self._find_listing(traits)
        candidates = mark_own_step(planner_state, unit, listing)
        if own_reservation is not None:
            candidates = [
                add_reservation(candidate, own_reservation) for candidate in candidates
            ]
        return self._admit_avoided(unit, queue, step, candidates)

    def _find_listing(self, traits: UnitTraits) -> Listing:
        """Return the workers as they look to units with some traits."""
        listing = self.listings.get(traits)
        if listing is None:
            candidates = [
                self.maker.make(traits, view, self.free[view.agent])
                for view in self.open.get(traits.service, ())
            ]
            listing = self.listings[traits] = Listing(candidates, len(self.changes))
        else:
            for agent in set(self.changes[listing.changes_seen :]):
                position = listing.positions.get(agent)
                if position is not None:
                    listing.candidates[position] = self.maker.make(
                        traits, self.planner_state.workers[agent], self.free[agent]
                    )
            listing.changes_seen = len(self.changes)
        return listing

    def count_slots(self, service: str, need: Resources) -> int:
        """
        Return how many tasks fit beside what the workers of a service hold, at most.

        What is reserved does not count as free, also for the units it is reserved for.
        """
        slots = self.slots.get((service, need))
        if slots is None:
            agents = [view.agent for view in self.open.get(service, ())]
            slots = self.slots[service, need] = Slots(need, agents)
            slots.update(agents, self.free)
        else:
            slots.update(set(self.changes[slots.changes_seen :]), self.free)
        slots.changes_seen = len(self.changes)
        return slots.total

    def _admit_avoided(
        self, unit: Unit, queue: Queue, step: Step, candidates: list[Candidate]
    ) -> list[Candidate]:
        """
        Admit workers that a unit avoids, if it would wait for long without them.

        A fault that affects all workers that could hold a unit must not stop it. What
        only the unit itself holds against a worker ends first. A long-running task has
        no limit of attempts, so after some time it is better tried than away. In a
        fleet that is mostly idle, workers that are full may not become free, while
        work of other jobs fails on the free ones again and again.
        """
        if not any(candidate.avoided for candidate in candidates):
            return candidates
        wait = self.planner_state.plans[unit.job].waits[unit.tasks[0][1:]]
        waited_ms = self.planner_state.now.ms - wait.since_ms
        has_waited = waited_ms >= LONGEST_IDLE_MS
        is_idle = has_waited and self.is_idle(queue.service)
        if step.is_long_running and has_waited:
            return admit(candidates, *Avoidance)
        if is_idle and waited_ms >= RECOVERY_MS:
            return admit(candidates, *Avoidance)
        if is_idle:
            candidates = admit(candidates, Avoidance.FAILED_BEFORE, Avoidance.FAILING)
        if could_hold(step, len(unit.tasks), candidates):
            return candidates
        candidates = admit(candidates, Avoidance.FAILED_BEFORE)
        if could_hold(step, len(unit.tasks), candidates):
            return candidates
        is_any_left = any(
            is_usable(step, candidate) and not candidate.avoided
            for candidate in candidates
        )
        is_last_attempt = any(
            candidate.avoidance is Avoidance.LAST_ATTEMPT for candidate in candidates
        )
        if (is_any_left or is_last_attempt) and not has_waited:
            return candidates
        return admit(candidates, *Avoidance)

    def refresh(self, agents: Iterable[str]) -> None:
        """Recompute the free resources of some workers after a decision."""
        for agent in set(agents) & self.free.keys():
            view = self.planner_state.workers[agent]
            free = view.info.capacity.minus(view.used())
            self.unused[agent] = free
            for reservation in (
                *self.planner_state.reserved.values(),
                *self.advance_reservations,
            ):
                for _ in range(reservation.placement.count(agent)):
                    free = free.minus(reservation.need)
            self.free[agent] = free
            self.changes.append(agent)

    def add_advance_reservation(self, reservation: Reservation) -> None:
        """Withhold resources from the units that are placed later in the pass."""
        self.advance_reservations.append(reservation)
        self._subtract(reservation)

    def _subtract(self, reservation: Reservation) -> None:
        for agent in reservation.placement:
            if agent in self.free:
                self.free[agent] = self.free[agent].minus(reservation.need)
                self.changes.append(agent)

    def list_backfill(
        self, unit: Unit, queue: Queue, candidates: list[Candidate]
    ) -> list[Candidate]:
        """
        Return the candidates with what is reserved in advance, or none if it is kept.

        An advance reservation keeps a full fleet from being filled with small tasks. In
        one that is mostly idle it would keep work waiting beside free resources. What a
        unit that has waited for `BACKFILL_LIMIT_MS` has reserved is kept from work that
        would delay it. On any fleet, a job may have nothing running for 3 s beside room
        for it twice over, and a long-running task may be away for 6 s.
        """
        now_ms = self.planner_state.now.ms
        plan = self.planner_state.plans[unit.job]
        wait = plan.waits[unit.tasks[0][1:]]
        step = plan.job.steps[unit.step]
        is_long_running = step.is_long_running
        if not self.advance_reservations or now_ms < wait.since_ms + LONGEST_IDLE_MS:
            return []
        is_idle_beside_room = is_long_running or self._is_idle_beside_room(
            unit, candidates
        )
        if not is_idle_beside_room and not self.is_idle(queue.service):
            return []
        end_ms = now_ms + self.planner_state.run_times.total_ms(
            queue.name, step, Quantile.HIGH
        )
        usable = [
            reservation
            for reservation in self.advance_reservations
            if is_idle_beside_room
            or now_ms < reservation.backfill_until_ms
            or end_ms <= reservation.start_ms
        ]
        return self._add_withheld(step, usable, candidates)

    def _is_idle_beside_room(self, unit: Unit, candidates: list[Candidate]) -> bool:
        """
        Whether a job has nothing running, beside room for it twice over.

        Users count all that no run holds. A job with one unit at work does not count,
        so small tasks cannot fill what is reserved for a gang.
        """
        plan = self.planner_state.plans[unit.job]
        if plan.runs:
            return False
        step = plan.job.steps[unit.step]
        room = [
            candidate._replace(free=self.unused[candidate.agent])
            for candidate in candidates
            if is_usable(step, candidate)
        ]
        return fill_candidates(step, 2 * len(unit.tasks), room) is not None

    def _add_withheld(
        self, step: Step, withheld: list[Reservation], candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the candidates with what is withheld, or none if that is no use."""
        agents = {agent for reservation in withheld for agent in reservation.placement}
        need = resources_held(step)
        found, is_of_use = [], False
        for candidate in candidates:
            if candidate.agent in agents and not candidate.avoided:
                for reservation in withheld:
                    candidate = add_reservation(candidate, reservation)
                is_of_use |= candidate.free.holds(need)
            found.append(candidate)
        return found if is_of_use else []

    def is_idle(self, service: str) -> bool:
        """
        Whether most of a service is not in use, by its accelerators if any.

        It is that at the first call in the pass.
        """
        if service not in self.shares_in_use:
            self.shares_in_use[service] = self._sum_share_in_use(service)
        return self.shares_in_use[service] < IDLE_SHARE

    def _sum_share_in_use(self, service: str) -> float:
        total, used = Resources(), Resources()
        for view in self.open.get(service, ()):
            total, used = total.plus(view.info.capacity), used.plus(view.used())
        if total.accelerators:
            return used.accelerators / total.accelerators
        return used.millicores / total.millicores if total.millicores else 1.0

    def list_stopping(self) -> VictimsByAgent:
        """Return the runs on each worker that are being stopped, at no cost."""
        if self.stopping is None:
            self.stopping = group_victims(
                Victim(tuple(run.task), ((run.worker.agent, run.need),), 0.0)
                for view in self.planner_state.workers.values()
                for run in view.runs.values()
                if run.stage in STOP_STAGES
            )
        return self.stopping

    def list_expected_ends(self, quantile: Quantile) -> VictimsByAgent:
        """Return the runs on each worker that will end, with these ends as costs."""
        planner_state = self.planner_state
        if quantile not in self.ends:
            self.ends[quantile] = group_victims(
                Victim(
                    key=tuple(run.task),
                    freed=((run.worker.agent, run.need),),
                    cost=planner_state.expected_end_ms(run, quantile),
                )
                for view in planner_state.workers.values()
                for run in view.runs.values()
                if planner_state.will_end(run)
            )
        return self.ends[quantile]


def admit(candidates: list[Candidate], *reasons: Avoidance) -> list[Candidate]:
    """
    Return the candidates, with those admitted that are avoided for one of the reasons.

    Others come first.
    """
    return [
        candidate._replace(avoidance=None, suspicion=Suspicion.FAILED)
        if candidate.avoidance in reasons
        else candidate
        for candidate in candidates
    ]


def add_reservation(candidate: Candidate, reservation: Reservation) -> Candidate:
    """Return a candidate with the resources that a reservation holds on it."""
    free = candidate.free
    for _ in range(reservation.placement.count(candidate.agent)):
        free = free.plus(reservation.need)
    return candidate._replace(free=free)


def is_open(view: WorkerView) -> bool:
    """Whether a worker takes new work."""
    info = view.info
    return (
        info is not None
        and view.read_ms > 0
        and view.basis is not None
        and not info.draining
        and not view.has_orphans
        and view.is_settled
    )
