"""Tests of the journal and the metrics."""

import io
import random
import socket
import unittest

from yuccarelay.adapters import eliot_journal, statsd_metrics


class JournalTest(unittest.TestCase):
    """Guards against log lines that programs cannot parse."""

    def make_journal(self):
        journal = eliot_journal.EliotJournal(io.StringIO())
        self.addCleanup(journal.close)
        return journal

    def test_line_starts_with_utc_time_and_event(self):
        line = eliot_journal.format_line(0.0625, 'job_ended', {'job_id': '7-1'})
        expected = 'time=1970-01-01T00:00:00.062Z event=job_ended job_id=7-1\n'
        self.assertEqual(line, expected)

    def test_values_are_quoted_when_needed(self):
        cases = [
            ('plain', 'plain'),
            ('two words', '"two words"'),
            ('', '""'),
            ('a=b', '"a=b"'),
            ('say "x"', '"say \\"x\\""'),
            ('line\nbreak', '"line\\nbreak"'),
            (True, 'true'),
            (None, 'none'),
            (1.5, '1.5'),
        ]
        for value, text in cases:
            self.assertEqual(eliot_journal.format_value(value), text)

    def test_one_line_per_event_whatever_the_field_names(self):
        journal = self.make_journal()
        fields = {'timestamp': 'x', 'message_type': 'y', 'a b\n': 1}
        journal.write('odd_fields', fields)
        lines = journal.stream.getvalue().splitlines()
        self.assertEqual(len(lines), 1)
        self.assertRegex(
            lines[0],
            r'^time=\S+Z event=odd_fields timestamp=x '
            r'message_type=y a_b_=1$',
        )

    def test_journals_of_one_process_are_separate(self):
        first, second = self.make_journal(), self.make_journal()
        first.write('first_event', {})
        second.write('second_event', {})
        self.assertEqual(first.stream.getvalue().count('\n'), 1)
        self.assertIn('event=second_event', second.stream.getvalue())
        second.close()
        second.write('after_close', {})
        self.assertNotIn('after_close', second.stream.getvalue())
        self.addCleanup(eliot_journal.eliot.add_destinations, second._write_message)


class MetricsTest(unittest.TestCase):
    """Guards against wrong summaries, unlimited memory and sends that raise."""

    def test_summary_is_close_to_the_exact_percentiles(self):
        metrics = statsd_metrics.StatsdMetrics(None)
        generator = random.Random(5)
        values = sorted(int(generator.lognormvariate(8, 2)) for _ in range(5_000))
        for value in values:
            metrics.observe('completion', 'guild', 'urgent', value)
        (row,) = metrics.list_histograms()
        self.assertEqual(row.count, 5_000)
        for shown, exact in [
            (row.p50_ms, values[2_499]),
            (row.p90_ms, values[4_499]),
            (row.p99_ms, values[4_949]),
            (row.max_ms, values[-1]),
        ]:
            self.assertLessEqual(abs(shown - exact), exact * 0.01 + 1)

    def test_values_and_number_are_bounded(self):
        metrics = statsd_metrics.StatsdMetrics(None)
        for value in (-5, 0, 10**15):
            metrics.observe('wait', 'guild', 'urgent', value)
        (row,) = metrics.list_histograms()
        self.assertEqual(row.count, 3)
        self.assertLessEqual(row.max_ms, statsd_metrics.HIGHEST_MS * 1.01)
        for number in range(statsd_metrics.HISTOGRAM_LIMIT + 4):
            metrics.observe('wait', f'team-{number}', 'urgent', 1)
        self.assertEqual(len(metrics.histograms), statsd_metrics.HISTOGRAM_LIMIT)
        self.assertEqual(metrics.dropped, 5)

    def test_table(self):
        metrics = statsd_metrics.StatsdMetrics(None)
        metrics.observe('wait', 'guild', 'urgent', 7)
        expected = (
            'name  organisation  job_class  count  p50_ms  p90_ms  p99_ms  max_ms\n'
            'wait  guild         urgent         1       7       7       7       7\n'
        )
        self.assertEqual(metrics.format_histograms(), expected)

    def test_packets_reach_statsd(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(('127.0.0.1', 0))
            receiver.settimeout(5)
            metrics = statsd_metrics.StatsdMetrics(receiver.getsockname())
            self.addCleanup(metrics.close)
            metrics.count('jobs', 2)
            metrics.observe('wait', 'a.b', 'urgent', 7)
            packets = [receiver.recv(512) for _ in range(2)]
        self.assertEqual(packets[0], b'yuccarelay.jobs:2|c')
        self.assertEqual(packets[1], b'yuccarelay.wait.a_b.urgent:7.000000|ms')

    def test_unreachable_statsd_is_ignored(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(('127.0.0.1', 0))
            address = receiver.getsockname()
        metrics = statsd_metrics.StatsdMetrics(address)
        self.addCleanup(metrics.close)
        for _ in range(1_000):
            metrics.count('jobs', 1)
