"""Policies and switches to compare, given as replaced module values."""

import importlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from yuccarelay.core.ordering import Fifo, JobQueue
from yuccarelay.core.placement import PlacementPolicy

NEVER_MS = 10**12
UNLIMITED = 10**9
CORE = 'yuccarelay.core'


@dataclass(frozen=True)
class Variant:
    """
    One policy under measurement.

    `values` maps names such as `health.FAILURE_MARGIN` to the values that replace
    them. Each case runs in a separate process, so they need not be restored.
    """

    name: str
    make_queue: Callable = JobQueue
    policy: PlacementPolicy = PlacementPolicy.BUDDY
    values: Mapping[str, object] = field(default_factory=dict)

    def apply(self) -> None:
        """Replace the values in the decision code; an unknown name is an error."""
        for name, value in self.values.items():
            *parts, last = f'{CORE}.{name}'.split('.')
            owner = importlib.import_module('.'.join(parts[:3]))
            for part in parts[3:]:
                owner = getattr(owner, part)
            getattr(owner, last)
            setattr(owner, last, value)


def offer_nothing(spec, candidates) -> list:
    """Return no workers; replaces a source of capacity that is switched off."""
    return []


def find_usable_capped(self, worker_ids, now_ms):
    """Leave out at most half of the workers, those with the most ejections first."""
    all_workers = frozenset(worker_ids)
    ejected = [
        (status.ejections, worker_id)
        for worker_id, status in self.statuses.items()
        if worker_id in all_workers
        and hasattr(status, 'ejections')
        and type(status).__name__ != 'Healthy'
        and not self._may_probe(worker_id, now_ms)
    ]
    ejected.sort(reverse=True)
    return all_workers.difference(name for _, name in ejected[: len(all_workers) // 2])


NO_EJECTION = {'health.FAILURE_MARGIN': 10.0}
NO_BUDGET = {'retry.BUDGET_MINIMUM': UNLIMITED}
NO_ADVANCE_RESERVATION = {'advance_reservation.ADVANCE_RESERVATION_AGE_MS': NEVER_MS}
NO_ADMISSION = {'admission.START_SAMPLES_NEEDED': UNLIMITED}
CHARGED_AT_END = {'attempt_tracking.CHARGE_INTERVAL_MS': NEVER_MS}
AGED_FIRST = {'ordering.UNAGED_FIRST': False}
NO_BORROWING = {
    'placement._offer_free': offer_nothing,
    'placement._offer_free_or_owned': offer_nothing,
}

CURRENT = Variant('present')
BASELINE = Variant(
    name='plain',
    make_queue=Fifo,
    policy=PlacementPolicy.FIRST_FIT,
    values=NO_EJECTION | NO_BUDGET | NO_ADVANCE_RESERVATION | NO_ADMISSION,
)
