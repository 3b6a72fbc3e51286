"""Tests of the sampler that shows processes which do not wait."""

import asyncio
import sys
import unittest
from unittest import mock

from tests import processor_time
from tests.fakes import stop_task
from tests.processor_time import (
    SPIN_S,
    ProcessorTimes,
    Sample,
    find_largest_share,
    read_processor_s,
)


class LargestShareTest(unittest.TestCase):
    """Guards against a process that uses a core between idle times and is missed."""

    def samples(self, *shares):
        """Return samples, one each second, of a process with these shares of a core."""
        used_s, found = 0.0, [Sample(0.0, 0.0)]
        for number, share in enumerate(shares, 1):
            used_s += share
            found.append(Sample(float(number), used_s))
        return found

    def test_a_core_for_the_whole_span_is_found_between_idle_times(self):
        busy = [1.0] * int(SPIN_S)
        samples = self.samples(0.0, 0.0, *busy, 0.0, 0.0, 0.0)
        self.assertAlmostEqual(find_largest_share(samples), 1.0)

    def test_a_start_that_uses_a_core_for_two_seconds_is_no_spin(self):
        samples = self.samples(1.0, 1.0, *[0.05] * 10)
        self.assertLess(find_largest_share(samples), 0.5)

    def test_samples_of_a_shorter_span_prove_nothing(self):
        self.assertEqual(find_largest_share(self.samples(1.0, 1.0, 1.0)), 0.0)
        self.assertEqual(find_largest_share([]), 0.0)


class ProcessorTimesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a check that cannot fail for a real process."""

    async def test_a_process_that_goes_round_is_listed_and_an_idle_one_is_not(self):
        processes = {}
        for name, code in (
            ('spins', 'while True: pass'),
            ('waits', 'import time; time.sleep(600)'),
        ):
            process = await asyncio.create_subprocess_exec(sys.executable, '-c', code)
            processes[name] = process
        times = ProcessorTimes(lambda: [(k, p.pid) for k, p in processes.items()])
        sampling = asyncio.create_task(times.run())
        try:
            # Other load may take a part of the core.
            with mock.patch.object(processor_time, 'SPIN_SHARE', 0.1):
                async with asyncio.timeout(120):
                    while not (found := times.list_spinning()):
                        await asyncio.sleep(0.2)
        finally:
            await stop_task(sampling)
            for process in processes.values():
                process.kill()
                await process.wait()
        self.assertEqual(len(found), 1)
        self.assertTrue(found[0].startswith('spins '), found)
        self.assertIsNone(read_processor_s(process.pid))


if __name__ == '__main__':
    unittest.main()
