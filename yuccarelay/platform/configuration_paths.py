"""Reads a configuration for a check of it, and names its fields as on the wire."""

from typing import NamedTuple

from result import Result

from yuccarelay.adapters import decoding
from yuccarelay.core.batch.configuration_check import Place
from yuccarelay.core.batch.models import Configuration
from yuccarelay.platform.jobs import CONFIGURATION_DECODER, make_configuration

WIRE_NAMES = {
    'queue': 'routes',
    'organisation': 'tenants',
    'advice': 'recommendation',
    'body_limit_bytes': 'limits.maxBodyBytes',
    'guaranteed': 'guaranteed.gpu',
    'keys': 'apiKeys',
    'max_attempts': 'maxAttempts',
    'objective_ms': 'targetLatencyMs',
    'public': 'publicAccess',
    'slack_factor': 'slackFactor',
    'timeout_ms': 'timeoutMs',
}


class ReadConfiguration(NamedTuple):
    """A decoded configuration with the names of the services that it lists."""

    configuration: Configuration
    services: frozenset[str]


def read_configuration(data: bytes) -> Result[ReadConfiguration, str]:
    """Decode a configuration for a check of it."""
    return decoding.decode(CONFIGURATION_DECODER.decode, data).map(
        lambda wire: ReadConfiguration(
            make_configuration(wire),
            frozenset(service.name for service in wire.services),
        )
    )


def name_field(field: str) -> str:
    """Return the name of a field on the wire."""
    return WIRE_NAMES.get(field, field)


def name_path(place: Place) -> str:
    """Return the path of a field on the wire, such as `routes[2].maxAttempts`."""
    if not place.owner:
        return name_field(place.field)
    index = '*' if place.index < 0 else place.index
    return f'{name_field(place.owner)}[{index}].{name_field(place.field)}'
