"""What the roles on the users' platform have in common: clock, settings and journal."""

import time
from collections.abc import Callable

from result import Err, Ok

from yuccarelay.adapters.eliot_journal import EliotJournal
from yuccarelay.adapters.http_server import RequestGuard
from yuccarelay.adapters.metered_journal import MeteredJournal
from yuccarelay.core.request_budget import RequestTerms
from yuccarelay.environment import Environment
from yuccarelay.platform.settings import HostSettings, read_settings
from yuccarelay.ports.activity import ActivityMeter
from yuccarelay.ports.journal import Journal
from yuccarelay.tasks.activity import ActivityTask
from yuccarelay.tasks.metrics import MetricsTask, QueuedMetrics


class BootClock:
    """
    Clock that also counts the time for which an instance is suspended.

    A lease in the store continues to run while an instance is suspended, so a planner
    that resumes must see that the time has passed.
    """

    def now_ms(self) -> int:
        """Return the current time in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def report_settings(
    settings: HostSettings,
    path: str,
    journal: Journal,
) -> None:
    """
    Read the settings again and log the fields that changed.

    A process applies its addresses and limits at its start; a change of them takes
    effect at its next start.
    """
    match read_settings(path):
        case Ok(found):
            names = [
                name
                for name in HostSettings._fields
                if getattr(found, name) != getattr(settings, name)
            ]
            journal.write('settings_read', {'changed': ','.join(names)})
        case Err(reason):
            journal.write('settings_unreadable', {'reason': reason})


def open_journal(
    settings: HostSettings,
    env: Environment,
    meter: ActivityMeter,
    terms: Callable[[], RequestTerms] = RequestTerms,
) -> tuple[EliotJournal | MeteredJournal, RequestGuard, list]:
    """
    Return the journal, the guard of all HTTP servers, and the tasks of each role.

    There is a metrics task if metrics have an address. `terms` returns the limits of a
    request.
    """
    journal = EliotJournal(env.stdout)
    if not settings.metrics_address:
        guard = RequestGuard(settings.limits, journal, terms)
        return journal, guard, [guard, ActivityTask(meter, journal, None, journal)]
    queued_metrics = QueuedMetrics()
    metered = MeteredJournal(journal, queued_metrics)
    guard = RequestGuard(settings.limits, metered, terms)
    task = MetricsTask(
        queued_metrics,
        settings.metrics_address,
        settings.metrics_path,
        journal,
        guard,
    )
    activity = ActivityTask(meter, metered, queued_metrics, thread_journal=journal)
    return metered, guard, [guard, activity, task]
