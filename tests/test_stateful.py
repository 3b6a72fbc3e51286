"""
Stateful fuzzing of entries and agents against the oracle.

    python -m tests test_stateful      the fixed examples of CI
    make fuzz                          a long random search; prints its seed
    FUZZ_SEED=7 FUZZ_EXAMPLES=500 python -m tests test_stateful
"""

import os
import unittest

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests import oracle
from tests.fleet import (
    ENTRIES,
    NORTH_ENTRY,
    NORTH_WORKERS,
    WORKERS,
    make_two_region_manifest,
    make_two_region_simulation,
)
from yuccarelay.core.effects import Accepted, IdMinted, Undecided
from yuccarelay.core.events import CancelRequested, IdRequested, QueryRequested

EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '80'))
LONG = 'FUZZ_EXAMPLES' in os.environ
SEED = int(os.environ.get('FUZZ_SEED', '1'))
ALL_ENTRIES = (*ENTRIES, NORTH_ENTRY)
ALL_WORKERS = (*WORKERS, *NORTH_WORKERS)
NEVER_MS = 10**9
JOBS = {
    'once': 1,
    'again': 1,
    'urgent': 1,
    'resumable': 1,
    'gang': 3,
    'wide-gang': 3,
    'soft-gang': 3,
}
# Jobs that may run only once and may not be evicted.
ONCE = ('once', 'gang', 'wide-gang')
SETTLE_TIME_MS = 90_000
# The retry budget allows only three retries a minute when few jobs start, so the last
# attempt of a job that fails may start late. It must still end.
ROUND_MS = 60_000
LATE_ROUNDS = 14


