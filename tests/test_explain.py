"""Tests of explaining a job from log lines."""

import tempfile
import unittest
from pathlib import Path

from tests.utils import make_fake_environment, read_stream
from yuccarelay.exit_status import ExitStatus
from yuccarelay.explain import parse_line, select_job_lines, summarise_job_lines
from yuccarelay.main import main

JOB = '0123456789abcdef'
OTHER = 'fedcba9876543210'
ENTRY = f"""
2.1 entry-1 time=T02 event=request_answered method=POST path=/q/{JOB} outcome=Accepted
time=T03 event=run_assigned job={JOB} run=1 workers=side-1,side-2
time=T04 event=run_assigned job={OTHER} run=1 workers=side-9
time=T05 event=store_lost prefix=op/ reason="status 503"
time=T06 event=worker_draining agent=side-9
time=T07 event=worker_draining agent=side-1
time=T08 event=run_stopping task={JOB}.0.0.1 run=1 reason=worker_draining
time=T09 event=job_ended job={JOB} state=completed
time=T10 event=store_found prefix=op/ reason=""
not a line of a log
"""
# The last two lines differ only in their fields.
AGENT = f"""
time=T04 event=order_done order=Start task={JOB}.0.0.1 run=1 result=Started
time=T09 event=job_ended job={JOB} state=completed
time=T09 event=job_ended job={JOB} state=completed again=true
"""


class JobLinesTest(unittest.TestCase):
    """Guards against output that lacks a cause or includes lines of other jobs."""

    def setUp(self):
        texts = [*ENTRY.splitlines(), *AGENT.splitlines()]
        lines = [parse_line(text, 'file') for text in texts]
        self.job_lines = select_job_lines([line for line in lines if line], JOB)

    def test_lines_of_all_processes_are_in_order_of_time(self):
        self.assertEqual(
            [line.event for line in self.job_lines],
            [
                'request_answered',
                'run_assigned',
                'order_done',
                'store_lost',
                'worker_draining',
                'run_stopping',
                'job_ended',
                'job_ended',
            ],
        )
        self.assertEqual(self.job_lines[4].fields['agent'], 'side-1')

    def test_source_and_quoted_values_are_read(self):
        self.assertEqual(self.job_lines[0].source, 'entry-1')
        self.assertEqual(self.job_lines[1].source, 'file')
        self.assertEqual(self.job_lines[3].fields['reason'], 'status 503')

    def test_summary_counts_what_happened(self):
        summary = '\n'.join(summarise_job_lines(self.job_lines, JOB))
        self.assertIn('requests: Accepted 1', summary)
        self.assertIn('stops: worker_draining 1', summary)
        self.assertIn('job: completed 2', summary)
        self.assertIn('store_lost 1', summary)


class CommandTest(unittest.TestCase):
    """Guards against a command that does not report that it found nothing."""

    def run_command(self, *args: str, stdin: bytes = b''):
        env = make_fake_environment(stdin)
        status = main(args, env)
        return status, read_stream(env.stdout), read_stream(env.stderr)

    def test_files_and_standard_input_give_the_same_output(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, 'file.log')
            path.write_text(ENTRY + AGENT)
            status, from_file, _ = self.run_command('explain', JOB, str(path))
        self.assertEqual(status, ExitStatus.OK)
        self.assertIn('order_done', from_file)
        status, from_input, _ = self.run_command(
            'explain', JOB, stdin=(ENTRY + AGENT).encode()
        )
        self.assertEqual(from_input.replace('input', 'file '), from_file)

    def test_unknown_job_and_missing_file_give_one_line_errors(self):
        status, output, errors = self.run_command('explain', JOB, stdin=b'')
        self.assertEqual((status, output), (ExitStatus.REFUSED, ''))
        self.assertIn(JOB, errors)
        status, _, errors = self.run_command('explain', JOB, '/no/such/file')
        self.assertEqual(status, ExitStatus.INVALID)
        self.assertEqual(errors.count('\n'), 1)
