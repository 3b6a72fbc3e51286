"""Tests of the configuration that entries give to agents."""

import unittest

from tests.fleet import ENTRIES, make_simulation


class RestartedAgentTest(unittest.TestCase):
    """Guards against an agent that takes a plan's epoch without its shares."""

    def test_push_for_the_earlier_run_of_an_agent(self):
        simulation = make_simulation()
        state = simulation.processes[ENTRIES[0]].core.state
        announced = next(
            worker for worker in state.view.find_own() if worker.plan_epoch
        )
        # The entry makes the push from what the earlier run announced.
        push = state.make_welcome(announced.worker_id, known_epoch=announced.plan_epoch)
        simulation.kill(simulation.workers[announced.worker_id].address)
        agent = simulation.start_agent(announced.worker_id).core
        agent.announcer.apply_welcome(push)
        self.assertEqual(agent.announcer.plan_epoch, 0)
        simulation.run(10_000)
        self.assertEqual(agent.announcer.plan_epoch, state.plan.epoch)
        owned = state.view.owned[announced.worker_id]
        self.assertEqual(agent.members.ledger.owned, owned)
