"""Tests of the speeds of workers."""

import math
import random
import unittest
from unittest import mock

from tests.batch_fleet import (
    ORDINARY,
    URGENT,
    FakeWorker,
    Fleet,
    make_fleet,
    make_job,
    make_step,
)
from tests.run_time_truth import STRAGGLER_FACTOR, STRAGGLER_SHARE
from yuccarelay.core.batch import entities
from yuccarelay.core.batch.entities import WorkerView
from yuccarelay.core.batch.models import Resources, Step, WorkerInfo
from yuccarelay.core.batch.protocol import AgentAddress
from yuccarelay.core.batch.run_times import GroupKey, Quantile, RunTimes
from yuccarelay.core.batch.worker_speeds import (
    KINDS_LIMIT,
    SPEED_LIMIT,
    WORKERS_LIMIT,
    Evidence,
    Machine,
    WorkerSpeeds,
)

SPEEDS = {'slow': 0.8, 'normal': 1.0, 'fast': 1.25}
MACHINES = [Machine(f'{kind}-{n}', kind) for kind in SPEEDS for n in range(4)]
QUEUE = 'queue'


def run_steps(
    run_times: RunTimes, rng: random.Random, machines: list[Machine], steps: int
) -> None:
    """Learn steps of 24 tasks, spread over machines of the speed of their kind."""
    for _ in range(steps):
        key = GroupKey(f'{rng.getrandbits(32):x}', 0, 0)
        work_ms = 8_000 * math.exp(rng.gauss(0, 0.3))
        step = Step(24, Resources(), int(work_ms * math.exp(rng.gauss(0, 0.9))))
        for number in range(24):
            machine = machines[number % len(machines)]
            ran_ms = work_ms * math.exp(rng.gauss(0, 0.3)) / SPEEDS[machine.kind]
            if rng.random() < STRAGGLER_SHARE:
                ran_ms *= STRAGGLER_FACTOR
            run_times.learn_done(QUEUE, key, step, int(ran_ms), machine, is_whole=True)


class LearningTest(unittest.TestCase):
    """Guards against speeds that are not those of the workers."""

    def test_slow_and_fast_kinds_are_told_from_normal_ones(self):
        for seed in range(10):
            run_times = RunTimes()
            run_steps(run_times, random.Random(seed), MACHINES, 20)
            found = {
                kind: math.exp(run_times.speeds.find(Machine('new', kind)))
                for kind in SPEEDS
            }
            with self.subTest(seed=seed):
                self.assertLess(found['slow'] / found['normal'], 0.92)
                self.assertGreater(found['fast'] / found['normal'], 1.08)

    def test_workers_are_found_within_a_tenth(self):
        for seed in range(10):
            run_times = RunTimes()
            run_steps(run_times, random.Random(seed), MACHINES, 30)
            errors = [
                abs(run_times.speeds.find(machine) - math.log(SPEEDS[machine.kind]))
                for machine in MACHINES
            ]
            with self.subTest(seed=seed):
                self.assertLess(sum(errors) / len(errors), 0.1)

    def test_a_worker_that_differs_from_its_kind_is_found(self):
        speeds = WorkerSpeeds()
        for number in range(60):
            machine = Machine(f'w{number % 6}', 'kind')
            ran = 0.22 if machine.agent == 'w0' else 0.0
            speeds.learn(machine, 0.0, ran, 0.3)
        self.assertLess(speeds.find(Machine('w0', 'kind')), -0.08)
        self.assertGreater(speeds.find(Machine('w1', 'kind')), -0.04)

    def test_one_straggler_says_little(self):
        speeds = WorkerSpeeds()
        machine = Machine('w', 'kind')
        speeds.learn(machine, 0.0, math.log(7), 0.3)
        self.assertGreater(speeds.find(machine), -0.25)
        self.assertGreater(speeds.find(Machine('other', 'kind')), -0.11)

    def test_a_worker_that_becomes_normal_is_believed_again(self):
        speeds = WorkerSpeeds()
        machine = Machine('w', 'kind')
        others = [Machine(f'other-{n}', 'other') for n in range(8)]

        def run_all(times: int, ran: float) -> None:
            for _ in range(times):
                speeds.learn(machine, 0.0, ran, 0.3)
                for other in others:
                    speeds.learn(other, 0.0, 0.0, 0.3)

        run_all(40, 0.22)
        self.assertLess(speeds.find(machine), -0.15)
        run_all(80, 0.0)
        self.assertGreater(speeds.find(machine), -0.08)

    def test_members_of_a_gang_say_nothing(self):
        run_times = RunTimes()
        step = Step(8, Resources(), 5_000, gang=True)
        for number in range(10):
            for member in range(8):
                machine = Machine(f'w{member}', 'kind')
                key = GroupKey(f'{number}', 0, 0)
                run_times.learn_done(QUEUE, key, step, 9_000, machine, is_whole=True)
        self.assertEqual(run_times.speeds.workers, {})

    def test_the_state_and_the_speeds_are_bounded(self):
        speeds = WorkerSpeeds()
        for number in range(WORKERS_LIMIT + 50):
            speeds.learn(Machine(f'w{number}', f'k{number}'), 0.0, 9.0, 0.1)
        self.assertEqual(len(speeds.workers), WORKERS_LIMIT)
        self.assertEqual(len(speeds.kinds), KINDS_LIMIT)
        machine = Machine('w', 'k')
        for _ in range(100):
            speeds.learn(machine, 0.0, 9.0, 0.1)
        self.assertGreaterEqual(speeds.find(machine), -SPEED_LIMIT)


