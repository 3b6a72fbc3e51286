"""Callers of a soak: they submit jobs, ask for their states and cancel some."""

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

TRIES = 5
CALL_LIMIT_S = 3.0
PAUSE_S = 0.25
CANCEL_SHARE = 0.15


@dataclass(slots=True)
class Submission:
    """What a caller knows of its job; times are of the event loop."""

    id: str
    steps: list[dict]
    accepted_s: float = 0
    refusals: int = 0
    undecided: int = 0
    cancel_s: float = 0
    cancelled_s: float = 0
    states: list[tuple[float, str]] = field(default_factory=list)
    not_found_s: list[float] = field(default_factory=list)

    @property
    def definitely_refused(self) -> bool:
        """Whether every try was refused, so that the job must never run."""
        return not self.accepted_s and not self.undecided and self.refusals > 0


def draw_steps(rng: random.Random) -> list[dict]:
    """Return the steps of a random job."""
    steps = []
    for number in range(rng.choice((1, 1, 2))):
        count = rng.choice((1, 1, 2, 3, 4))
        step = {'count': count, 'gpu': rng.choice((1, 1, 2, 4))}
        step['estimatedMs'] = 600
        if number:
            step['after'] = [number - 1]
        if count > 1 and rng.random() < 0.4:
            step['gang'] = True
        steps.append(step)
    return steps


class Caller:
    """One caller; it keeps its connections and uses any entry."""

    def __init__(self, system, rng: random.Random, name: str):
        self.system = system
        self.rng = rng
        self.name = name
        self.jobs: list[Submission] = []
        self.session = aiohttp.ClientSession()
        self.interrupted_requests: list[tuple[float, str]] = []

    async def run(self, until_s: float) -> None:
        """Submit and follow jobs until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            job = Submission(f'{self.rng.getrandbits(64):016x}', draw_steps(self.rng))
            self.jobs.append(job)
            await self.submit(job)
            if job.accepted_s and self.rng.random() < CANCEL_SHARE:
                await self.cancel(job)
            for earlier in self.rng.sample(self.jobs, min(2, len(self.jobs))):
                await self.poll(earlier)
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))

    async def call(self, method: str, path: str, body=None) -> tuple[int, dict | None]:
        """Make a call to any entry; status 0 is no answer."""
        node = self.rng.choice(list(self.system.front_addresses))
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            async with self.session.request(
                method,
                f'http://{self.system.front_addresses[node]}{path}',
                json=body,
                headers={'Authorization': 'Token key-1', 'Host': 'h.example'},
                timeout=aiohttp.ClientTimeout(total=CALL_LIMIT_S),
            ) as response:
                return response.status, await response.json(content_type=None)
        except aiohttp.ClientConnectorError:
            return -1, None
        except (aiohttp.ClientError, ValueError):
            self.interrupted_requests.append((sent_s, node))
            return 0, None
        except TimeoutError:
            return 0, None

    async def submit(self, job: Submission) -> None:
        """Submit a job, and again with the same id until it is settled."""
        body = {'specification': f's-{job.id}', 'steps': job.steps}
        for _ in range(TRIES):
            status, _ = await self.call('POST', f'/q/{job.id}', body)
            if status == 200:
                job.accepted_s = asyncio.get_running_loop().time()
                return
            if status in (429, 503):
                job.refusals += 1
            elif status != -1:
                job.undecided += 1
            await asyncio.sleep(PAUSE_S)

    async def poll(self, job: Submission) -> None:
        """Ask for a job's state."""
        status, body = await self.call('GET', f'/q/{job.id}')
        now_s = asyncio.get_running_loop().time()
        if status == 200:
            job.states.append((now_s, body['state']))
        elif status == 410:
            job.not_found_s.append(now_s)

    async def cancel(self, job: Submission) -> None:
        """Cancel a job, and again until that is acknowledged."""
        job.cancel_s = asyncio.get_running_loop().time()
        for _ in range(TRIES):
            status, _ = await self.call('DELETE', f'/q/{job.id}')
            if status in (200, 410):
                job.cancelled_s = asyncio.get_running_loop().time()
                return
            await asyncio.sleep(PAUSE_S)
