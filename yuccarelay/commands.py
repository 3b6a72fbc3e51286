"""
Functions of the commands.

Each takes the parsed arguments and the `Environment`, and returns an exit status.
Libraries that a command needs are imported inside it, so that the other commands
start fast.
"""

import asyncio
import inspect
import pathlib
import urllib.parse
from typing import TYPE_CHECKING, Annotated

from cyclopts import Parameter
from result import Err, Ok, Result

from yuccarelay.environment import Environment
from yuccarelay.exit_status import ExitStatus

if TYPE_CHECKING:
    from yuccarelay.client import Answer, Call, CallError, Entry

DEFAULT_URL = 'http://127.0.0.1:8080'
URL_VARIABLE = 'YUCCARELAY_URL'
TOKEN_VARIABLE = 'YUCCARELAY_TOKEN'

Env = Annotated[Environment, Parameter(parse=False)]
SettingsFile = Annotated[
    str,
    Parameter(
        name='--settings',
        show_default=False,
        help='JSON file with the settings of the role; see docs/OPERATIONS.md.',
    ),
]
EntryUrl = Annotated[
    str,
    Parameter(
        name='--entry',
        show_default=False,
        help='URL of an entry; default: $YUCCARELAY_URL.',
    ),
]

Demo = Annotated[
    bool,
    Parameter(
        negative='',
        help='Submit some jobs, print their outcomes and stop.',
    ),
]
Role = Annotated[str, Parameter(help='entry, agent, store, target or local.')]
Replaces = Annotated[
    int | None,
    Parameter(
        help=(
            'Generation that this manifest replaces, 0 for the first one. The commit '
            'is refused if another one is in force. Default: the one in force.'
        ),
    ),
]
JobName = Annotated[str, Parameter(help='Name of the job in the manifest.')]
Payload = Annotated[
    str,
    Parameter(help='File with the payload, sent unchanged; "-" is standard input.'),
]
Key = Annotated[
    str,
    Parameter(
        show_default=False,
        help='Idempotency key: a repeat with the same key returns the first job.',
    ),
]
WaitMs = Annotated[
    int,
    Parameter(help='Wait up to this many milliseconds for the end; at most 60000.'),
]
AsJson = Annotated[
    bool,
    Parameter(negative='', help='Print the state as JSON, without histograms.'),
]
Output = Annotated[
    str,
    Parameter(help='File to write; "-" is standard output.'),
]


def report(env: Environment, text: str) -> None:
    """Write one line to standard error."""
    print(f'yuccarelay: {text}', file=env.stderr)


# Roles


def run_role(env: Environment, role: str, path: str) -> ExitStatus:
    """Check the settings of a role and run it until it ends."""
    from yuccarelay import config

    match config.load_settings(role, path):
        case Err(errors):
            for error in errors:
                report(env, f'{path}: {error}')
            return ExitStatus.INVALID
        case Ok(settings):
            return start_role(env, role, settings)


def start_role(env: Environment, role: str, settings: object) -> ExitStatus:
    """Run a role, which may be a plain function or a coroutine."""
    from yuccarelay import roles

    ended = getattr(roles, f'run_{role}')(settings, env)
    if inspect.iscoroutine(ended):
        ended = asyncio.run(ended)
    return ExitStatus.OK if ended is None else ExitStatus(ended)


def run_entry(*, settings: SettingsFile, env: Env) -> ExitStatus:
    """Run an entry: it serves callers over HTTP and places jobs."""
    return run_role(env, 'entry', settings)


def run_agent(*, settings: SettingsFile, env: Env) -> ExitStatus:
    """Run the agent of one worker, co-located with its target."""
    return run_role(env, 'agent', settings)


def run_store(*, settings: SettingsFile, env: Env) -> ExitStatus:
    """Run the stand-in of the platform's store, for tests and demonstrations."""
    return run_role(env, 'store', settings)


def run_target(*, settings: SettingsFile, env: Env) -> ExitStatus:
    """Run the stand-in of a target, for tests and demonstrations."""
    return run_role(env, 'target', settings)


