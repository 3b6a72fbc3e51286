"""
Stateful fuzzing of entries and agents against the oracle.

    python -m tests test_stateful                  the fixed examples of CI
    FUZZ_EXAMPLES=2000 python -m tests test_stateful   a long random search
"""

import os
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests import oracle
from tests.fleet import ENTRIES, WORKERS, make_manifest, make_session
from yuccarelay.core.events import (
    Accepted,
    CancelRequested,
    IdMinted,
    IdRequested,
    Queried,
    Undecided,
)

EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '40'))
LONG = 'FUZZ_EXAMPLES' in os.environ
JOBS = {'once': 1, 'again': 1, 'urgent': 1, 'resumable': 1, 'gang': 3, 'soft-gang': 3}
ONCE = ('once', 'gang')
SETTLE_TIME_MS = 60_000
# The retry budget lets three failed jobs a minute start again.
END_LIMIT_MS = 1_800_000


class SystemMachine(RuleBasedStateMachine):
    """Callers, operators and faults in any order; the oracle looks at the end."""

    def __init__(self):
        super().__init__()
        self.session = make_session(seed=1)
        self.submissions: list[tuple[str, int, str, str]] = []
        self.asked: list[int] = []
        self.down: set[str] = set()
        self.paused: set[str] = set()

    entries = st.sampled_from(ENTRIES)
    workers = st.sampled_from(WORKERS)

    @rule(
        entry=entries,
        organisation=st.sampled_from(['alder', 'birch']),
        job=st.sampled_from(sorted(JOBS)),
        run_ms=st.sampled_from([50, 1_500, 8_000]),
        fail=st.booleans(),
        key=st.sampled_from(['', '', 'k1', 'k2']),
        count=st.integers(1, 3),
    )
    def submit(self, entry, organisation, job, run_ms, fail, key, count):
        for _ in range(count):
            request_id = self.session.submit(
                entry,
                organisation,
                job,
                key=key,
                run_ms=run_ms,
                fail=fail and run_ms == 50,
            )
            self.submissions.append((entry, request_id, organisation, job))

    @rule(entry=entries, organisation=st.sampled_from(['alder', 'birch']))
    def submit_minted(self, entry, organisation):
        request_id = self.session.request(
            entry,
            lambda number: IdRequested(number, organisation),
        )
        self.session.run(50)
        answer = self.session.find_response(entry, request_id)
        if isinstance(answer, IdMinted):
            request_id = self.session.submit(
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
        make = CancelRequested if cancels else Queried
        self.session.request(entry, lambda number: make(number, organisation, job_id))

    @rule(duration_ms=st.sampled_from([10, 100, 1_000, 4_000, 15_000]))
    def wait(self, duration_ms):
        self.session.run(duration_ms)

    @rule(worker=workers)
    def kill_agent(self, worker):
        address = self.session.workers[worker].address
        if address not in self.down | self.paused:
            self.session.kill(address)
            self.down.add(address)

    @rule(entry=entries)
    def kill_entry(self, entry):
        if entry not in self.down | self.paused:
            self.session.kill(entry)
            self.down.add(entry)

    @rule(worker=workers)
    def restart_agent(self, worker):
        address = self.session.workers[worker].address
        if address in self.down:
            self.session.start_agent(worker)
            self.down.remove(address)

    @rule(entry=entries)
    def restart_entry(self, entry):
        if entry in self.down:
            self.keep_responses(entry)
            self.session.add_entry(entry, 'south')
            self.down.remove(entry)

    @rule(address=st.sampled_from([*ENTRIES, '127.0.0.1:9000', '127.0.0.1:9003']))
    def pause(self, address):
        if address not in self.down | self.paused:
            self.session.pause(address)
            self.paused.add(address)

    @precondition(lambda self: self.paused)
    @rule()
    def resume(self):
        self.session.resume(self.paused.pop())

    @rule(up=st.booleans())
    def set_store(self, up):
        if self.session.store.up is not up:
            self.session.store.set_up(up)

    @rule(count=st.integers(1, 3))
    def lose_store_answers(self, count):
        self.session.store.lost_answers = count

    @rule(entry=entries, worker=workers)
    def cut_entry(self, entry, worker):
        self.session.cut(entry, self.session.workers[worker].address)

    @rule(one=workers, other=workers)
    def cut_workers(self, one, other):
        if one != other:
            addresses = [self.session.workers[name].address for name in (one, other)]
            self.session.cut(*addresses)

    @rule()
    def heal(self):
        self.session.heal()

    @rule(late=st.sampled_from([0.0, 0.1]), lose=st.sampled_from([0.0, 0.1]))
    def disturb(self, late, lose):
        self.session.faults = self.session.faults._replace(
            late=late,
            lose=lose,
            duplicate=late,
        )

    @rule()
    def commit_manifest(self):
        if self.session.store.up:
            self.session.store.put_manifest(make_manifest())

    def keep_responses(self, entry):
        earlier = self.session.processes[entry]
        self.session.processes[f'{entry}#{len(self.session.processes)}'] = earlier

    def find_accepted(self):
        found = {}
        for process in self.session.processes.values():
            for entry, request_id, organisation, job in self.submissions:
                answer = process.responses.get(request_id)
                same = process.address == entry
                if same and isinstance(answer, Accepted | Undecided):
                    found[answer.job_id] = (organisation, job)
        return found

    def recover(self):
        session = self.session
        session.heal()
        session.faults = session.faults._replace(late=0, lose=0, duplicate=0)
        session.store.lost_answers = 0
        if not session.store.up:
            session.store.set_up(True)
        for address in sorted(self.paused):
            session.resume(address)
        for worker in WORKERS:
            if session.workers[worker].address in self.down:
                session.start_agent(worker)
        for entry in ENTRIES:
            if entry in self.down:
                self.keep_responses(entry)
                session.add_entry(entry, 'south')
        session.run(SETTLE_TIME_MS)
        session.run_until(self.has_ended, END_LIMIT_MS)

    def has_ended(self):
        return all(
            job.outcome is not None
            for entry in ENTRIES
            for job in self.session.processes[entry].core.state.jobs.values()
        )

    def teardown(self):
        self.recover()
        accepted = self.find_accepted()
        asked = {
            job_id: self.session.request(
                ENTRIES[0],
                lambda number, job_id=job_id, name=organisation: Queried(
                    number,
                    name,
                    job_id,
                ),
            )
            for job_id, (organisation, _) in accepted.items()
        }
        self.session.run(5_000)
        names = oracle.collect_job_names(self.session)
        once = {job_id for job_id, name in names.items() if name in ONCE}
        members = {job_id: JOBS[name] for job_id, name in names.items()}
        faults = [
            *oracle.check_nothing_ran(self.session),
            *oracle.check_at_most_once(self.session, once),
            *oracle.check_completed(self.session, members),
            *oracle.check_whole_gangs(self.session, members),
            *oracle.check_generations(self.session),
            *self.check_ended(accepted, asked),
        ]
        assert not faults, '\n'.join([*self.session.lines, *faults])

    def check_ended(self, accepted, asked):
        faults = []
        for job_id, request_id in asked.items():
            answer = self.session.find_response(ENTRIES[0], request_id)
            durable = self.was_durable(job_id)
            if durable and getattr(answer, 'outcome', None) is None:
                faults.append(f'{job_id} has not ended: {answer}')
        return faults

    def was_durable(self, job_id):
        return any(
            isinstance(answer, Accepted) and answer.durable and answer.job_id == job_id
            for process in self.session.processes.values()
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
        suppress_health_check=list(HealthCheck),
    )


if __name__ == '__main__':
    unittest.main()
