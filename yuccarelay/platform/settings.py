"""Reader of the platform's settings file."""

import tomllib
from typing import Annotated, NamedTuple

import msgspec
from result import Err, Ok, Result

from yuccarelay.core.request_budget import Limits, derive_limits

Natural = Annotated[int, msgspec.Meta(ge=0)]
SETTINGS_VARIABLE = 'YUCCARELAY_BOOT'
# Contract under which tasks on one worker affect each other beyond their resources.
SHARING = 'sharing'


class Listen(msgspec.Struct):
    """Addresses that a role serves; empty where it does not."""

    front: str = ''
    readiness: str = ''
    control: str = ''


class Bounds(msgspec.Struct, rename='camel'):
    """
    Limits of the platform that timing depends on; units as in the wire names.

    Without `evacuationMs` no failure domain is ever evacuated.
    """

    max_hold_ms: int = 10_000
    stop_timeout_ms: int = 1_000
    grace_s: float = 6
    drain_ms: int = 3_000
    evacuation_ms: int = 0


class StoreAddress(msgspec.Struct):
    """Where the store is."""

    address: str


class MachineLimits(msgspec.Struct, rename='camel'):
    """
    Limits of the machine, and of what clients may take of it.

    `linkMbps` is in megabits per second. A limit for clients that is 0 is derived from
    `memoryMb` and `fileDescriptors`, whose defaults are those of the smallest machine.
    """

    link_mbps: float = 0
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 200
    file_descriptors: Annotated[int, msgspec.Meta(gt=0)] = 4_100
    max_connections: Natural = 0
    max_bodies_bytes: Natural = 0
    max_jobs_bytes: Natural = 0
    body_timeout_ms: Natural = 0
    write_timeout_ms: Natural = 0
    header_timeout_ms: Natural = 0
    max_header_bytes: Natural = 0
    max_requests: Natural = 0


def make_limits(machine: MachineLimits) -> Limits:
    """Return the limits for clients: those that are set, and the derived others."""
    chosen = {
        'connections': machine.max_connections,
        'bodies_bytes': machine.max_bodies_bytes,
        'jobs_bytes': machine.max_jobs_bytes,
        'body_timeout_ms': machine.body_timeout_ms,
        'write_timeout_ms': machine.write_timeout_ms,
        'header_timeout_ms': machine.header_timeout_ms,
        'header_bytes': machine.max_header_bytes,
        'requests': machine.max_requests,
    }
    derived = derive_limits(machine.memory_mb, machine.file_descriptors)
    return derived._replace(**{name: v for name, v in chosen.items() if v})


class SettingsFile(msgspec.Struct, rename='camel'):
    """The fields of the file that are used; others are ignored."""

    node: str
    zone: str
    region: str
    ip: str
    internal_ports: tuple[int, int]
    listen: Listen
    platform: StoreAddress
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: MachineLimits = msgspec.field(default_factory=MachineLimits)
    app: str = ''
    service: str = ''
    recommendation: str = ''
    contracts: tuple[str, ...] = ()


class HostSettings(NamedTuple):
    """Settings of a process on the platform; addresses are `host:port`."""

    node: str
    domain: str
    region: str
    ip: str
    internal_port: int
    front: str
    readiness: str
    control: str
    store: str
    worker: str
    advisor: str
    longest_hold_ms: int
    grace_s: float
    link_mbps: float = 0
    limits: Limits = Limits()
    metrics_address: str = ''
    metrics_path: str = ''
    evacuation_ms: int = 0
    learns_interference: bool = False


def read_settings(path: str) -> Result[HostSettings, str]:
    """Read the file; the error names the field and what is accepted."""
    try:
        with open(path, 'rb') as file:
            raw = tomllib.load(file)
        file = msgspec.convert(raw, SettingsFile)
    except OSError as fault:
        return Err(f'cannot read {path}: {fault.strerror}')
    except (tomllib.TOMLDecodeError, msgspec.MsgspecError, ValueError) as fault:
        return Err(f'{path}: {fault}')
    return Ok(
        HostSettings(
            node=file.node,
            domain=file.zone,
            region=file.region,
            ip=file.ip,
            internal_port=file.internal_ports[0],
            front=file.listen.front,
            readiness=file.listen.readiness,
            control=file.listen.control,
            store=file.platform.address,
            worker=file.app,
            advisor=file.recommendation,
            longest_hold_ms=file.bounds.max_hold_ms,
            grace_s=file.bounds.grace_s,
            link_mbps=file.limits.link_mbps,
            evacuation_ms=file.bounds.evacuation_ms,
            learns_interference=SHARING in file.contracts,
            limits=make_limits(file.limits),
        ),
    )
