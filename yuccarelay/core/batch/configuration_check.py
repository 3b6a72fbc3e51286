"""
Checks of the operators' configuration before it comes in force, and what it changes.

An entry takes any configuration that it can decode. These checks find entries that
never match, and limits that contradict each other.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from yuccarelay.core.batch.models import AdviceTerms, Configuration, Organisation, Queue


class Place(NamedTuple):
    """A field of the queue or organisation with an index, or of the whole if none."""

    owner: str
    index: int
    field: str


class Fault(NamedTuple):
    """A broken rule, and where."""

    place: Place
    rule: str


class Difference(NamedTuple):
    """
    What differs from the version in force, and what that does to accepted work.

    `field` is empty if the whole subject differs.
    """

    subject: str
    field: str
    change: str
    effect: str


def check_configuration(
    configuration: Configuration,
    services: Iterable[str],
    accelerators: int | None = None,
) -> list[Fault]:
    """
    Return all broken rules.

    `services` are those that the configuration lists, and `accelerators` is the number
    that the fleet has, None if it is not known.
    """
    faults = []
    if configuration.version < 1:
        faults.append(Fault(Place('', 0, 'version'), 'must be at least 1'))
    if configuration.body_limit_bytes < 1:
        faults.append(Fault(Place('', 0, 'body_limit_bytes'), 'must be at least 1'))
    faults += check_queues(configuration.queues, frozenset(services))
    faults += check_organisations(configuration.organisations, accelerators)
    return faults


def check_queues(
    queues: tuple[Queue, ...], services: frozenset[str]
) -> Iterator[Fault]:
    """Yield the broken rules of queues."""
    names: dict[str, int] = {}
    addresses: dict[tuple[str, str], str] = {}
    for index, queue in enumerate(queues):
        for field, rule in check_queue(queue):
            yield Fault(Place('queue', index, field), rule)
        first = names.setdefault(queue.name, index)
        if first != index:
            rule = f'{queue.name!r} is also the name of queue {first}'
            yield Fault(Place('queue', index, 'name'), rule)
        before = addresses.setdefault((queue.host, queue.prefix), queue.name)
        if first == index and before != queue.name:
            rule = f'never matches: queue {before!r} has the same host and prefix'
            yield Fault(Place('queue', index, 'prefix'), rule)
        if queue.service not in services:
            rule = f'service {queue.service!r} is not listed'
            yield Fault(Place('queue', index, 'service'), rule)


def check_queue(queue: Queue) -> Iterator[tuple[str, str]]:
    """Yield the fields of a queue that break a rule, with the rule."""
    if not queue.name:
        yield 'name', 'must not be empty'
    if not queue.prefix.startswith('/'):
        yield 'prefix', 'never matches: must start with "/"'
    if queue.max_attempts < 1:
        yield 'max_attempts', 'must be at least 1; the first failure ends a job'
    if queue.priority < 0:
        yield 'priority', 'must be at least 0'
    if not queue.slack_factor > 0:
        yield 'slack_factor', 'must be above 0'
    for field in ('objective_ms', 'timeout_ms'):
        if getattr(queue, field) < 0:
            yield field, 'must be at least 0'
    if 0 < queue.timeout_ms <= queue.objective_ms:
        rule = f'must be below the timeout of {queue.timeout_ms} ms'
        yield 'objective_ms', rule
    if queue.advice is not None:
        yield from check_advice(queue.advice)


def check_advice(advice: AdviceTerms) -> Iterator[tuple[str, str]]:
    """Yield the broken rules of the terms of advice."""
    if min(advice) < 0:
        yield 'advice', 'times must be at least 0'
    if advice.valid_ms <= advice.decision_ms + advice.worker_ms:
        yield 'advice', 'a ticket for one worker is no longer valid when it is given'


def check_organisations(
    organisations: tuple[Organisation, ...], accelerators: int | None
) -> Iterator[Fault]:
    """Yield the broken rules of organisations and their guarantees."""
    names: dict[str, int] = {}
    holders: dict[str, str] = {}
    total = 0
    for index, organisation in enumerate(organisations):
        name, keys, guaranteed = organisation
        if not name:
            yield Fault(Place('organisation', index, 'name'), 'must not be empty')
        first = names.setdefault(name, index)
        if first != index:
            rule = f'{name!r} is also the name of organisation {first}'
            yield Fault(Place('organisation', index, 'name'), rule)
        place = Place('organisation', index, 'keys')
        if '' in keys:
            yield Fault(place, 'a key must not be empty')
        # Keys are secrets, so a fault names only their holders.
        shared = {holders[key] for key in keys if key in holders}
        for other in sorted(shared):
            yield Fault(place, f'a key is also held by {other!r}, which it counts for')
        holders |= {key: name for key in keys if key not in holders}
        place = Place('organisation', index, 'guaranteed')
        if guaranteed < 0:
            yield Fault(place, 'must be at least 0')
        total += max(0, guaranteed)
        if accelerators is not None and guaranteed > accelerators:
            yield Fault(
                place, f'more than the {accelerators} accelerators of the fleet'
            )
    if accelerators is not None and total > accelerators:
        rule = f'{total} in all, more than the {accelerators} of the fleet'
        yield Fault(Place('organisation', -1, 'guaranteed'), rule)


QUEUE_EFFECTS = {
    'host': 'callers must use the new address; accepted jobs go on',
    'prefix': 'callers must use the new address; accepted jobs go on',
    'service': 'tasks that wait go to the new service; runs go on where they are',
    'priority': 'accepted jobs are ordered by the new value at once',
    'max_attempts': 'counts for accepted jobs too, at their next failure',
    'slack_factor': 'accepted jobs are ordered by the new objective at once',
    'objective_ms': 'accepted jobs are ordered by the new objective at once',
    'timeout_ms': 'none',
    'public': 'decides who may read and cancel accepted jobs',
    'advice': 'counts for tasks that are not started yet',
}


def compare_configurations(
    before: Configuration, after: Configuration
) -> list[Difference]:
    """Return what differs between the version in force and a new one."""
    found = []
    if after.version <= before.version:
        change = f'{after.version} is not above {before.version}'
        effect = 'none; it never comes in force'
        found.append(Difference('configuration', 'version', change, effect))
    found += compare_queues(before, after)
    found += compare_organisations(before, after)
    if before.guarded_services != after.guarded_services:
        names = sorted(before.guarded_services ^ after.guarded_services)
        change = f'other for {", ".join(names)}'
        effect = 'none; the workers themselves check'
        found.append(Difference('services', 'admission_check', change, effect))
    if before.body_limit_bytes != after.body_limit_bytes:
        change = f'{before.body_limit_bytes} to {after.body_limit_bytes}'
        effect = 'none; it is for new requests'
        found.append(Difference('configuration', 'body_limit_bytes', change, effect))
    return found


def compare_queues(before: Configuration, after: Configuration) -> Iterator[Difference]:
    """Yield the differences of queues."""
    old = {queue.name: queue for queue in before.queues}
    new = {queue.name: queue for queue in after.queues}
    for name in sorted(old.keys() - new.keys()):
        effect = 'takes no more jobs; accepted ones run to their end on its last terms'
        yield Difference(f'queue {name!r}', '', 'is removed', effect)
    for name in sorted(new.keys() - old.keys()):
        yield Difference(f'queue {name!r}', '', 'is added', 'none')
    for name in sorted(old.keys() & new.keys()):
        for field, effect in QUEUE_EFFECTS.items():
            values = getattr(old[name], field), getattr(new[name], field)
            if values[0] != values[1]:
                change = f'{values[0]!r} to {values[1]!r}'
                yield Difference(f'queue {name!r}', field, change, effect)


def compare_organisations(
    before: Configuration, after: Configuration
) -> Iterator[Difference]:
    """Yield the differences of organisations; keys are counted, never named."""
    old = {organisation.name: organisation for organisation in before.organisations}
    new = {organisation.name: organisation for organisation in after.organisations}
    for name in sorted(old.keys() - new.keys()):
        effect = 'its keys are refused; its accepted jobs run without a guarantee'
        yield Difference(f'organisation {name!r}', '', 'is removed', effect)
    for name in sorted(new.keys() - old.keys()):
        yield Difference(f'organisation {name!r}', '', 'is added', 'none')
    for name in sorted(old.keys() & new.keys()):
        first, second = old[name], new[name]
        removed = len(first.keys - second.keys)
        added = len(second.keys - first.keys)
        if removed or added:
            change = f'{removed} removed, {added} added'
            effect = 'none; callers with a removed key are refused'
            yield Difference(f'organisation {name!r}', 'keys', change, effect)
        if first.guaranteed != second.guaranteed:
            amounts = f'{first.guaranteed} to {second.guaranteed}'
            effect = 'accepted urgent jobs are within the new guarantee or not, at once'
            if second.guaranteed < first.guaranteed:
                effect += '; jobs that no longer fit displace nothing by right'
            yield Difference(f'organisation {name!r}', 'guaranteed', amounts, effect)