@seed(SEED)
class SystemMachine(RuleBasedStateMachine):
    """Callers, operators and faults in any order; the oracle checks the end state."""

    def __init__(self):
        super().__init__()
        self.simulation = make_two_region_simulation(seed=1)
        self.submissions: list[tuple[str, int, str, str]] = []
        self.asked: list[int] = []
        self.down: set[str] = set()
        self.paused: set[str] = set()
        self.drain_begin_ms: dict[str, int] = {}
        self.drains: list[tuple[str, int, int]] = []

    entries = st.sampled_from(ALL_ENTRIES)
    workers = st.sampled_from(ALL_WORKERS)

    @rule(
        entry=entries,
        organisation=st.sampled_from(['alder', 'birch']),
        job=st.sampled_from(sorted(JOBS)),
        run_ms=st.sampled_from([50, 1_500, 8_000]),
        fail=st.booleans(),
        key=st.sampled_from(['', '', 'k1', 'k2']),
        deaf=st.booleans(),
        count=st.integers(1, 3),
    )
    def submit(self, entry, organisation, job, run_ms, fail, key, deaf, count):
        if organisation == 'birch' and job == 'wide-gang':
            # Its cells in the north are too small, so it could never run there.
            job = 'gang'
        for _ in range(count):
            request_id = self.simulation.submit(
                entry,
                organisation,
                job,
                key=key,
                run_ms=run_ms,
                fail=fail and run_ms == 50,
                ignores_stop=deaf,
            )
            self.submissions.append((entry, request_id, organisation, job))

    @rule(entry=entries, organisation=st.sampled_from(['alder', 'birch']))
    def submit_minted(self, entry, organisation):
        request_id = self.simulation.request(
            entry,
            lambda number: IdRequested(number, organisation),
        )
        self.simulation.run(50)
        answer = self.simulation.find_response(entry, request_id)
        if isinstance(answer, IdMinted):
            request_id = self.simulation.submit(
                entry,
                organisation,
                'once',
                job_id=answer.job_id,
                run_ms=1_500,
            )
            self.submissions.append((entry, request_id, organisation, 'once'))

    @precondition(lambda self: self.submissions)
    @rule(data=st.data(), entry=entries, cancels=st.booleans())
    def follow(self, data, entry, cancels):
        accepted = sorted(self.find_accepted().items())
        if not accepted:
            return
        job_id, (organisation, _) = data.draw(st.sampled_from(accepted))
        make = CancelRequested if cancels else QueryRequested
        self.simulation.request(
            entry, lambda number: make(number, organisation, job_id)
        )

    @rule(duration_ms=st.sampled_from([10, 100, 1_000, 4_000, 15_000]))
    def wait(self, duration_ms):
        self.simulation.run(duration_ms)

    def is_up(self, address):
        if address in self.down | self.paused:
            return False
        return not self.simulation.processes[address].exited

    @rule(worker=workers, machine=st.booleans())
    def kill_agent(self, worker, machine):
        address = self.simulation.workers[worker].address
        if self.is_up(address):
            self.down.add(address)
            if machine:
                self.simulation.kill_worker(worker)
            else:
                self.simulation.kill(address)

    @rule(worker=workers)
    def kill_and_restart_agent(self, worker):
        address = self.simulation.workers[worker].address
        if self.is_up(address):
            self.simulation.kill(address)
            self.down.add(address)
            self.start_agent(worker)

    @rule(worker=workers, deadline_ms=st.sampled_from([0, 2_000, 20_000]))
    def drain_agent(self, worker, deadline_ms):
        address = self.simulation.workers[worker].address
        if self.is_up(address) and worker not in self.drain_begin_ms:
            self.drain_begin_ms[worker] = self.simulation.now_ms
            self.simulation.drain(address, deadline_ms)

    @rule(entry=entries, deadline_ms=st.sampled_from([0, 5_000, 30_000]))
    def drain_entry(self, entry, deadline_ms):
        if self.is_up(entry):
            self.simulation.drain(entry, deadline_ms)

    def start_agent(self, worker):
        self.simulation.start_agent(worker)
        self.down.discard(self.simulation.workers[worker].address)
        if worker in self.drain_begin_ms:
            from_ms = self.drain_begin_ms.pop(worker)
            self.drains.append((worker, from_ms, self.simulation.now_ms))

    @rule(entry=entries)
    def kill_entry(self, entry):
        if self.is_up(entry):
            self.simulation.kill(entry)
            self.down.add(entry)

    @rule(worker=workers)
    def restart_agent(self, worker):
        address = self.simulation.workers[worker].address
        if not self.is_up(address) and address not in self.paused:
            self.start_agent(worker)

    @rule(entry=entries)
    def restart_entry(self, entry):
        if not self.is_up(entry) and entry not in self.paused:
            self.start_entry(entry)

    def start_entry(self, entry):
        self.retain_responses(entry)
        self.simulation.add_entry(entry, 'north' if entry == NORTH_ENTRY else 'south')
        self.down.discard(entry)

    @rule(address=st.sampled_from([*ALL_ENTRIES, '127.0.0.1:9000', '127.0.0.1:9003']))
    def pause(self, address):
        if self.is_up(address):
            self.simulation.pause(address)
            self.paused.add(address)

    @precondition(lambda self: self.paused)
    @rule()
    def resume(self):
        self.simulation.resume(self.paused.pop())

    @rule(up=st.booleans())
    def set_store(self, up):
        if self.simulation.store.up is not up:
            self.simulation.store.set_up(up)

    @rule(count=st.integers(1, 3))
    def lose_store_answers(self, count):
        self.simulation.store.lost_answers = count

    @rule(delay_ms=st.sampled_from([0, 1_500, 3_500]))
    def slow_store(self, delay_ms):
        self.simulation.store.extra_delay_ms = delay_ms

    @rule(cut=st.booleans())
    def cut_region(self, cut):
        self.simulation.store.cut_region('north', cut)
        if cut:
            self.simulation.cut('north', 'south')
        else:
            self.simulation.heal()

    @rule(entry=entries, worker=workers)
    def cut_entry(self, entry, worker):
        self.simulation.cut(entry, self.simulation.workers[worker].address)

    @rule(one=workers, other=workers)
    def cut_workers(self, one, other):
        if one != other:
            addresses = [self.simulation.workers[name].address for name in (one, other)]
            self.simulation.cut(*addresses)

    @rule()
    def heal(self):
        self.simulation.heal()

    @rule(late=st.sampled_from([0.0, 0.1]), lose=st.sampled_from([0.0, 0.1]))
    def disturb(self, late, lose):
        self.simulation.faults = self.simulation.faults._replace(
            late=late,
            lose=lose,
            duplicate=late,
        )

    @rule()
    def commit_manifest(self):
        if self.simulation.store.up:
            self.simulation.store.put_manifest(make_two_region_manifest())

    def retain_responses(self, entry):
        earlier = self.simulation.processes[entry]
        self.simulation.processes[f'{entry}#{len(self.simulation.processes)}'] = earlier

    def find_accepted(self):
        found = {}
        for process in self.simulation.processes.values():
            for entry, request_id, organisation, job in self.submissions:
                answer = process.responses.get(request_id)
                is_asked = process.address == entry
                if is_asked and isinstance(answer, Accepted | Undecided):
                    found[answer.job_id] = (organisation, job)
        return found

    def recover(self):
        simulation = self.simulation
        simulation.heal()
        simulation.faults = simulation.faults._replace(late=0, lose=0, duplicate=0)
        simulation.store.lost_answers = 0
        simulation.store.extra_delay_ms = 0
        simulation.store.cut_region('north', False)
        if not simulation.store.up:
            simulation.store.set_up(True)
        for address in sorted(self.paused):
            simulation.resume(address)
        self.paused.clear()
        for entry in ALL_ENTRIES:
            if not self.is_up(entry) or simulation.processes[entry].core.state.draining:
                self.restart_process(entry)
                self.start_entry(entry)
        for worker in ALL_WORKERS:
            address = simulation.workers[worker].address
            if not self.is_up(address) or worker in self.drain_begin_ms:
                self.restart_process(address)
                self.start_agent(worker)
        simulation.run(SETTLE_TIME_MS)

    def restart_process(self, address):
        process = self.simulation.processes[address]
        if process.alive and not process.exited:
            self.simulation.kill(address)

    def teardown(self):
        self.recover()
        accepted = self.find_accepted()
        asked = self.query_until_ended(accepted)
        names = oracle.collect_job_names(self.simulation)
        once = {job_id for job_id, name in names.items() if name in ONCE}
        organisations = oracle.collect_organisations(self.simulation)
        pinned = {job_id: organisations[job_id] for job_id in once}
        members = {job_id: JOBS[name] for job_id, name in names.items()}
        faults = [
            *oracle.check_nothing_ran(self.simulation),
            *oracle.check_at_most_once(self.simulation, once),
            *oracle.check_completed(self.simulation, members),
            *oracle.check_whole_gangs(self.simulation, members),
            *oracle.check_generations(self.simulation),
            *oracle.check_capacity(self.simulation),
            *oracle.check_pinned(self.simulation, pinned),
            *oracle.check_draining(self.simulation, self.find_drains()),
            *self.check_ended(accepted, asked),
        ]
        assert not faults, '\n'.join([*self.simulation.lines, *faults])

    def query_until_ended(self, accepted):
        asked = self.query_all(accepted)
        for _ in range(LATE_ROUNDS):
            if not self.check_ended(accepted, asked):
                break
            self.simulation.run(ROUND_MS)
            asked = self.query_all(accepted)
        return asked

    def query_all(self, accepted):
        asked = {
            job_id: self.simulation.request(
                ENTRIES[0],
                lambda number, job_id=job_id, name=organisation: QueryRequested(
                    number,
                    name,
                    job_id,
                ),
            )
            for job_id, (organisation, _) in accepted.items()
        }
        self.simulation.run(5_000)
        return asked

    def find_drains(self):
        unfinished = [(name, ms, NEVER_MS) for name, ms in self.drain_begin_ms.items()]
        return [*self.drains, *unfinished]

    def check_ended(self, accepted, asked):
        faults = []
        for job_id, request_id in asked.items():
            answer = self.simulation.find_response(ENTRIES[0], request_id)
            durable = self.was_durable(job_id)
            if durable and getattr(answer, 'outcome', None) is None:
                faults.append(f'{job_id} has not ended: {answer}')
        return faults

    def was_durable(self, job_id):
        return any(
            isinstance(answer, Accepted) and answer.durable and answer.job_id == job_id
            for process in self.simulation.processes.values()
            for answer in process.responses.values()
        )


class StatefulTest(SystemMachine.TestCase):
    """Guards against double runs, lost jobs, false refusals and partial gangs."""

    settings = settings(
        max_examples=EXAMPLES,
        stateful_step_count=25,
        deadline=None,
        derandomize=not LONG,
        database=None,
        # Simulations take too long to shrink a failure of the long search.
        phases=[Phase.generate] if LONG else [Phase.generate, Phase.shrink],
        suppress_health_check=list(HealthCheck),
    )


if __name__ == '__main__':
    unittest.main()
