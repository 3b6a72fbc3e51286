"""Demonstration: the main features on embedded stand-ins, with readable output."""

import asyncio
import copy
import os
from typing import NamedTuple

from yuccarelay import local
from yuccarelay.client import Answer, CallError, Entry
from yuccarelay.config import LocalSettings
from yuccarelay.environment import Environment
from yuccarelay.exit_status import ExitStatus
from yuccarelay.local import System

WAIT_MS = 30_000
DEMO_LIMIT_S = 120
LONG_ANSWER_BYTES = 3_000_000


class Row(NamedTuple):
    """One job of the demonstration and its expected outcome."""

    organisation: str
    job: str
    job_id: str
    expected: str


class Demo:
    """Submits jobs of two organisations and checks their outcomes."""

    def __init__(self, system: System, settings: LocalSettings, env: Environment):
        self.system = system
        self.settings = settings
        self.env = env
        self.rows: list[Row] = []
        self.failed_checks: list[str] = []

    def print_line(self, text: str) -> None:
        """Write one line of output."""
        print(text, file=self.env.stdout, flush=True)

    def check(self, holds: bool, text: str) -> None:
        """Print the result of a check; a failed one makes the run fail."""
        self.print_line(f'  {"ok" if holds else "FAILED"}: {text}')
        if not holds:
            self.failed_checks.append(text)

    async def run(self) -> ExitStatus:
        """Run all steps."""
        await self.show_manifest()
        await self.show_jobs()
        await self.show_refusals()
        await self.show_cancellation()
        await self.show_drain()
        await self.show_outcomes()
        await self.show_histograms()
        if self.failed_checks:
            self.print_line(f'demo failed: {len(self.failed_checks)} checks failed')
            return ExitStatus.REFUSED
        self.print_line('demo passed')
        return ExitStatus.OK

    async def show_manifest(self) -> None:
        """Commit a manifest, and one whose guarantees do not fit the fleet."""
        self.print_line('1. Manifest')
        manifest = local.make_manifest(self.settings)
        reply = await local.commit(self.system, manifest, 0)
        self.check(isinstance(reply, Answer), 'the first manifest is accepted')
        await local.wait_in_force(self.system, 1)
        agents = len(self.system.agents)
        entries = len(self.system.entries)
        text = f'generation 1 is in force on {entries} entries and {agents} agents'
        self.check(True, text)
        too_large = copy.deepcopy(manifest)
        too_large['organisations']['bakeries']['guarantee'][0]['count'] *= 3
        reply = await local.commit(self.system, too_large, 1)
        refused = isinstance(reply, CallError)
        self.check(refused, f'refused guarantees that exceed the fleet: {reply.text}')

    async def show_jobs(self) -> None:
        """Submit jobs of both organisations, one with a long answer and a gang."""
        self.print_line('2. Jobs of two organisations, a long answer and a gang')
        for number in range(4):
            for name in ('print-shop', 'bakeries'):
                work = {'run_ms': 150, 'echo': f'order {number}'}
                await self.submit(name, 'price-change-reprint', work, entry=number % 2)
        long = {'run_ms': 100, 'answer_bytes': LONG_ANSWER_BYTES}
        await self.submit('print-shop', 'proof-render', long)
        await self.submit('bakeries', 'seasonal-batch', {'run_ms': 800})
        for row in self.rows:
            await self.await_outcome(row)
        row = next(row for row in self.rows if row.job == 'proof-render')
        path = f'/v1/jobs/{row.job_id}/answer'
        answer = await local.try_call(self.find_endpoint(row.organisation), 'GET', path)
        is_complete = (
            isinstance(answer, Answer) and len(answer.body) == LONG_ANSWER_BYTES
        )
        self.check(
            is_complete, f'the answer of {LONG_ANSWER_BYTES} bytes arrived complete'
        )

    async def show_refusals(self) -> None:
        """Submit requests that cannot be accepted."""
        self.print_line('3. Requests that cannot be accepted')
        for token, job in (
            ('demo-print-shop', 'no-such-job'),
            ('wrong-token', 'proof-render'),
        ):
            endpoint = self.system.make_endpoint(token)
            document = {'job': job, 'payload': {}}
            reply = await local.try_call(
                endpoint, 'POST', '/v1/jobs', document=document
            )
            self.check(isinstance(reply, CallError), f'refused: {reply.text}')

    async def show_cancellation(self) -> None:
        """Cancel a running job."""
        self.print_line('4. A cancelled job')
        work = {'run_ms': 60_000}
        row = await self.submit(
            'bakeries',
            'proof-render',
            work,
            expected='cancelled_after_start',
        )
        endpoint = self.find_endpoint(row.organisation)
        path = f'/v1/jobs/{row.job_id}'
        while (await local.call(endpoint, 'GET', path))['state'] != 'running':
            await asyncio.sleep(local.POLL_S)
        await local.call(endpoint, 'DELETE', path)
        await self.await_outcome(row)

    async def show_drain(self) -> None:
        """Drain a worker under load and check that its jobs complete."""
        self.print_line('5. A drained worker')
        for _ in range(6):
            work = {'run_ms': 1_500}
            await self.submit('print-shop', 'price-change-reprint', work)
        await asyncio.sleep(0.5)
        name = next(iter(self.system.agents))
        drained = self.system.agents[name]
        drained.role.stop.set()
        await drained.task
        self.check(True, f'{name} has finished its work and deregistered')
        for row in self.rows[-6:]:
            await self.await_outcome(row)

    async def show_outcomes(self) -> None:
        """Print the table of outcomes."""
        self.print_line('6. Outcomes')
        counts: dict[tuple[str, str, str], int] = {}
        for row in self.rows:
            status = await self.find_status(row)
            key = (row.organisation, row.job, status['outcome']['kind'])
            counts[key] = counts.get(key, 0) + 1
        self.print_line(f'  {"organisation":14}{"job":24}{"outcome":24}{"jobs":>5}')
        for (organisation, job, kind), count in sorted(counts.items()):
            self.print_line(f'  {organisation:14}{job:24}{kind:24}{count:>5}')

    async def show_histograms(self) -> None:
        """Print the histograms of each entry."""
        self.print_line('7. Times in ms for each organisation and class')
        for number in range(len(self.system.entries)):
            operator = self.system.make_endpoint(local.OPERATOR, number)
            path = '/v1/histograms?format=text'
            reply = await local.try_call(operator, 'GET', path)
            self.print_line(f'  entry {number + 1}')
            for line in reply.body.decode().splitlines():
                self.print_line(f'  {line}')

    async def submit(
        self,
        organisation: str,
        job: str,
        work: dict[str, object],
        entry: int = 0,
        expected: str = 'completed',
    ) -> Row:
        """Submit a job and record it with its expected outcome."""
        endpoint = self.find_endpoint(organisation, entry)
        document = {'job': job, 'payload': work}
        reply = await local.call(endpoint, 'POST', '/v1/jobs', document=document)
        row = Row(organisation, job, reply['job_id'], expected)
        self.rows.append(row)
        return row

    async def await_outcome(self, row: Row) -> None:
        """Check the outcome of a job, read from an entry that may not own it."""
        status = await self.find_status(row)
        outcome = status['outcome'] or {'kind': 'not ended yet', 'reason': ''}
        text = f'{row.organisation} {row.job} {row.job_id}: {outcome["kind"]}'
        if outcome['reason']:
            text = f'{text} ({outcome["reason"]})'
        self.check(outcome['kind'] == row.expected, text)

    async def find_status(self, row: Row) -> dict:
        """Return the status of a job at its end, or after `WAIT_MS`."""
        endpoint = self.find_endpoint(row.organisation)
        path = f'/v1/jobs/{row.job_id}'
        return await local.call(endpoint, 'GET', path, wait_ms=WAIT_MS)

    def find_endpoint(self, organisation: str, entry: int = 0) -> Entry:
        """Return the endpoint for a caller of an organisation at one of the entries."""
        number = entry % len(self.system.entries)
        return self.system.make_endpoint(f'demo-{organisation}', number)


async def run_demo(settings: LocalSettings, env: Environment) -> ExitStatus:
    """Run the demonstration; the exit status shows whether all checks passed."""
    if settings.log == '-':
        # The log would hide the output of the demonstration.
        settings = settings._replace(log=os.devnull)
    async with asyncio.timeout(DEMO_LIMIT_S):
        async with local.start_system(settings, env) as system:
            await local.wait_registered(system)
            return await Demo(system, settings, env).run()
