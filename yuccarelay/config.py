"""
Settings of the roles.

Settings are JSON objects. They are checked in full before a role starts: every
error is reported with its field, the value and what is accepted. Addresses are IP
addresses, because a role must start while name resolution is down.
"""

import ipaddress
import pathlib
import re
import urllib.parse
from collections.abc import Callable
from typing import Annotated, Any, NamedTuple, get_args, get_type_hints

import msgspec
from result import Err, Ok, Result

VALUE_LIMIT_CHARS = 60
# A settings file above this size is a mistake, such as a wrong path.
SETTINGS_LIMIT_BYTES = 1_000_000


class Rule(NamedTuple):
    """What a field accepts: a description and a check of a converted value."""

    accepted: str
    check: Callable[[Any], bool]


class SettingError(NamedTuple):
    """A field that breaks its rule."""

    field: str
    value: str
    accepted: str

    def __str__(self) -> str:
        return f'{self.field}: {self.value} is not accepted; expected {self.accepted}'


def is_address(text: str) -> bool:
    """Whether a text is `ip:port`, with an IPv6 address in brackets."""
    host, colon, port = text.rpartition(':')
    if not colon or not re.fullmatch('[0-9]{1,5}', port) or int(port) > 65_535:
        return False
    bracketed = host.startswith('[') and host.endswith(']')
    try:
        version = ipaddress.ip_address(host[1:-1] if bracketed else host).version
    except ValueError:
        return False
    return bracketed == (version == 6)


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of a valid `ip:port`."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def is_url(text: str) -> bool:
    """Whether a text is an `http` URL whose host is `ip:port`."""
    try:
        parts = urllib.parse.urlsplit(text)
    except ValueError:
        return False
    extra = parts.query or parts.fragment or parts.path.strip('/')
    return parts.scheme == 'http' and not extra and is_address(parts.netloc)


def is_name(text: str) -> bool:
    """Whether a text may name a region, worker or service."""
    return re.fullmatch('[A-Za-z0-9][A-Za-z0-9._-]{0,62}', text) is not None


def is_digest(text: str) -> bool:
    """Whether a text is a token's digest."""
    return re.fullmatch('sha256:[0-9a-f]{64}', text) is not None


def allow_empty(rule: Rule) -> Rule:
    """Return a rule that also accepts an empty text."""
    return Rule(
        accepted=rule.accepted + ', or an empty string',
        check=lambda text: not text or rule.check(text),
    )


def make_range(low: float, high: float, unit: str) -> Rule:
    """Return the rule of a number from `low` to `high`."""
    return Rule(
        accepted=f'a number of {unit} from {low} to {high}',
        check=lambda number: low <= number <= high,
    )


def make_list(rule: Rule, min_length: int) -> Rule:
    """Return the rule of a list of at least `min_length` values."""
    return Rule(
        accepted=f'a list of at least {min_length}, each {rule.accepted}',
        check=lambda values: len(values) >= min_length and all(map(rule.check, values)),
    )


ADDRESS = Rule('ip:port, for example "127.0.0.1:7400"', is_address)
URL = Rule('an http URL with ip:port, for example "http://127.0.0.1:2379"', is_url)
NAME = Rule('1 to 63 letters, digits, dots, dashes and underscores', is_name)
DIGEST = Rule('"sha256:" and 64 lower-case hexadecimal digits', is_digest)
LOG = Rule('the path of a file, or "-" for standard error', bool)
FLAG = Rule('true or false', lambda value: True)

Address = Annotated[str, ADDRESS]
OptionalAddress = Annotated[str, allow_empty(ADDRESS)]
Addresses = Annotated[tuple[str, ...], make_list(ADDRESS, 1)]
Url = Annotated[str, URL]
Name = Annotated[str, NAME]
Digests = Annotated[tuple[str, ...], make_list(DIGEST, 0)]
Log = Annotated[str, LOG]
# Longer drains would exceed the time that the platform gives a stopping process.
DrainSeconds = Annotated[int, make_range(0, 86_400, 'seconds')]


class EntrySettings(NamedTuple):
    """Settings of an entry; `listen` is for other processes, `http` for callers."""

    listen: Address
    http: Address
    region: Name
    domain: Name
    store: Url
    bootstrap_operator_digests: Digests = ()
    statsd: OptionalAddress = ''
    drain_s: DrainSeconds = 30
    memory_mb: Annotated[int, make_range(64, 1_048_576, 'MB')] = 512
    file_descriptors: Annotated[int, make_range(300, 1_048_576, 'descriptors')] = 8_192
    log: Log = '-'