class FindTest(unittest.TestCase):
    """Guards against a planner that computes the same speeds with each unit."""

    def setUp(self):
        self.speeds = WorkerSpeeds()
        for machine in MACHINES:
            self.speeds.learn(machine, 0.0, 0.2, 0.3)

    def test_a_speed_is_computed_once_between_two_observations(self):
        with mock.patch.object(
            Evidence, 'mean', autospec=True, side_effect=Evidence.mean
        ) as computed:
            for _ in range(100):
                for machine in MACHINES:
                    self.speeds.find_level(machine)
        # The mean of the kind, and that of the worker.
        self.assertLessEqual(computed.call_count, 2 * len(MACHINES))

    def test_an_observation_changes_the_speeds_that_were_asked_for(self):
        same_kind, other_kind = MACHINES[1], MACHINES[5]
        before = self.speeds.find(same_kind), self.speeds.find(other_kind)
        self.speeds.learn(MACHINES[0], 0.0, 0.9, 0.3)
        self.assertLess(self.speeds.find(same_kind), before[0])
        self.assertEqual(self.speeds.find(other_kind), before[1])

    def test_a_record_of_an_earlier_planner_changes_them_too(self):
        speeds = WorkerSpeeds()
        self.assertEqual(speeds.find(MACHINES[0]), 0.0)
        speeds.restore(self.speeds.workers, self.speeds.kinds)
        self.assertEqual(speeds.find(MACHINES[0]), self.speeds.find(MACHINES[0]))
        self.assertNotEqual(speeds.find(MACHINES[0]), 0.0)

    def test_the_speeds_that_were_asked_for_are_bounded(self):
        speeds = WorkerSpeeds()
        for number in range(WORKERS_LIMIT + 50):
            speeds.find(Machine(f'w{number}'))
        self.assertLessEqual(len(speeds.found), WORKERS_LIMIT)


