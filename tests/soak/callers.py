"""Callers of a soak run: they submit jobs, query their states and cancel some."""

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

MAX_ATTEMPTS = 5
CALL_TIMEOUT_S = 3.0
RETRY_PAUSE_S = 0.25
CANCEL_SHARE = 0.15


@dataclass(slots=True)
class Submission:
    """A caller's record of its job; times are those of the event loop, in s."""

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
        """Whether every attempt was refused, so that the job must never run."""
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
    """One caller with persistent connections; each call goes to a random entry."""

    def __init__(self, system, rng: random.Random, name: str):
        self.system = system
        self.rng = rng
        self.name = name
        self.jobs: list[Submission] = []
        self.session = aiohttp.ClientSession()
        self.interrupted_requests: list[tuple[float, str]] = []

    async def run(self, until_s: float) -> None:
        """Submit, query and cancel jobs until a time of the event loop."""
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
        """
        Call a random entry.

        Status 0 means no response, -1 that no connection could be opened.
        """
        node = self.rng.choice(list(self.system.front_addresses))
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            async with self.session.request(
                method,
                f'http://{self.system.front_addresses[node]}{path}',
                json=body,
                headers={'Authorization': 'Token key-1', 'Host': 'h.example'},
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
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
        """Submit a job, with retries under the same id until it is accepted."""
        body = {'specification': f's-{job.id}', 'steps': job.steps}
        for _ in range(MAX_ATTEMPTS):
            status, _ = await self.call('POST', f'/q/{job.id}', body)
            if status == 200:
                job.accepted_s = asyncio.get_running_loop().time()
                return
            if status in (429, 503):
                job.refusals += 1
            elif status != -1:
                job.undecided += 1
            await asyncio.sleep(RETRY_PAUSE_S)

    async def poll(self, job: Submission) -> None:
        """Query the state of a job and record it."""
        status, body = await self.call('GET', f'/q/{job.id}')
        now_s = asyncio.get_running_loop().time()
        if status == 200:
            job.states.append((now_s, body['state']))
        elif status == 410:
            job.not_found_s.append(now_s)

    async def cancel(self, job: Submission) -> None:
        """Cancel a job, with retries until the cancellation is acknowledged."""
        job.cancel_s = asyncio.get_running_loop().time()
        for _ in range(MAX_ATTEMPTS):
            status, _ = await self.call('DELETE', f'/q/{job.id}')
            if status in (200, 410):
                job.cancelled_s = asyncio.get_running_loop().time()
                return
            await asyncio.sleep(RETRY_PAUSE_S)
