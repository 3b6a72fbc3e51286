"""
Runs the parts of the capacity measurement, each with a time limit.

    python -m tools.capacity                      all parts
    python -m tools.capacity decisions manifests  some parts
"""

import asyncio
import sys
import time

from tools.capacity.decisions import measure_decisions
from tools.capacity.heartbeats import measure_heartbeats
from tools.capacity.manifests import measure_manifests
from tools.capacity.processes import measure_processes
from tools.capacity.report import Report
from tools.capacity.startup import measure_idle, measure_startup
from tools.capacity.store_calls import measure_store_calls

PARTS = {
    'manifests': measure_manifests,
    'decisions': measure_decisions,
    'startup': measure_startup,
    'idle': measure_idle,
    'storecalls': measure_store_calls,
    'reporting': measure_heartbeats,
    'processes': measure_processes,
}
PART_LIMIT_S = 240


async def run_part(name: str) -> bool:
    """Run one part; return false if it failed or exceeded the time limit."""
    report = Report(name)
    try:
        async with asyncio.timeout(PART_LIMIT_S):
            await PARTS[name](report)
    except (TimeoutError, RuntimeError) as error:
        print(f'{name}: failed: {type(error).__name__}: {error}', flush=True)
        return False
    report.save()
    return True


def main() -> int:
    """Run the named parts, or all, and return the exit status."""
    names = sys.argv[1:] or list(PARTS)
    unknown = [name for name in names if name not in PARTS]
    if unknown:
        print(f'unknown part {unknown[0]}; the parts are {", ".join(PARTS)}')
        return 2
    started = time.monotonic()
    results = [asyncio.run(run_part(name)) for name in names]
    print(f'{sum(results)} of {len(results)} parts in', end=' ')
    print(f'{time.monotonic() - started:.0f} s')
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
