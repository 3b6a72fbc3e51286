"""Tests of the queue order, admission, run times and advance reservations."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from yuccarelay.core import admission, advance_reservation, history, ordering
from yuccarelay.core.models import Adjacency, JobClass, JobSpec
from yuccarelay.core.ordering import Fifo, JobQueue, QueuedJob
from yuccarelay.core.placement import Candidate

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS


def make_job(job_id: str, organisation: str = 'a', spec=None, **changes) -> QueuedJob:
    values = {'submitted_ms': 0, 'start_deadline_ms': ordering.NO_DEADLINE_MS}
    values |= changes
    values['spec'] = JobSpec(organisation, 'print', 'reorder', **(spec or {}))
    return QueuedJob(job_id, **values)


def list_ids(jobs: list[QueuedJob]) -> list[str]:
    return [job.job_id for job in jobs]


def push_all(queue, *jobs: QueuedJob):
    for job in jobs:
        queue.push(job)
    return queue


JOBS = st.builds(
    lambda number, organisation, job_class, **changes: make_job(
        f'1-{number}', organisation, {'job_class': job_class}, **changes
    ),
    number=st.integers(0, 9),
    organisation=st.sampled_from('abc'),
    job_class=st.sampled_from(JobClass),
    submitted_ms=st.integers(0, HOUR_MS),
    start_deadline_ms=st.integers(0, 3 * HOUR_MS),
    attained_ms=st.integers(0, 30 * HOUR_MS),
    not_before_ms=st.integers(0, 2 * HOUR_MS),
)
STEPS = st.lists(
    st.one_of(
        JOBS,
        st.integers(0, 9).map('1-{}'.format),
        st.integers(0, 10 * MINUTE_MS),
    ),
    max_size=60,
)


class ConservationTest(unittest.TestCase):
    """Guards against a queue that loses, duplicates or wrongly drops a job."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=400)
    @given(STEPS, st.sampled_from([JobQueue, Fifo]))
    def test_queue_holds_exactly_the_jobs_of_a_plain_dictionary(self, steps, kind):
        queue, oracle, now_ms = kind(), {}, 0
        for step in steps:
            match step:
                case QueuedJob(job_id):
                    if job_id not in oracle:
                        oracle[job_id] = step
                        queue.push(step)
                case str(job_id):
                    self.assertEqual(queue.remove(job_id), oracle.pop(job_id, None))
                case passed_ms:
                    now_ms += passed_ms
                    late = {j for j in oracle.values() if j.start_deadline_ms < now_ms}
                    taken = queue.take_expired(now_ms)
                    self.assertEqual(sorted(taken), sorted(late))
                    oracle = {k: j for k, j in oracle.items() if j not in late}
            ready = [j for j in oracle.values() if j.not_before_ms <= now_ms]
            ordered = queue.order(now_ms, limit=100)
            self.assertEqual(sorted(list_ids(ordered)), sorted(list_ids(ready)))
            self.assertEqual(queue.order(now_ms, limit=3), ordered[:3])
            if kind is JobQueue:
                ranks = [ordering.rank_class(job, now_ms) for job in ordered]
                self.assertEqual(ranks, sorted(ranks))
            for name in 'abc':
                depth = sum(j.spec.organisation == name for j in oracle.values())
                self.assertEqual(queue.depth(name), depth)

    def test_second_push_of_an_id_raises(self):
        for queue in (JobQueue(), Fifo()):
            queue.push(make_job('1-1'))
            with self.assertRaises(ValueError):
                queue.push(make_job('1-1'))

    def test_deadline_of_an_earlier_push_does_not_expire_a_retry(self):
        queue = push_all(JobQueue(), make_job('1-1', start_deadline_ms=10))
        queue.remove('1-1')
        queue.push(make_job('1-1', attempt=1))
        self.assertEqual(queue.take_expired(11), [])

    def test_stale_deadlines_stay_bounded(self):
        queue = JobQueue()
        for number in range(1_000):
            queue.push(make_job(f'1-{number}'))
            queue.remove(f'1-{number}')
        self.assertLessEqual(len(queue.deadlines.heap), ordering.STALE_DEADLINES + 1)


