"""Tests of the configuration that agents receive from entries."""

import unittest

from tests.fleet import ENTRIES, make_simulation


class RestartedAgentTest(unittest.TestCase):
    """Guards against an agent that applies a plan's epoch without its shares."""

    def test_push_for_an_earlier_incarnation(self):
        simulation = make_simulation()
        state = simulation.processes[ENTRIES[0]].core.state
        announced = next(
            worker for worker in state.view.find_own() if worker.plan_epoch
        )
        # The entry computes the push from what the earlier incarnation announced.
        push = state.make_welcome(announced.worker_id, known_epoch=announced.plan_epoch)
        simulation.kill(simulation.workers[announced.worker_id].address)
        agent = simulation.start_agent(announced.worker_id).core
        agent.announcer.apply_welcome(push)
        self.assertEqual(agent.announcer.plan_epoch, 0)
        simulation.run(10_000)
        self.assertEqual(agent.announcer.plan_epoch, state.plan.epoch)
        owned = state.view.owned[announced.worker_id]
        self.assertEqual(agent.members.ledger.owned, owned)