def run_local(
    *,
    settings: SettingsFile = '',
    demo: Demo = False,
    env: Env,
) -> ExitStatus:
    """Run the whole system in one process; it needs no settings."""
    from yuccarelay import config

    loaded = Ok(config.LocalSettings())
    if settings:
        loaded = config.load_settings('local', settings)
    match loaded:
        case Err(errors):
            for error in errors:
                report(env, f'{settings}: {error}')
            return ExitStatus.INVALID
        case Ok(local):
            local = local._replace(demo=demo or local.demo)
            return start_role(env, 'local', local)


# Checks of files


def check_settings(role: Role, file: str, /, *, env: Env) -> ExitStatus:
    """Check a settings file and list every error."""
    from yuccarelay import config

    if role not in config.ROLES:
        report(env, f'unknown role {role!r}; expected {", ".join(config.ROLES)}')
        return ExitStatus.USAGE
    match config.load_settings(role, file):
        case Err(errors):
            for error in errors:
                report(env, f'{file}: {error}')
            return ExitStatus.INVALID
    print(f'{file}: valid settings of role {role}', file=env.stdout)
    return ExitStatus.OK


def load_manifest(file: str) -> Result[bytes, tuple[str, ...]]:
    """Return the text of a manifest file that passes all checks."""
    import msgspec

    from yuccarelay.core import manifest

    try:
        text = pathlib.Path(file).read_bytes()
    except OSError as error:
        return Err((error.strerror or type(error).__name__,))
    if len(text) > manifest.MANIFEST_LIMIT_BYTES:
        limit = manifest.MANIFEST_LIMIT_BYTES
        return Err((f'has {len(text)} bytes; at most {limit} are accepted',))
    try:
        document = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err((f'not well-formed JSON: {error}',))
    checked = manifest.check_manifest(document)
    if isinstance(checked, Err):
        return Err(tuple(f'{error.field} {error.rule}' for error in checked.err_value))
    return Ok(text)


def check_manifest(file: str, /, *, env: Env) -> ExitStatus:
    """Check a manifest file and list every error."""
    match load_manifest(file):
        case Err(errors):
            for error in errors:
                report(env, f'{file}: {error}')
            return ExitStatus.INVALID
    print(f'{file}: valid manifest', file=env.stdout)
    return ExitStatus.OK


# Calls to an entry


def find_entry(env: Environment, url: str) -> 'Entry':
    """Return the entry to call; the token comes only from the environment."""
    from yuccarelay.client import Entry

    return Entry(
        url=url or env.variables.get(URL_VARIABLE, DEFAULT_URL),
        token=env.variables.get(TOKEN_VARIABLE, ''),
    )


def fetch(env: Environment, url: str, call: 'Call') -> 'Result[Answer, CallError]':
    """Call an entry and report an error."""
    from yuccarelay import client

    return client.fetch(find_entry(env, url), call).inspect_err(
        lambda error: report(env, error.text),
    )


def show(env: Environment, url: str, call: 'Call') -> ExitStatus:
    """Call an entry and print its reply."""
    match fetch(env, url, call):
        case Err(error):
            return error.status
        case Ok(answer):
            print(answer.body.decode().rstrip('\n'), file=env.stdout)
            return ExitStatus.OK


def commit_manifest(
    file: str,
    /,
    *,
    replaces: Replaces = None,
    entry: EntryUrl = '',
    env: Env,
) -> ExitStatus:
    """Check a manifest and commit it."""
    from yuccarelay.client import Call

    match load_manifest(file):
        case Err(errors):
            for error in errors:
                report(env, f'{file}: {error}')
            return ExitStatus.INVALID
        case Ok(text):
            pass
    if replaces is None:
        match read_generation(env, entry):
            case Err(status):
                return status
            case Ok(replaces):
                pass
    headers = (('If-Match', f'"{replaces}"'), ('Content-Type', 'application/json'))
    return show(env, entry, Call('PUT', '/v1/manifest', text, headers))


def read_generation(env: Environment, url: str) -> Result[int, ExitStatus]:
    """Return the generation in force, or 0 when there is no manifest."""
    from yuccarelay import client

    result = client.fetch(find_entry(env, url), client.Call('GET', '/v1/manifest'))
    match result:
        case Ok(answer):
            return find_generation(answer)
        case Err(error) if error.http_status == 404:
            return Ok(0)
        case Err(error):
            report(env, error.text)
            return Err(error.status)


