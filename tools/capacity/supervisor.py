"""Starts measured processes and reads their counters."""

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from tools.capacity.fleet import OPERATOR, digest_token
from yuccarelay import local
from yuccarelay.client import Answer, Entry

LISTEN = '127.0.0.1:0'
READY_LIMIT_S = 120
POLL_S = 0.2
LINE_LIMIT_BYTES = 1_000_000


class Probe:
    """A measured process that reports its counters on request."""

    def __init__(self, process: asyncio.subprocess.Process, ready: dict):
        self.process = process
        self.ready = ready

    async def read(self) -> dict:
        """Return the current counters of the process."""
        self.process.stdin.write(b'r')
        return json.loads(await self.process.stdout.readline())

    async def stop(self) -> None:
        """Close the input of the process; kill it if it does not end in time."""
        self.process.stdin.close()
        try:
            async with asyncio.timeout(5):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


async def start_probe(order: dict) -> Probe:
    """Start a process and wait until it is ready."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tools.capacity.probe',
        json.dumps(order),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        limit=LINE_LIMIT_BYTES,
    )
    async with asyncio.timeout(READY_LIMIT_S):
        line = await process.stdout.readline()
    return Probe(process, json.loads(line))


@asynccontextmanager
async def run_probes(*orders: dict) -> AsyncIterator[list[Probe]]:
    """Start all processes at once and stop them when the block ends."""
    started = await asyncio.gather(*[start_probe(order) for order in orders])
    try:
        yield started
    finally:
        await asyncio.gather(*[probe.stop() for probe in started])


async def measure(probes: list[Probe], seconds: float) -> list[dict[str, float]]:
    """Return the rates per second over a window, and the memory, per process."""
    before = await asyncio.gather(*[probe.read() for probe in probes])
    await asyncio.sleep(seconds)
    after = await asyncio.gather(*[probe.read() for probe in probes])
    return [compute_rates(*pair) for pair in zip(before, after, strict=True)]


def compute_rates(
    before: dict[str, float], after: dict[str, float]
) -> dict[str, float]:
    """Return the rates between two readings; `memory_mb` is the later reading."""
    elapsed_s = after['time_s'] - before['time_s']
    rates = {
        name: (after[name] - before.get(name, 0)) / elapsed_s
        for name in after
        if name not in ('time_s', 'memory_mb')
    }
    total_messages = rates.get('in_messages', 0) + rates.get('out_messages', 0)
    total_bytes = rates.get('in_bytes', 0) + rates.get('out_bytes', 0)
    return {
        **rates,
        'memory_mb': after['memory_mb'],
        'messages': total_messages,
        'bytes': total_bytes,
    }


def make_entry_order(store: str, region: str = 'north') -> dict:
    """Return the order that makes a probe run an entry."""
    return {
        'role': 'entry',
        'settings': {
            'listen': LISTEN,
            'http': LISTEN,
            'region': region,
            'domain': 'domain-0',
            'store': store,
            'bootstrap_operator_digests': [digest_token(OPERATOR)],
            'log': '/dev/null',
        },
    }


async def read_status(entry: Probe) -> dict | None:
    """Return the status document of an entry, or None without an answer."""
    operator = Entry(entry.ready['url'], OPERATOR)
    reply = await local.try_call(operator, 'GET', '/v1/status')
    return json.loads(reply.body) if isinstance(reply, Answer) else None


async def wait_status(entry: Probe, is_reached) -> dict:
    """Return the first status document that meets a condition."""
    async with asyncio.timeout(READY_LIMIT_S):
        while True:
            status = await read_status(entry)
            if status is not None and is_reached(status):
                return status
            await asyncio.sleep(POLL_S)


async def commit(entry: Probe, manifest: dict, replaces: int) -> None:
    """Commit a manifest that replaces the given generation."""
    reply = await local.try_call(
        Entry(entry.ready['url'], OPERATOR),
        'PUT',
        '/v1/manifest',
        document=manifest,
        headers=(('If-Match', str(replaces)),),
    )
    if not isinstance(reply, Answer):
        raise RuntimeError(f'entry refused the manifest: {reply.text}')


def is_in_force(status: dict, generation: int, workers: int) -> bool:
    """Whether all workers have applied this generation and the current plan."""
    epoch = status['plan_epoch']
    return (
        status['generation'] >= generation
        and epoch > 0
        and len(status['workers']) == workers
        and all(
            worker['generation'] >= generation and worker['plan_epoch'] == epoch
            for worker in status['workers']
        )
    )