class OrderTest(unittest.TestCase):
    """Guards against starvation and against shares that ignore weights or past use."""

    def test_waiting_job_rises_by_one_class_per_ageing_time(self):
        deferrable = make_job('1-1', spec={'job_class': JobClass.DEFERRABLE})
        step_ms = ordering.AGEING_MS[JobClass.DEFERRABLE]
        times = (0, step_ms - 1, step_ms, 2 * step_ms, 9 * step_ms)
        ranks = [ordering.rank_class(deferrable, time_ms) for time_ms in times]
        self.assertEqual(ranks, [2, 2, 1, 0, 0])

    def test_share_per_weight_decides_between_organisations(self):
        queue = push_all(JobQueue(), make_job('1-1', 'a'), make_job('1-2', 'b'))
        queue.charge('a', 3 * HOUR_MS)
        queue.charge('b', 2 * HOUR_MS)
        self.assertEqual(list_ids(queue.order(0, 2)), ['1-2', '1-1'])
        queue.set_weights({'a': 2})
        self.assertEqual(list_ids(queue.order(0, 2)), ['1-1', '1-2'])

    def test_order_alternates_between_equal_organisations(self):
        names = ['a', 'a', 'a', 'b', 'b', 'b']
        jobs = [make_job(f'1-{i}', name) for i, name in enumerate(names)]
        ordered = push_all(JobQueue(), *jobs).order(0, 6)
        self.assertEqual([j.spec.organisation for j in ordered], list('ababab'))

    def test_past_use_decays(self):
        queue = push_all(JobQueue(), make_job('1-1', 'a'), make_job('1-2', 'b'))
        queue.charge('a', 10 * HOUR_MS)
        queue.order(0, 2)
        later_ms = 2 * ordering.SHARE_HALF_LIFE_MS
        queue.order(later_ms, 2)
        queue.charge('b', 3 * HOUR_MS)
        self.assertEqual(list_ids(queue.order(later_ms, 2)), ['1-1', '1-2'])

    def test_idle_organisation_gets_limited_credit(self):
        queue = push_all(JobQueue(), make_job('1-1', 'busy'))
        queue.charge('busy', 100 * HOUR_MS)
        queue.order(0, 1)
        queue.remove('1-1')
        push_all(queue, make_job('1-2', 'idle'), make_job('1-3', 'busy'))
        self.assertEqual(list_ids(queue.order(0, 2)), ['1-2', '1-3'])
        queue.charge('idle', ordering.IDLE_CREDIT_MS + 1)
        self.assertEqual(list_ids(queue.order(0, 2)), ['1-3', '1-2'])

    def test_attained_service_then_submission_decide_inside_an_organisation(self):
        queue = push_all(
            JobQueue(),
            make_job('long', attained_ms=3 * HOUR_MS),
            make_job('late', submitted_ms=9),
            make_job('retried', submitted_ms=5),
        )
        self.assertEqual(list_ids(queue.order(10, 9)), ['retried', 'late', 'long'])


class AdmissionTest(unittest.TestCase):
    """Guards against refusals without data and jobs that cannot start in time."""

    def check(self, depth=0, ahead=0, rate=None):
        return admission.check_admission(
            depth=depth,
            queue_limit=10,
            ahead=ahead,
            rate=rate,
            now_ms=HOUR_MS,
            start_deadline_ms=HOUR_MS + MINUTE_MS,
        )

    def test_job_is_admitted_without_a_start_rate(self):
        self.assertEqual(self.check(ahead=1_000), Ok(None))
        starts = admission.StartHistory()
        for _ in range(admission.START_SAMPLES_NEEDED - 1):
            starts.record('a', HOUR_MS, waiting=1)
        self.assertIsNone(starts.measure('a', HOUR_MS))
        starts.record('a', HOUR_MS, waiting=1)
        self.assertIsNotNone(starts.measure('a', HOUR_MS))
        self.assertIsNone(starts.measure('a', 2 * HOUR_MS))

    def test_starts_without_a_backlog_give_no_rate(self):
        starts = admission.StartHistory()
        for waiting in (5, 4, 3, 2, 1, 0):
            starts.record('a', HOUR_MS, waiting)
        self.assertIsNone(starts.measure('a', HOUR_MS))

    def test_unreachable_deadline_is_refused_with_a_retry_time(self):
        rate = admission.StartRate(starts=10, span_ms=100_000)
        self.assertEqual(self.check(ahead=6, rate=rate), Ok(None))
        refusal = self.check(ahead=7, rate=rate).unwrap_err()
        self.assertEqual(refusal, ('deadline', 10_000))

    def test_full_queue_is_refused(self):
        refusal = self.check(depth=10).unwrap_err()
        self.assertEqual(refusal, ('queue_full', admission.RETRY_FLOOR_MS))


