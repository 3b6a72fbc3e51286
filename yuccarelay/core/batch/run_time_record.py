"""
What a planner hands on about run times to its successors.

The record may be stale or lost, and nothing safe depends on it. It is bounded, because
each entry receives each version of it.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from yuccarelay.core.batch.run_time_model import Group
from yuccarelay.core.batch.run_times import (
    RATIO_BOUNDS,
    GroupKey,
    QueueTimes,
    RunTimes,
    log_or_none,
)
from yuccarelay.core.batch.worker_speeds import Evidence

# The record is written at most once in this time, and only if it has changed.
WRITE_PERIOD_MS = 5_000
# Queues with the latest observations, and the latest groups of each.
STORED_QUEUES = 20
STORED_GROUPS = 12
# Names in one queue's entry; images beyond that are left out with their groups.
STORED_NAMES_LENGTH = 300
# Workers and kinds with the latest observations whose speeds are handed on.
STORED_WORKERS = 60
STORED_KINDS = 20
STORED_NAME_LENGTH = 60
# Longer times and estimates are not believable, and stored as this.
LONGEST_RUN_MS = 10**11
# Thousandths of a logarithm: a factor of 22,000.
LARGEST_SPREAD = 10_000
# A speed in the same unit, and its weight.
LARGEST_SPEED = 1_000
LARGEST_WEIGHT = 1_000_000
# No group of the record; jobs have other names.
STORED_JOB = 'stored'


class StoredGroup(NamedTuple):
    """
    A group of tasks; `image` is an index into the images of its queue.

    `spread` is in thousandths of a logarithm. A guess is 0 if there was none.
    """

    submitted_ms: int
    ran_ms: int
    spread: int
    count: int
    is_gang: bool
    image: int
    submitted_guess_ms: int
    learned_guess_ms: int


class StoredQueue(NamedTuple):
    """The groups of a queue, oldest first; `ratio` is in thousandths."""

    name: str
    ratio: int
    is_learned: bool
    images: tuple[str, ...]
    groups: tuple[StoredGroup, ...]


class StoredSpeed(NamedTuple):
    """Speed of a worker or a kind, in thousandths of a logarithm, and its weight."""

    name: str
    speed: int
    weight: int


class RunTimesRecord(NamedTuple):
    """Stored record of a planner."""

    queues: tuple[StoredQueue, ...] = ()
    workers: tuple[StoredSpeed, ...] = ()
    kinds: tuple[StoredSpeed, ...] = ()


def make_record(run_times: RunTimes) -> RunTimesRecord:
    """Return the record of the queues that were learned last."""
    latest = list(run_times.queues)[-STORED_QUEUES:]
    return RunTimesRecord(
        tuple(
            _store_queue(name, run_times)
            for name in latest
            if len(name) <= STORED_NAMES_LENGTH
        ),
        _store_speeds(run_times.speeds.workers, STORED_WORKERS),
        _store_speeds(run_times.speeds.kinds, STORED_KINDS),
    )


def _store_speeds(known: Mapping[str, Evidence], limit: int) -> tuple[StoredSpeed, ...]:
    return tuple(
        StoredSpeed(
            name,
            round(1_000 * evidence.total / evidence.weight),
            max(1, round(evidence.weight)),
        )
        for name, evidence in list(known.items())[-limit:]
        if len(name) <= STORED_NAME_LENGTH
    )


def _store_queue(name: str, run_times: RunTimes) -> StoredQueue:
    times = run_times.queues[name]
    ended = [group for group in times.groups.values() if group.count]
    images: list[str] = []
    groups = []
    for group in reversed(ended[-STORED_GROUPS:]):
        if group.image not in images:
            names = (name, *images, group.image)
            if sum(map(len, names)) > STORED_NAMES_LENGTH:
                continue
            images.append(group.image)
        groups.append(
            StoredGroup(
                _to_ms(group.submitted),
                _to_ms(group.centre),
                min(LARGEST_SPREAD, round(1_000 * group.spread)),
                group.count,
                group.is_gang,
                images.index(group.image),
                _to_ms(group.submitted_guess),
                _to_ms(group.learned_guess),
            )
        )
    ratio = round(1_000 * run_times.durations.ratios.get(name, 1.0))
    return StoredQueue(
        name, ratio, times.is_learned, tuple(images), tuple(reversed(groups))
    )


def load_record(run_times: RunTimes, record: RunTimesRecord) -> None:
    """Replace what is known of the queues in a record by what it says."""
    low, high = RATIO_BOUNDS
    for queue in record.queues[-STORED_QUEUES:]:
        groups = {
            GroupKey(STORED_JOB, 0, number): _load_group(queue.images, group)
            for number, group in enumerate(queue.groups[-STORED_GROUPS:])
        }
        run_times.queues[queue.name] = QueueTimes(groups, queue.is_learned)
        ratio = min(1_000 * high, max(1_000 * low, queue.ratio))
        run_times.durations.ratios[queue.name] = ratio / 1_000
    run_times.speeds.restore(
        _load_speeds(record.workers, STORED_WORKERS),
        _load_speeds(record.kinds, STORED_KINDS),
    )
    run_times.has_changed = False


def _load_speeds(stored: tuple[StoredSpeed, ...], limit: int) -> dict[str, Evidence]:
    return {
        one.name: Evidence(one.weight, one.weight * one.speed / 1_000)
        for one in stored[-limit:]
    }


def _load_group(images: tuple[str, ...], stored: StoredGroup) -> Group:
    """Return a group whose tasks have the centre and spread of the stored one."""
    centre, spread = math.log(stored.ran_ms), stored.spread / 1_000
    return Group(
        log_or_none(stored.submitted_ms),
        images[stored.image],
        stored.is_gang,
        logs=[centre - spread, centre, centre + spread] if spread else [centre],
        count=stored.count,
        centre=centre,
        spread=spread,
        submitted_guess=log_or_none(stored.submitted_guess_ms),
        learned_guess=log_or_none(stored.learned_guess_ms),
    )


def _to_ms(logarithm: float | None) -> int:
    if logarithm is None:
        return 0
    return min(LONGEST_RUN_MS, max(1, round(math.exp(logarithm))))
