"""One run of the soak test with a seed."""

import asyncio
import json
import os
import random
import signal
import traceback
from collections import defaultdict

from tests.fakes import stop_task
from tests.host_system import CONFIGURATION, HostSystem, is_hangup_handled
from tests.processor_time import ProcessorTimes
from tests.soak import checks
from tests.soak.callers import Caller, Submission
from tests.soak.faults import (
    FAULT_WINDOW_S,
    CompactStore,
    CrashWorker,
    Fault,
    HangUp,
    ImpairLink,
    Kill,
    LoseStartReplies,
    LoseWriteReplies,
    Pause,
    Reconfigure,
    ResetLinks,
    StoreDown,
    Terminate,
    draw_schedule,
)
from tests.soak.proxy import Link, LinkImpairment

ENTRIES = 3
WORKERS = 4
CALLERS = 3
# The users' platform gives a process 6 s to exit after SIGTERM.
GRACE_S = 6.0
# Work of a lost worker restarts after its lease has expired, which takes some 15 s
# with a new planner; then the tasks themselves run.
SETTLE_LIMIT_S = 45.0
TASK_MS = (150, 1_500)


class SoakSystem(HostSystem):
    """A system in which each process reaches store and workers through proxies."""

    def __init__(self):
        super().__init__(workers=WORKERS, entries=ENTRIES)
        self.links: dict[tuple[str, str], Link] = {}

    async def map_address(self, node: str, name: str, address: str) -> str:
        """Start a proxy for an address and return the address of the proxy."""
        link = Link(address)
        await link.start()
        self.links[node, name] = link
        return link.address

    async def stop(self) -> None:
        """Stop the system and its proxies."""
        await super().stop()
        for link in self.links.values():
            await link.stop()