class AgentSettings(NamedTuple):
    """Settings of an agent and of the worker that it manages."""

    worker: Name
    listen: Address
    entries: Addresses
    target: Url
    service: Name
    region: Name
    domain: Name
    rack: Name
    accelerators: Annotated[int, make_range(0, 64, 'accelerators')] = 8
    slots: Annotated[int, make_range(1, 1_024, 'slots')] = 8
    connections: Annotated[int, make_range(1, 65_535, 'connections')] = 64
    statsd: OptionalAddress = ''
    drain_s: DrainSeconds = 300
    answer_memory_mb: Annotated[int, make_range(1, 65_536, 'MB')] = 64
    log: Log = '-'


class StoreSettings(NamedTuple):
    """Settings of the stand-in of the platform's store."""

    listen: Address
    latency_ms: Annotated[int, make_range(0, 60_000, 'milliseconds')] = 2
    log: Log = '-'


class TargetSettings(NamedTuple):
    """Settings of the stand-in of a target."""

    listen: Address
    run_ms: Annotated[int, make_range(0, 86_400_000, 'milliseconds')] = 200
    log: Log = '-'


class LocalSettings(NamedTuple):
    """Settings of the whole system in one process; the OS assigns the ports."""

    ip: Annotated[str, Rule('an IP number', lambda text: is_address(text + ':0'))] = (
        '127.0.0.1'
    )
    entries: Annotated[int, make_range(1, 8, 'entries')] = 2
    agents: Annotated[int, make_range(1, 64, 'agents')] = 6
    accelerators: Annotated[int, make_range(1, 64, 'accelerators')] = 8
    slots: Annotated[int, make_range(1, 1_024, 'slots')] = 8
    drain_s: DrainSeconds = 10
    demo: Annotated[bool, FLAG] = False
    log: Log = '-'


Settings = (
    EntrySettings | AgentSettings | StoreSettings | TargetSettings | LocalSettings
)

ROLES: dict[str, type[Settings]] = {
    'entry': EntrySettings,
    'agent': AgentSettings,
    'store': StoreSettings,
    'target': TargetSettings,
    'local': LocalSettings,
}


def show_value(value: object) -> str:
    """Return a value as JSON, truncated to fit on a line."""
    text = msgspec.json.encode(value).decode()
    if len(text) <= VALUE_LIMIT_CHARS:
        return text
    return text[:VALUE_LIMIT_CHARS] + '...'


def check_field(name: str, hint: Any, value: object) -> Result[Any, SettingError]:
    """Check the type and the rule of one field."""
    kind, rule = get_args(hint)
    try:
        converted = msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return Err(SettingError(name, show_value(value), rule.accepted))
    if rule.check(converted):
        return Ok(converted)
    return Err(SettingError(name, show_value(value), rule.accepted))


def check_settings(
    role: str,
    document: dict[str, object],
) -> Result[Settings, tuple[SettingError, ...]]:
    """Check all fields of a document."""
    settings = ROLES[role]
    hints = get_type_hints(settings, include_extras=True)
    known = 'one of the fields ' + ', '.join(hints)
    errors = [
        SettingError(name, show_value(value), known)
        for name, value in document.items()
        if name not in hints
    ]
    fields = {}
    for name, hint in hints.items():
        if name not in document:
            if name not in settings._field_defaults:
                accepted = get_args(hint)[1].accepted
                errors.append(SettingError(name, 'nothing', accepted))
            continue
        match check_field(name, hint, document[name]):
            case Ok(value):
                fields[name] = value
            case Err(error):
                errors.append(error)
    return Err(tuple(errors)) if errors else Ok(settings(**fields))


def decode_settings(
    role: str,
    text: bytes,
) -> Result[Settings, tuple[SettingError, ...]]:
    """
    Decode and check the settings of a role.

    A duplicate field is not detected: the last one counts, as in JSON libraries.
    """
    try:
        document = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        shown = show_value(text[:VALUE_LIMIT_CHARS].decode(errors='replace'))
        return Err((SettingError('file', shown, f'well-formed JSON ({error})'),))
    if not isinstance(document, dict):
        return Err((SettingError('file', show_value(document), 'a JSON object'),))
    return check_settings(role, document)


def load_settings(
    role: str,
    path: str,
) -> Result[Settings, tuple[SettingError, ...]]:
    """Read and check a settings file."""
    try:
        with pathlib.Path(path).open('rb') as file:
            text = file.read(SETTINGS_LIMIT_BYTES + 1)
    except OSError as error:
        reason = error.strerror or type(error).__name__
        shown = show_value(path)
        return Err((SettingError('file', shown, f'a readable file ({reason})'),))
    if len(text) > SETTINGS_LIMIT_BYTES:
        accepted = f'a file of at most {SETTINGS_LIMIT_BYTES} bytes'
        return Err((SettingError('file', show_value(path), accepted),))
    return decode_settings(role, text)