class UseTest(unittest.TestCase):
    """Guards against ends that are expected too early on slow workers."""

    def setUp(self):
        self.run_times = RunTimes()
        run_steps(self.run_times, random.Random(2), MACHINES, 20)
        self.step = Step(24, Resources(), 8_000)

    def test_runs_on_slow_workers_are_expected_to_take_longer(self):
        slow, fast = MACHINES[0], MACHINES[-1]
        self.assertTrue(self.run_times.queues[QUEUE].is_learned)
        for ran_ms in (0, 3_000, 20_000):
            found = [
                self.run_times.remaining_ms(
                    QUEUE, self.step, ran_ms, Quantile.MEDIAN, machine
                )
                for machine in (slow, fast)
            ]
            self.assertGreater(found[0], 1.1 * found[1])

    def test_queues_with_the_submitted_figure_do_not_depend_on_the_worker(self):
        for machine in (None, MACHINES[0], MACHINES[-1]):
            found_ms = self.run_times.total_ms(
                'other', self.step, Quantile.MEDIAN, machine
            )
            self.assertEqual(found_ms, 8_000)

    def start_fleet(self, slow: str) -> Fleet:
        """Return a fleet of four workers that knows which of them is slow."""
        workers = [FakeWorker(f'w{n}', 'r0', run_ms=1_000) for n in range(4)]
        fleet = Fleet(*workers).run(200)
        fleet.workers[slow].run_ms = 1_250
        for _ in range(15):
            fleet.submit(make_job(make_step(8, 4, per_worker=2, estimated_ms=900)))
            fleet.run(2_000)
        return fleet

    def test_urgent_work_does_not_wait_for_a_member_on_a_slow_worker(self):
        # paddockproof-yr-grown: members of an urgent gang were at 51 and 90 % at the
        # same time; it took as long as its slowest worker.
        slow = 'agent-w0'
        fleet = self.start_fleet(slow)
        step = make_step(3, 8, gang=True, estimated_ms=4_000)
        urgent = fleet.submit(make_job(step, queue=URGENT))
        fleet.run(200)
        self.assertEqual(len(fleet.starts(urgent)), 3)
        self.assertEqual(fleet.workers[slow].runs, {})

    def test_work_that_can_wait_leaves_the_fast_workers_as_they_are(self):
        fleet = self.start_fleet('agent-w0')
        step = make_step(3, 8, gang=True, estimated_ms=4_000)
        fleet.submit(make_job(step))
        fleet.run(200)
        self.assertEqual(len(fleet.workers['agent-w0'].runs), 1)

    def learn_from_gangs(self, **fields) -> list[float]:
        """Return the speeds found after four gangs on workers of which w3 is slow."""
        workers = [FakeWorker(f'w{n}', 'r0', run_ms=4_000) for n in range(4)]
        workers[3].run_ms = 5_000
        fleet = Fleet(*workers).run(200)
        for _ in range(4):
            step = make_step(4, 8, gang=True, estimated_ms=4_000, **fields)
            fleet.submit(make_job(step))
            fleet.run(6_000)
        speeds = fleet.planner.planner_state.run_times.speeds
        return [speeds.find(Machine(f'agent-w{n}', 'a')) for n in range(4)]

    def test_the_progress_of_a_gang_tells_its_slow_members(self):
        # Its times do not, since all members end with the slowest; early on a day most
        # work of the users is gangs.
        found = self.learn_from_gangs()
        self.assertLess(found[3], min(found[:3]) - 0.1)

    def test_a_gang_with_data_on_a_rack_says_nothing(self):
        # A member on another rack takes three times as long.
        self.assertEqual(self.learn_from_gangs(data_rack='r0'), [0, 0, 0, 0])

    def test_a_gang_of_two_says_nothing(self):
        # Nothing tells which of the two is not normal.
        run_times = RunTimes()
        run_times.learn_side_by_side([(Machine('a'), 4_000), (Machine('b'), 5_000)])
        self.assertEqual(run_times.speeds.workers, {})

    def test_the_planner_learns_the_speed_of_its_workers(self):
        fleet = self.start_fleet('agent-w3')
        speeds = fleet.planner.planner_state.run_times.speeds
        view = fleet.planner.planner_state.workers['agent-w3']
        self.assertEqual(view.machine(), Machine('agent-w3', 'a'))
        others = [Machine(f'agent-w{n}', 'a') for n in range(3)]
        self.assertLess(speeds.find(view.machine()), -0.1)
        for other in others:
            self.assertGreater(speeds.find(other), speeds.find(view.machine()) + 0.1)
        self.assertIn(ORDINARY.name, fleet.planner.planner_state.run_times.queues)


class MachineTest(unittest.TestCase):
    """Guards against a planner that is busy with the labels of its workers."""

    def test_a_worker_is_described_once_however_often_it_is_considered(self):
        # It was described anew for each unit that waited and each run in each tick.
        with mock.patch.object(entities, 'Machine', wraps=Machine) as described:
            fleet = make_fleet(8)
            fleet.submit(make_job(make_step(100, 2)))
            fleet.submit(make_job(make_step(20, 8)))
            fleet.run(3_000)
        self.assertLessEqual(described.call_count, 8)

    def test_a_worker_with_other_labels_or_another_place_is_described_anew(self):
        info = WorkerInfo('w', 1, 's', 'd0', Resources(), ('fast', 'r0', 'd0'), 'r0')
        view = WorkerView('agent', AgentAddress('address'), 0)
        self.assertEqual(view.machine(), Machine('agent'))
        for changed, kind in (
            (info, 'fast'),
            (info._replace(rack='r1'), 'fast,r0'),
            (info._replace(domain='d1'), 'fast,d0'),
            (info._replace(labels=('slow', 'r0')), 'slow'),
            (None, ''),
            (info, 'fast'),
        ):
            view.info = changed
            self.assertEqual(view.machine(), Machine('agent', kind))
