"""A journal that also updates the metrics, so that metrics and log agree."""

from collections.abc import Mapping

from yuccarelay.ports.journal import Journal
from yuccarelay.ports.metrics import Metrics

# The field with the result of an event; each result has a counter of its own.
RESULT_FIELDS = {
    'job_ended': 'state',
    'order_done': 'result',
    'request_answered': 'outcome',
    'run_ended': 'how',
    'run_released': 'reason',
    'run_stopping': 'reason',
    'run_times_switched': 'predictor',
    'start_declined': 'reason',
    'unit_waiting': 'cause',
    'run_unsettled': 'stage',
    'call_relayed': 'outcome',
    'requests_limited': 'reason',
}
# The field of an event that stands for several occurrences with their number.
COUNT_FIELDS = {'requests_limited': 'count'}
# Events with a duration: the metric, and the fields with its class and duration.
TIMES = {
    'job_ended': ('job', 'queue', 'age_ms'),
    'request_answered': ('request', 'method', 'took_ms'),
}
# Events whose numeric fields are the latest state of the process.
STATES = frozenset({'planner_state'})


class MeteredJournal:
    """Writes events to a journal, counts them and records their durations."""

    def __init__(self, journal: Journal, metrics: Metrics):
        self.journal = journal
        self.metrics = metrics

    def write(self, event: str, fields: Mapping[str, object]) -> None:
        """Write the event with its fields."""
        self.journal.write(event, fields)
        result = fields.get(RESULT_FIELDS.get(event, ''), '')
        count = int(fields.get(COUNT_FIELDS.get(event, ''), 1))
        self.metrics.count(f'{event}.{result}' if result else event, count)
        if event in TIMES:
            name, job_class, time = TIMES[event]
            self.metrics.observe(
                name,
                str(fields.get('organisation', '')),
                str(fields.get(job_class, '')),
                int(fields[time]),
            )
        if fields.get('lost_core_s'):
            self.metrics.count_waste(
                str(fields['queue']), str(fields['cause']), float(fields['lost_core_s'])
            )
        if event in STATES:
            for name, value in fields.items():
                self.metrics.gauge(name, float(value))

    def close(self) -> None:
        """Close the journal."""
        self.journal.close()