class Soak:
    """One run: callers, the faults of a seed, and the checks."""

    def __init__(self, seed: int):
        self.seed = seed
        self.rng = random.Random(seed)
        self.system = SoakSystem()
        self.version = 1
        self.found: list[str] = []
        self.terminated: list[tuple[str, float]] = []
        # Kills and pauses: a process that was suspended for the time of its drain
        # ends as soon as it resumes.
        self.disturbed: list[tuple[str, float]] = []
        self.restarts: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.processor_times = ProcessorTimes(self._list_processes)

    async def run(self) -> list[str]:
        """Run the soak and return the violated invariants, empty if there are none."""
        callers: list[Caller] = []
        sampling = asyncio.create_task(self.processor_times.run())
        try:
            await self.system.start()
            for worker in self.system.workers:
                worker.run_ms = self.rng.randint(*TASK_MS)
            callers = [
                Caller(
                    self.system, random.Random(self.seed * 100 + number), str(number)
                )
                for number in range(CALLERS)
            ]
            await self._run_load_and_faults(callers)
            await self._check(callers)
        except Exception:
            self.found.append(
                f'the soak run raised an exception: {traceback.format_exc()}'
            )
        finally:
            await stop_task(sampling)
            for caller in callers:
                await caller.session.close()
            await self.system.stop()
        return self.found

    def _list_processes(self) -> list[tuple[str, int]]:
        """Return the name and the id of each process that runs."""
        return [
            (node, process.pid)
            for node, process in self.system.processes.items()
            if process.returncode is None
        ]

    async def _run_load_and_faults(self, callers: list[Caller]) -> None:
        """Run the callers and inject the faults at the same time."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.run(start_s + FAULT_WINDOW_S + 2))
            for at_s, fault in draw_schedule(self.seed, ENTRIES, WORKERS):
                group.create_task(self._inject(start_s + at_s, fault))

    async def _inject(self, at_s: float, fault: Fault) -> None:
        """Wait for the time of a fault and inject it."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0, at_s - loop.time()))
        system = self.system
        match fault:
            case Kill(node, down_s):
                await self._replace(node, signal.SIGKILL, down_s)
            case Terminate(node):
                await self._replace(node, signal.SIGTERM, 0)
            case Pause(node, for_s):
                await self._pause(node, for_s)
            case HangUp():
                self._hang_up()
            case StoreDown(for_s):
                system.store.down = True
                await asyncio.sleep(for_s)
                system.store.down = False
            case LoseWriteReplies(answers, late):
                system.store.unanswered_writes += answers
                system.store.delayed_writes += late
            case CompactStore():
                system.store.memory.compact(system.store.memory.revision)
            case ImpairLink(node, name, impairment, for_s):
                system.links[node, name].set_impairment(impairment)
                await asyncio.sleep(for_s)
                system.links[node, name].set_impairment(LinkImpairment.NONE)
                # Connections that were blocked stay silent until they are closed.
            case ResetLinks():
                for link in system.links.values():
                    link.reset()
            case LoseStartReplies(worker, count):
                system.workers[worker].unanswered_starts += count
            case CrashWorker(worker):
                system.workers[worker].crash()
            case Reconfigure():
                self._reconfigure()

    def _hang_up(self) -> None:
        """Send SIGHUP to all processes except those whose interpreter is starting."""
        for process in self.system.processes.values():
            if process.returncode is None and is_hangup_handled(process.pid):
                process.send_signal(signal.SIGHUP)

    def _reconfigure(self) -> None:
        """Write a configuration version with a second key that changes each time."""
        self.version += 1
        text = json.dumps(CONFIGURATION | {'version': self.version})
        text = text.replace('"key-1"', f'"key-1", "key-v{self.version}"')
        self.system.store.write('op/config', text.encode())

    async def _replace(self, node: str, name: signal.Signals, down_s: float) -> None:
        """End a process with a signal and restart it after `down_s`."""
        loop = asyncio.get_running_loop()
        process = self.system.processes[node]
        if process.returncode is not None:
            return
        ended = self.disturbed if name is signal.SIGKILL else self.terminated
        ended.append((node, loop.time()))
        process.send_signal(name)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S + 1)
        except TimeoutError:
            self.found.append(f'{node} did not end within {GRACE_S} s of {name.name}')
            process.kill()
            await process.wait()
        if process.returncode not in (0, -signal.SIGKILL):
            self.found.append(f'{node} ends with {process.returncode}')
        await asyncio.sleep(down_s)
        # Two faults may end the same process; it is started again once.
        async with self.restarts[node]:
            if self.system.processes[node] is process:
                await self.system.start_process(node)

    async def _pause(self, node: str, for_s: float) -> None:
        """Suspend a process for `for_s`."""
        process = self.system.processes[node]
        if process.returncode is not None:
            return
        self.disturbed.append((node, asyncio.get_running_loop().time()))
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        if process.returncode is None:
            os.kill(process.pid, signal.SIGCONT)

    async def _check(self, callers: list[Caller]) -> None:
        """Wait until all jobs have ended, then check the invariants."""
        jobs = [job for caller in callers for job in caller.jobs]
        final = await self._settle(jobs)
        histories = [worker.history for worker in self.system.workers]
        self.found += checks.check_no_overlapping_runs(histories)
        self.found += checks.check_submitted(histories, jobs)
        self.found += checks.check_reported_states(jobs)
        interrupted = [one for caller in callers for one in caller.interrupted_requests]
        self.found += checks.check_shutdown(
            self.terminated, self.disturbed, interrupted
        )
        self.found += checks.check_finished(histories, jobs, final)
        self.found += [
            f'{worker.name} still runs {list(worker.runs)}'
            for worker in self.system.workers
            if worker.runs
        ]
        self.found += [
            f'{node} ended by itself with {process.returncode}'
            for node, process in self.system.processes.items()
            if process.returncode is not None
        ]
        self.found += self.processor_times.list_spinning()
        if not any(job.accepted_s for job in jobs):
            self.found.append('no job was accepted')

    async def _settle(self, jobs: list[Submission]) -> dict[str, str]:
        """Query the jobs until all have ended and no worker is busy, up to a limit."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + SETTLE_LIMIT_S
        final: dict[str, str] = {}
        while loop.time() < deadline_s:
            for job in jobs:
                if final.get(job.id) not in ('completed', 'cancelled', 'failed'):
                    final[job.id] = await self._query_state(job)
            open_jobs = [
                job
                for job in jobs
                if job.accepted_s
                and final[job.id] not in ('completed', 'cancelled', 'failed')
            ]
            if not open_jobs and not any(w.runs for w in self.system.workers):
                break
            await asyncio.sleep(0.3)
        return final

    async def _query_state(self, job: Submission) -> str:
        """Return the state that a random entry reports, or the status of its reply."""
        node = self.rng.choice(list(self.system.front_addresses))
        status, body = await self.system.call('GET', f'/q/{job.id}', node)
        return body['state'] if status == 200 else f'status {status}'
