"""
A measured process: an entry, an agent, stand-ins or many lightweight agents.

    python -m tools.capacity.probe '{"role": "agent", "settings": {...}}'

It prints a line of JSON when it is ready, prints its counters as a line of JSON
for each byte on its standard input, and ends when its standard input is closed.
Signals are not used for this, because a signal is lost when a burst of messages
has filled the wake-up socket of the event loop.
"""

import asyncio
import json
import os
import resource
import sys
import time
from collections import Counter

STARTED = time.monotonic()
# Length and request id that nng adds to each message over TCP.
FRAME_BYTES = 12

counts: Counter[str] = Counter()


def count_message(direction: str, data: bytes) -> None:
    """Count a message of the transport and its bytes with framing."""
    counts[f'{direction}_messages'] += 1
    counts[f'{direction}_bytes'] += len(data) + FRAME_BYTES


def count_transport() -> None:
    """Patch the classes of the transport so that they count messages and bytes."""
    from yuccarelay.adapters.nng import NngListener, NngPeer

    request, reply, start = NngPeer.request, NngListener.reply, NngListener.start

    async def counted_request(self, data, deadline_ms):
        count_message('out', data)
        result = await request(self, data, deadline_ms)
        if result.is_ok():
            count_message('in', result.unwrap())
        return result

    def counted_reply(self, request_id, data):
        count_message('out', data)
        return reply(self, request_id, data)

    def counted_start(self, take):
        def take_counted(request_id, data):
            count_message('in', data)
            take(request_id, data)

        start(self, take_counted)

    NngPeer.request = counted_request
    NngListener.reply = counted_reply
    NngListener.start = counted_start


def read_memory_mb() -> float:
    """Return the resident memory of this process in MB (10^6 bytes)."""
    with open('/proc/self/statm', encoding='ascii') as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1e6


def print_line(document: dict) -> None:
    """Write a JSON line to standard output, which the parent process reads."""
    print(json.dumps(document), flush=True)


def print_counters(extra=None) -> None:
    """Write the counters of this process."""
    print_line(
        {
            'time_s': time.monotonic(),
            'cpu_s': time.process_time(),
            'memory_mb': read_memory_mb(),
            **counts,
            **(extra() if extra else {}),
        },
    )


async def run_role(order: dict) -> None:
    """Run an entry or an agent until standard input is closed."""
    from yuccarelay import roles
    from yuccarelay.config import AgentSettings, EntrySettings
    from yuccarelay.environment import make_environment

    count_transport()
    env = make_environment(os.environ)
    settings = {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in order['settings'].items()
    }
    if order['role'] == 'entry':
        role = await roles.build_entry(EntrySettings(**settings), env)
    else:
        role = await roles.build_agent(AgentSettings(**settings), env)
    running = asyncio.create_task(role.run)
    await run_until_closed(role.address, role.url)
    running.cancel()


async def run_standins(order: dict) -> None:
    """Run the stand-ins for the store and targets until standard input is closed."""
    from yuccarelay import roles
    from yuccarelay.config import StoreSettings, TargetSettings
    from yuccarelay.environment import make_environment

    env = make_environment(os.environ)
    listen = '127.0.0.1:0'
    store = await roles.build_store(StoreSettings(listen), env)
    targets = [
        await roles.build_target(TargetSettings(listen), env)
        for _ in range(order['targets'])
    ]
    running = [asyncio.create_task(role.run) for role in (store, *targets)]
    await run_until_closed('', store.url, targets=[role.url for role in targets])
    for task in running:
        task.cancel()


async def run_until_closed(address: str, url: str, extra=None, **fields) -> None:
    """Report readiness and print counters on request until the input is closed."""
    loop = asyncio.get_running_loop()
    ready_s = time.monotonic() - STARTED
    print_line({'address': address, 'url': url, 'ready_s': ready_s, **fields})
    closed = asyncio.Event()

    def read_input() -> None:
        input_bytes = os.read(0, 1)
        if input_bytes:
            print_counters(extra)
        else:
            loop.remove_reader(0)
            closed.set()

    loop.add_reader(0, read_input)
    await closed.wait()


async def run_announcers(order: dict) -> None:
    """Run many lightweight agents until standard input is closed."""
    from tools.capacity.announcers import Announcers

    count_transport()
    announcers = Announcers(order['entry'], order['workers'], order['tasks'])
    running = asyncio.create_task(announcers.run())
    await run_until_closed('', '', announcers.describe)
    running.cancel()


def main() -> None:
    """Run the role that the JSON of the first argument names."""
    order = json.loads(sys.argv[1])
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    runs = {
        'entry': run_role,
        'agent': run_role,
        'standins': run_standins,
        'announcers': run_announcers,
    }
    asyncio.run(runs[order['role']](order))


if __name__ == '__main__':
    try:
        main()
    finally:
        sys.stdout.flush()
        # Do not wait for threads of the libraries; there is no data left to save.
        os._exit(0)
