"""
Wire form of jobs and of the operators' configuration.

Fields that are zero, false or empty are left out on the wire.
"""

import msgspec
from result import Err, Ok, Result

from yuccarelay.adapters import decoding
from yuccarelay.adapters.decoding import Count, Integer
from yuccarelay.core.batch.models import (
    AdviceTerms,
    Configuration,
    Organisation,
    Queue,
    Resources,
    Step,
)
from yuccarelay.core.batch.request_handler import Draft

CONFIGURATION_KEY = 'op/config'
CONFIGURATION_PREFIX = 'op/'
# Followed by the name of a failure domain in which no more work may start.
EVACUATION_PREFIX = 'op/evacuate/'
# A planner holds the state of each task, about 1 kB, in memory.
TASKS_LIMIT = 100_000
# The platform's limit.
SPECIFICATION_LIMIT_BYTES = 4_000


class WireStep(msgspec.Struct, rename='camel'):
    """A step; `cpu` is in thousandths of a core, `requirements` is one label."""

    count: Integer
    cpu: Integer = 0
    mem_mb: Integer = 0
    gpu: Integer = 0
    estimated_ms: Integer = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ''
    data_rack: str = ''
    # The maximum number of the step's tasks on one worker.
    anti_affinity: Integer = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: Integer = 0
    # A flag despite its name: a best-effort step takes only processor time left by
    # others.
    fill_count: bool | int = False
    miss_allowance: Integer = -1


class WireJob(msgspec.Struct, rename='camel'):
    """A submission; `firstRunMs` is a Unix time."""

    specification: str
    steps: tuple[WireStep, ...]
    first_run_ms: Count = 0
    interval_ms: Count = 0
    repetitions: Count = 0


class WireGuarantee(msgspec.Struct):
    """Accelerators that belong to an organisation."""

    gpu: int = 0


class WireOrganisation(msgspec.Struct, rename='camel'):
    """An organisation, on the wire a tenant."""

    name: str
    api_keys: tuple[str, ...] = ()
    guaranteed: WireGuarantee = msgspec.field(default_factory=WireGuarantee)


class WireAdvice(msgspec.Struct, rename='camel'):
    """Times of the advice that a queue needs; `periodMs` counts for each worker."""

    decision_ms: int
    period_ms: int
    validity_ms: int


class WireQueue(msgspec.Struct, rename='camel'):
    """A queue, on the wire a route; `targetLatencyMs` is added to a job's objective."""

    name: str
    host: str
    prefix: str
    service: str = ''
    timeout_ms: int = 0
    target_latency_ms: int = 0
    priority: int = 1
    max_attempts: int = 1
    slack_factor: float = 1.0
    public_access: bool = False
    recommendation: WireAdvice | None = None


class WireService(msgspec.Struct, rename='camel'):
    """A service; with `admissionCheck` its workers reject what does not fit."""

    name: str
    admission_check: bool = False


class WireLimits(msgspec.Struct, rename='camel'):
    """Limits of callers' requests."""

    max_body_bytes: int = 262_144


class WireConfiguration(msgspec.Struct, rename='camel'):
    """The operators' configuration."""

    version: int
    routes: tuple[WireQueue, ...] = ()
    services: tuple[WireService, ...] = ()
    tenants: tuple[WireOrganisation, ...] = ()
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


JOB_DECODER = msgspec.json.Decoder(WireJob)
CONFIGURATION_DECODER = msgspec.json.Decoder(WireConfiguration)


def decode_draft(body: bytes) -> Draft | str:
    """Return the job that a body describes, or what is wrong with it."""
    match decoding.decode(JOB_DECODER.decode, body):
        case Ok(job):
            return find_fault(job) or make_draft(job)
        case Err(reason):
            return f'the body is no job: {reason}'


def find_fault(job: WireJob) -> str:
    """Return which field of a submission breaks which rule, or an empty text."""
    if len(job.specification.encode()) > SPECIFICATION_LIMIT_BYTES:
        return f'specification must have at most {SPECIFICATION_LIMIT_BYTES} bytes'
    if not job.steps:
        return 'steps must have at least one step'
    for number, step in enumerate(job.steps):
        if step.count < 1:
            return f'steps[{number}].count must be at least 1'
        if any(not 0 <= earlier < number for earlier in step.after):
            return f'steps[{number}].after must name earlier steps'
        if min(step.cpu, step.mem_mb, step.gpu, step.estimated_ms) < 0:
            return f'steps[{number}] must not ask for less than nothing'
    if max(1, job.repetitions) * sum(step.count for step in job.steps) > TASKS_LIMIT:
        return f'steps and repetitions must not have more than {TASKS_LIMIT} tasks'
    return ''


def make_draft(job: WireJob) -> Draft:
    """Return the core's form of a submission."""
    return Draft(
        specification=job.specification,
        steps=tuple(make_step(step) for step in job.steps),
        first_run_ms=job.first_run_ms,
        interval_ms=job.interval_ms,
        repetitions=job.repetitions,
    )


def make_step(step: WireStep) -> Step:
    """Return the core's form of a step."""
    return Step(
        count=step.count,
        need=Resources(step.cpu, step.mem_mb, step.gpu),
        estimated_ms=step.estimated_ms,
        after=step.after,
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requirements,
        data_rack=step.data_rack,
        per_worker=step.anti_affinity,
        speculative=step.speculative,
        is_long_running=step.long_running,
        image=step.image,
        target_ms=step.target_ms,
        best_effort=bool(step.fill_count),
        max_unavailable=step.miss_allowance,
    )


def decode_configuration(data: bytes) -> Result[Configuration, str]:
    """Decode a configuration."""
    return decoding.decode(CONFIGURATION_DECODER.decode, data).map(make_configuration)


def make_configuration(wire: WireConfiguration) -> Configuration:
    """Return the core's form of a configuration."""
    return Configuration(
        version=wire.version,
        queues=tuple(make_queue(queue) for queue in wire.routes),
        organisations=tuple(
            Organisation(o.name, frozenset(o.api_keys), o.guaranteed.gpu)
            for o in wire.tenants
        ),
        guarded_services=frozenset(
            service.name for service in wire.services if service.admission_check
        ),
        body_limit_bytes=wire.limits.max_body_bytes,
    )


def make_advice(advice: WireAdvice | None) -> AdviceTerms | None:
    """Return the terms of a queue's advice."""
    if advice is None:
        return None
    return AdviceTerms(advice.decision_ms, advice.period_ms, advice.validity_ms)


def make_queue(queue: WireQueue) -> Queue:
    """Return the core's form of a queue."""
    return Queue(
        name=queue.name,
        host=queue.host,
        prefix=queue.prefix,
        service=queue.service,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        slack_factor=queue.slack_factor,
        objective_ms=queue.target_latency_ms,
        timeout_ms=queue.timeout_ms,
        public=queue.public_access,
        advice=make_advice(queue.recommendation),
    )
