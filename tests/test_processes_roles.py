"""Tests of single processes with a failed task or log stream."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from tests import processes
from tests.processes import poll_until

FAULT_STATUS = 70
STOP_LIMIT_S = 15
# Exceeds the capacity of a pipe (64 KiB) and that of the queue of log lines.
LINES = 12_000

BROKEN_TICK = """
from yuccarelay.main import run
from yuccarelay.tasks import state_machine

async def fail(self):
    raise ValueError('no\\nticks')

state_machine.TickTask.run = fail
run()
"""
LOG_FLOOD = f"""
from yuccarelay import roles
from yuccarelay.main import run

def serve(*arguments):
    journal = roles_journal(*arguments)
    for number in range({LINES}):
        journal.write('line', {{'number': number}})
    return journal

roles_journal, roles.EliotJournal = roles.EliotJournal, serve
run()
"""


class RoleCase(unittest.TestCase):
    """Base class; starts one agent whose entry and target do not exist."""

    def start(self, code, **streams):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = folder / 'agent.json'
        settings = {
            'worker': 'hobart-1',
            'listen': '127.0.0.1:0',
            'entries': ['127.0.0.1:1'],
            'target': 'http://127.0.0.1:1',
            'service': processes.SERVICE,
            'region': processes.REGION,
            'domain': 'hobart',
            'rack': 'hobart-r1',
            'drain_s': 0,
        }
        path.write_text(json.dumps(settings))
        process = subprocess.Popen(
            [sys.executable, '-c', code, 'agent', '--settings', str(path)],
            cwd=processes.ROOT,
            stdin=subprocess.DEVNULL,
            **streams,
        )
        self.addCleanup(self.end, process)
        return process

    def end(self, process):
        if process.poll() is None:
            process.kill()
        process.wait()
        if process.stderr:
            process.stderr.close()


class TaskFailureTest(RoleCase):
    """Guards against a role that runs on after a task failed, or exits silently."""

    def test_failed_task_logs_one_line_and_exits_non_zero(self):
        process = self.start(BROKEN_TICK, stderr=subprocess.PIPE, text=True)
        _, log = process.communicate(timeout=STOP_LIMIT_S)
        self.assertEqual(process.returncode, FAULT_STATUS)
        lines = log.splitlines()
        self.assertIn('event=task_failed task=TickTask', lines[-1])
        self.assertIn('no\\\\nticks', lines[-1])
        self.assertEqual(len(lines), 2, log)


class LogStreamTest(RoleCase):
    """Guards against a role that hangs or ends when its log is not read."""

    def stop(self, process):
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(STOP_LIMIT_S), 0)

    def test_full_pipe_does_not_block(self):
        process = self.start(LOG_FLOOD, stderr=subprocess.PIPE)
        self.await_listening(process)
        self.stop(process)

    def test_closed_pipe_does_not_end_the_role(self):
        process = self.start(LOG_FLOOD, stderr=subprocess.PIPE)
        process.stderr.close()
        self.await_listening(process)
        self.stop(process)

    def await_listening(self, process):
        """Wait until the process handles SIGTERM, which it does once it listens."""

        def handles_sigterm():
            status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
            caught = next(
                line.split()[1]
                for line in status.splitlines()
                if line.startswith('SigCgt')
            )
            return int(caught, 16) & 1 << (signal.SIGTERM - 1)

        poll_until(handles_sigterm)
