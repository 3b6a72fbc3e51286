"""Many lightweight agents in one process, reduced to their reports to an entry."""

import asyncio
import random
import time

from result import Ok

from tools.capacity.fleet import make_state
from yuccarelay.adapters import codec, nng
from yuccarelay.core.announcer import Announcer
from yuccarelay.core.messages import Ack, ConfigChanged
from yuccarelay.core.outbox import Outbox
from yuccarelay.environment import MonotonicClock

TICK_S = 0.05


class LightAgent:
    """An announcer with its own sockets."""

    def __init__(self, number: int, entry: str, tasks: int, transport, rng):
        self.clock = MonotonicClock()
        listener = transport.listen('127.0.0.1:0').unwrap()
        self.listener = listener
        state = make_state(number, tasks=tasks, address=listener.address)
        self.outbox = Outbox(listener.address)
        self.announcer = Announcer(state, (entry,), rng, self.outbox)
        self.peer = transport.connect(entry).unwrap()
        self.exchanges: set[asyncio.Task] = set()
        self.first_welcome_s = 0.0

    def start(self) -> None:
        """Start to receive messages from entries."""
        self.listener.start(self.take_request)

    def take_request(self, request_id: int, data: bytes) -> None:
        """Apply a configuration that an entry pushes, and acknowledge the message."""
        message = codec.decode(data).unwrap().message
        if isinstance(message, ConfigChanged):
            self.announcer.apply_welcome(message.welcome)
            self.update_state()
        reply = codec.encode(Ack(), self.listener.address)
        self.listener.reply(request_id, reply)

    def update_state(self) -> None:
        """Announce the configuration in force, as an agent does."""
        self.announcer.update_state(
            self.clock.now_ms(),
            generation=self.announcer.generation,
            plan_epoch=self.announcer.plan_epoch,
        )

    def tick(self) -> None:
        """Send the messages that are due."""
        self.announcer.tick(self.clock.now_ms())
        for request in self.outbox.take_effects():
            task = asyncio.create_task(self.exchange(request))
            self.exchanges.add(task)
            task.add_done_callback(self.exchanges.discard)

    async def exchange(self, request) -> None:
        """Send a request and process its reply."""
        data = codec.encode(request.message, self.listener.address)
        deadline_ms = self.clock.now_ms() + request.timeout_ms
        reply = None
        match await self.peer.request(data, deadline_ms):
            case Ok(answer):
                reply = codec.decode(answer).unwrap().message
                self.first_welcome_s = self.first_welcome_s or time.monotonic()
        address = request.tag.partition(':')[2]
        self.announcer.take_reply(address, reply, self.clock.now_ms())
        self.update_state()


class Announcers:
    """All lightweight agents of the process."""

    def __init__(self, entry: str, workers: int, tasks: int):
        # A context serves one request at a time, and one per listener is enough here;
        # 64 for each of some thousand listeners would only use memory.
        nng.LISTENER_CONTEXTS = 1
        self.arguments = (entry, workers, tasks)
        self.agents: list[LightAgent] = []

    async def run(self) -> None:
        """Tick all agents until cancelled."""
        entry, workers, tasks = self.arguments
        rng = random.Random(1)
        transport = nng.NngTransport(MonotonicClock())
        for number in range(workers):
            agent = LightAgent(number, entry, tasks, transport, rng)
            agent.start()
            self.agents.append(agent)
        while True:
            for agent in self.agents:
                agent.tick()
            await asyncio.sleep(TICK_S)

    def describe(self) -> dict[str, object]:
        """Return the number of welcomed agents, and the lowest generation and epoch."""
        known = [agent for agent in self.agents if agent.first_welcome_s]
        generations = [agent.announcer.generation for agent in self.agents]
        return {
            'known': len(known),
            'generation': min(generations, default=0),
            'epoch': min((a.announcer.plan_epoch for a in self.agents), default=0),
        }
