"""Runs the roles on the users' platform; the command line is not imported for it."""

import asyncio
from collections.abc import Callable
from functools import partial

from result import Err, Ok, Result

from yuccarelay.environment import Environment
from yuccarelay.exit_status import ExitStatus
from yuccarelay.hangup import HOST_COMMAND, ignore_hangups
from yuccarelay.platform.settings import SETTINGS_VARIABLE, HostSettings, read_settings


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


def run_host_role(
    role: str, settings: str, metrics: str, env: Environment
) -> ExitStatus:
    """
    Read the platform's settings and run a role until a signal stops it.

    `role` is `entry` or `agent`.
    """
    from yuccarelay.adapters.event_loop import LoopMeter
    from yuccarelay.runtime import run_until_signal

    build = import_builder(role)
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


def import_builder(role: str) -> Callable:
    """Return the function that builds a role, without the modules of the other one."""
    match role:
        case 'entry':
            from yuccarelay.host_entry import build_host_entry

            return build_host_entry
        case 'agent':
            from yuccarelay.host_agent import build_host_agent

            return build_host_agent
    raise ValueError(f'no role {role!r} on the platform')
