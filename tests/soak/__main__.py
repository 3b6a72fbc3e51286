"""
Runs the soak test for some seeds: `python -m tests.soak --seeds 1-50 --jobs 3`.

Each seed determines a few faults, which are injected from outside into the running
processes while callers send requests. The logs of a failed seed are kept.
"""

import argparse
import asyncio
import sys
import time

from tests.soak.faults import draw_schedule
from tests.soak.run import ENTRIES, WORKERS, Soak


def parse_seeds(text: str) -> list[int]:
    """Parse a list of seeds and ranges such as `1-3,7`."""
    seeds: list[int] = []
    for part in text.split(','):
        first, _, last = part.partition('-')
        seeds += range(int(first), int(last or first) + 1)
    return seeds


async def run_seed(seed: int, slots: asyncio.Semaphore) -> bool:
    """Run one seed, print the result and return whether it passed."""
    async with slots:
        soak = Soak(seed)
        found = await soak.run()
    verdict = 'failed' if found else 'passed'
    print(f'seed {seed} {verdict}', flush=True)
    for text in found:
        print(f'  {text}')
    if found:
        print(f'  logs: {soak.system.folder}')
        for at_s, fault in draw_schedule(seed, ENTRIES, WORKERS):
            print(f'  {at_s:5.2f} s {fault}', flush=True)
    return not found


async def run_seeds(seeds: list[int], jobs: int) -> int:
    """Run seeds, at most `jobs` at a time, and return how many failed."""
    slots = asyncio.Semaphore(jobs)
    passed = await asyncio.gather(*(run_seed(seed, slots) for seed in seeds))
    return passed.count(False)


def main() -> int:
    """Run the seeds given on the command line; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-10', help='for example 1-50,77')
    parser.add_argument('--jobs', type=int, default=2, help='number of parallel runs')
    options = parser.parse_args()
    seeds = parse_seeds(options.seeds)
    started_s = time.monotonic()
    failed = asyncio.run(run_seeds(seeds, options.jobs))
    elapsed_s = time.monotonic() - started_s
    print(f'{len(seeds) - failed} passed, {failed} failed in {elapsed_s:.0f} s')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