class RunHistoryTest(unittest.TestCase):
    """Guards against trust in wrong declared run times and against unbounded memory."""

    def test_learned_time_replaces_the_declared_one_after_a_few_runs(self):
        runs, spec = history.RunHistory(), make_job('1-1').spec
        for run_ms in (10, 20, 30, 40):
            runs.record(spec, run_ms)
        self.assertEqual(runs.estimate_run_ms(spec), spec.declared_run_ms)
        self.assertIsNone(runs.get_learned_run_ms(spec))
        for run_ms in (50, 60, 70, 80, 90, 9_000):
            runs.record(spec, run_ms)
        self.assertEqual(runs.estimate_run_ms(spec), 90)

    def test_number_of_jobs_and_runs_is_bounded(self):
        runs, spec = history.RunHistory(), make_job('1-1').spec
        for number in range(history.JOBS_KEPT + 1):
            runs.record(spec._replace(name=str(number)), 1)
            runs.record(spec, number)
        self.assertEqual(len(runs.runs), history.JOBS_KEPT)
        self.assertEqual(len(runs.runs['a', 'print']), history.RUNS_KEPT)


class AdvanceReservationTest(unittest.TestCase):
    """Guards against large gangs that starve and against reservations left idle."""

    def setUp(self):
        gang = {'members': 2, 'accelerators': 8, 'adjacency': Adjacency.RACK}
        self.gang = make_job('gang', spec=gang)
        self.fleet = [
            Candidate(f'{rack}{i}', 'g', 'd', rack, 8, 2 if rack == 'r' else 0, 8, i, 4)
            for rack in 'rs'
            for i in range(3)
        ]

    def choose(self, **changes) -> advance_reservation.AdvanceReservation | None:
        values = {'job': self.gang, 'candidates': self.fleet, 'owned': {}}
        values |= {'free_ms': {}, 'now_ms': 0}
        return advance_reservation.choose_advance_reservation(**(values | changes))

    def test_only_a_large_gang_that_waited_gets_a_reservation(self):
        jobs = [make_job('small'), self.gang]
        age_ms = advance_reservation.ADVANCE_RESERVATION_AGE_MS
        self.assertIsNone(advance_reservation.find_waiting_gang(jobs, age_ms - 1))
        self.assertEqual(advance_reservation.find_waiting_gang(jobs, age_ms), self.gang)

    def test_rack_that_is_ready_first_is_reserved(self):
        free_ms = {'s0': 500, 's2': 400, 'r0': 300, 'r1': 900}
        reservation = self.choose(free_ms=free_ms)
        self.assertEqual(
            (reservation.worker_ids, reservation.start_ms), ({'s0', 's2'}, 500)
        )
        reservation = self.choose()
        self.assertEqual(
            (reservation.worker_ids, reservation.start_ms), ({'r0', 'r1'}, None)
        )
        self.assertIsNone(self.choose(candidates=self.fleet[:1]))

    def test_job_that_may_not_borrow_reserves_only_own_cells(self):
        not_repeatable = self.gang._replace(
            spec=self.gang.spec._replace(repeatable=False)
        )
        self.assertIsNone(self.choose(job=not_repeatable))
        reservation = self.choose(job=not_repeatable, owned={'s1': 8, 's2': 8})
        self.assertEqual(reservation.worker_ids, {'s1', 's2'})

    def test_backfill_needs_a_learned_time_that_ends_before_the_start(self):
        reservation = advance_reservation.AdvanceReservation(
            'gang', 'a', frozenset({'r0', 'r1'}), 500
        )

        def restrict(job, learned_run_ms):
            args = (job, self.fleet, reservation, 100, learned_run_ms)
            return advance_reservation.restrict_candidates(*args)

        self.assertEqual(restrict(make_job('x'), 400), self.fleet)
        self.assertEqual(restrict(make_job('x'), 401), self.fleet[2:])
        self.assertEqual(restrict(make_job('x'), None), self.fleet[2:])
        self.assertEqual(restrict(self.gang, None), self.fleet)
        seen = restrict(make_job('x', 'b'), None)
        self.assertEqual([c.free_accelerators for c in seen[:3]], [0, 1, 2])
        self.assertEqual([c.owned_free for c in seen[:3]], [0, 1, 2])
