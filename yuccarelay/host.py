"""Commands that run roles on the users' platform."""

import asyncio
from functools import partial
from typing import Annotated

from cyclopts import Parameter
from result import Err, Ok, Result

from yuccarelay.commands import Env
from yuccarelay.exit_status import ExitStatus
from yuccarelay.hangup import HOST_COMMAND, ignore_hangups
from yuccarelay.platform.settings import SETTINGS_VARIABLE, HostSettings, read_settings

PlatformFile = Annotated[
    str,
    Parameter(
        name='--settings',
        show_default=False,
        help=f'TOML file of the platform; default: ${SETTINGS_VARIABLE}.',
    ),
]


MetricsEndpoint = Annotated[
    str,
    Parameter(
        name='--metrics',
        show_default=False,
        help='Serve metrics at PORT/PATH on the address of the instance.',
    ),
]


def run_host_entry(
    *,
    settings: PlatformFile = '',
    metrics: MetricsEndpoint = '',
    env: Env,
) -> ExitStatus:
    """Run an entry on the platform: it serves callers, and plans if elected."""
    from yuccarelay.host_entry import build_host_entry

    return run_host_role(build_host_entry, settings, metrics, env)


def run_host_agent(
    *,
    settings: PlatformFile = '',
    metrics: MetricsEndpoint = '',
    env: Env,
) -> ExitStatus:
    """Run the agent of a worker of the platform, on the same instance."""
    from yuccarelay.host_agent import build_host_agent

    return run_host_role(build_host_agent, settings, metrics, env)


def add_metrics(metrics: str, settings: HostSettings) -> Result[HostSettings, str]:
    """Return the settings with the address and path for the metrics."""
    if not metrics:
        return Ok(settings)
    port, _, path = metrics.partition('/')
    if not (port.isdecimal() and 0 < int(port) < 65_536 and path):
        return Err(
            f'--metrics {metrics!r}: expected PORT/PATH, for example 9464/metrics'
        )
    return Ok(
        settings._replace(
            metrics_address=f'{settings.ip}:{port}',
            metrics_path=f'/{path}',
        ),
    )


def run_host_role(build, settings: str, metrics: str, env: Env) -> ExitStatus:
    """Read the platform's settings and run a role until a signal stops it."""
    from yuccarelay.adapters.event_loop import LoopMeter
    from yuccarelay.runtime import run_until_signal

    ignore_hangups([HOST_COMMAND])
    path = settings or env.variables.get(SETTINGS_VARIABLE, '')
    if not path:
        print(
            f'yuccarelay: pass --settings or set ${SETTINGS_VARIABLE}.',
            file=env.stderr,
        )
        return ExitStatus.USAGE
    found = read_settings(path).and_then(partial(add_metrics, metrics))
    match found:
        case Ok(found):
            meter = LoopMeter()
            with asyncio.Runner(loop_factory=meter.make_loop) as runner:
                role = build(found, path, env, meter)
                return runner.run(run_until_signal(role, env))
        case Err(reason):
            print(f'yuccarelay: {reason}', file=env.stderr)
            return ExitStatus.INVALID