def find_generation(answer: 'Answer') -> Result[int, ExitStatus]:
    """Return the generation that the `ETag` of a manifest names."""
    text = answer.headers.get('etag', '').strip('"')
    return Ok(int(text)) if text.isdecimal() else Err(ExitStatus.UNAVAILABLE)


def show_manifest(*, entry: EntryUrl = '', env: Env) -> ExitStatus:
    """
    Print the text of the manifest in force, as it was committed.

    Its generation is written to standard error.
    """
    from yuccarelay.client import Call

    match fetch(env, entry, Call('GET', '/v1/manifest')):
        case Err(error):
            return error.status
        case Ok(answer):
            generation = find_generation(answer).unwrap_or('unknown')
            report(env, f'generation {generation}')
            print(answer.body.decode().rstrip('\n'), file=env.stdout)
            return ExitStatus.OK


def submit_job(
    job: JobName,
    /,
    *,
    payload: Payload = '-',
    key: Key = '',
    entry: EntryUrl = '',
    env: Env,
) -> ExitStatus:
    """Submit a job and print its id."""
    from yuccarelay.client import Call

    try:
        if payload == '-':
            body = env.stdin.buffer.read()
        else:
            body = pathlib.Path(payload).read_bytes()
    except OSError as error:
        report(env, f'{payload}: {error.strerror or type(error).__name__}')
        return ExitStatus.INVALID
    path = '/v1/jobs?' + urllib.parse.urlencode({'job': job})
    headers = (('Idempotency-Key', key),) if key else ()
    return show(env, entry, Call('POST', path, body, headers))


def make_job_path(job_id: str) -> str:
    """Return the path of a job."""
    return '/v1/jobs/' + urllib.parse.quote(job_id, safe='')


def show_job(
    job_id: str,
    /,
    *,
    wait_ms: WaitMs = 0,
    entry: EntryUrl = '',
    env: Env,
) -> ExitStatus:
    """Print the status of a job."""
    from yuccarelay.client import Call

    path = f'{make_job_path(job_id)}?wait_ms={wait_ms}'
    return show(env, entry, Call('GET', path, wait_ms=max(0, wait_ms)))


def fetch_answer(
    job_id: str,
    /,
    *,
    output: Output = '-',
    entry: EntryUrl = '',
    env: Env,
) -> ExitStatus:
    """Fetch the answer of a completed job, verify it and write it."""
    from yuccarelay import client

    path = make_job_path(job_id) + '/answer'
    call = client.Call('GET', path, wait_ms=client.ANSWER_WAIT_MS)
    match client.fetch(find_entry(env, entry), call).and_then(client.check_digest):
        case Err(error):
            report(env, error.text)
            return error.status
        case Ok(data):
            return write_answer(env, output, data)


def write_answer(env: Environment, output: str, data: bytes) -> ExitStatus:
    """Write an answer to a file or to standard output."""
    try:
        if output == '-':
            env.stdout.buffer.write(data)
            env.stdout.flush()
        else:
            pathlib.Path(output).write_bytes(data)
    except OSError as error:
        report(env, f'{output}: {error.strerror or type(error).__name__}')
        return ExitStatus.INVALID
    return ExitStatus.OK


def cancel_job(job_id: str, /, *, entry: EntryUrl = '', env: Env) -> ExitStatus:
    """Cancel a job and print its status."""
    from yuccarelay.client import Call

    return show(env, entry, Call('DELETE', make_job_path(job_id)))


def show_status(
    *,
    json: AsJson = False,
    entry: EntryUrl = '',
    env: Env,
) -> ExitStatus:
    """Print the state of an entry, its organisations, workers and histograms."""
    from yuccarelay.client import Call

    if json:
        return show(env, entry, Call('GET', '/v1/status'))
    status = show(env, entry, Call('GET', '/v1/status?format=text'))
    if status is not ExitStatus.OK:
        return status
    print(file=env.stdout)
    return show(env, entry, Call('GET', '/v1/histograms?format=text'))


def digest_token(*, env: Env) -> ExitStatus:
    """Read a token on standard input and print its digest for a manifest."""
    from yuccarelay.adapters.tokens import make_digest

    token = env.stdin.readline().strip()
    if not token or not token.isascii() or any(map(str.isspace, token)):
        report(
            env, 'standard input must hold a token of ASCII characters, without spaces'
        )
        return ExitStatus.INVALID
    print(make_digest(token), file=env.stdout)
    return ExitStatus.OK
