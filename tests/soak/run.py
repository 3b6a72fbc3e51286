"""One seeded run of the soak."""

import asyncio
import json
import os
import random
import signal
import time
import traceback

from tests.host_system import CONFIGURATION, HostSystem
from tests.soak import checks
from tests.soak.callers import Caller, Submission
from tests.soak.faults import (
    FAULTS_S,
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
# After SIGTERM a process has 6 s on the users' platform.
GRACE_S = 6.0
# Work of a lost worker starts again after the bound of its lease, some 15 s
# with a new planner; then come the tasks themselves.
SETTLE_LIMIT_S = 45.0
TASK_MS = (150, 1_500)
# Before its first line of Python a process cannot ignore a signal.
STARTING_S = 0.15


class SoakSystem(HostSystem):
    """The system with a proxy in front of store and workers for each process."""

    def __init__(self):
        super().__init__(workers=WORKERS, entries=ENTRIES)
        self.links: dict[tuple[str, str], Link] = {}

    async def map_address(self, node: str, name: str, address: str) -> str:
        """Return the address of a new proxy."""
        link = Link(address)
        await link.start()
        self.links[node, name] = link
        return link.address

    async def stop(self) -> None:
        """End what was started."""
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
        # Kills and pauses: a process that stood still for the time of its drain
        # ends when it goes on.
        self.disturbed: list[tuple[str, float]] = []

    async def run(self) -> list[str]:
        """Return the broken promises, empty if there are none."""
        callers: list[Caller] = []
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
            self.found.append(f'the run itself failed: {traceback.format_exc()}')
        finally:
            for caller in callers:
                await caller.session.close()
            await self.system.stop()
        return self.found

    async def _run_load_and_faults(self, callers: list[Caller]) -> None:
        """Let callers and faults go on together."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.run(start_s + FAULTS_S + 2))
            for at_s, fault in draw_schedule(self.seed, ENTRIES, WORKERS):
                group.create_task(self._inject(start_s + at_s, fault))

    async def _inject(self, at_s: float, fault: Fault) -> None:
        """Wait for the time of a fault and carry it out."""
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
                # Connections that were held stay silent for good.
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
        """Tell all processes but those whose interpreter is still starting."""
        young_s = time.monotonic() - STARTING_S
        for node, process in self.system.processes.items():
            if process.returncode is None and self.system.started_s[node] < young_s:
                process.send_signal(signal.SIGHUP)

    def _reconfigure(self) -> None:
        """Write a version with a second key that changes each time."""
        self.version += 1
        text = json.dumps(CONFIGURATION | {'version': self.version})
        text = text.replace('"key-1"', f'"key-1", "key-v{self.version}"')
        self.system.store.write('op/config', text.encode())

    async def _replace(self, node: str, name: signal.Signals, down_s: float) -> None:
        """End a process and start it again."""
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
            self.found.append(f'{node} does not end within {GRACE_S} s of {name.name}')
            process.kill()
            await process.wait()
        if process.returncode not in (0, -signal.SIGKILL):
            self.found.append(f'{node} ends with {process.returncode}')
        await asyncio.sleep(down_s)
        if self.system.processes[node] is process:
            await self.system.start_process(node)

    async def _pause(self, node: str, for_s: float) -> None:
        """Let a process stand still for a while."""
        process = self.system.processes[node]
        if process.returncode is not None:
            return
        self.disturbed.append((node, asyncio.get_running_loop().time()))
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        if process.returncode is None:
            os.kill(process.pid, signal.SIGCONT)

    async def _check(self, callers: list[Caller]) -> None:
        """Wait until everything has settled, then check the promises."""
        jobs = [job for caller in callers for job in caller.jobs]
        final = await self._settle(jobs)
        histories = [worker.history for worker in self.system.workers]
        self.found += checks.check_no_overlapping_runs(histories)
        self.found += checks.check_submitted(histories, jobs)
        self.found += checks.check_reported_states(jobs)
        cut = [one for caller in callers for one in caller.interrupted_requests]
        self.found += checks.check_shutdown(self.terminated, self.disturbed, cut)
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
        if not any(job.accepted_s for job in jobs):
            self.found.append('no job was accepted')

    async def _settle(self, jobs: list[Submission]) -> dict[str, str]:
        """Ask for the jobs until all have ended and no worker is busy."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + SETTLE_LIMIT_S
        final: dict[str, str] = {}
        while loop.time() < deadline_s:
            for job in jobs:
                if final.get(job.id) not in ('completed', 'cancelled', 'failed'):
                    final[job.id] = await self._ask(job)
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

    async def _ask(self, job: Submission) -> str:
        """Return the state that any entry shows, or the status of its answer."""
        node = self.rng.choice(list(self.system.front_addresses))
        status, body = await self.system.call('GET', f'/q/{job.id}', node)
        return body['state'] if status == 200 else f'status {status}'
