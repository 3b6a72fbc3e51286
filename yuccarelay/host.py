"""Commands that run roles on the users' platform."""

from typing import Annotated

from cyclopts import Parameter

from yuccarelay.commands import Env
from yuccarelay.exit_status import ExitStatus
from yuccarelay.host_role import run_host_role
from yuccarelay.platform.settings import SETTINGS_VARIABLE

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
    return run_host_role('entry', settings, metrics, env)


def run_host_agent(
    *,
    settings: PlatformFile = '',
    metrics: MetricsEndpoint = '',
    env: Env,
) -> ExitStatus:
    """Run the agent of a worker of the platform, on the same instance."""
    return run_host_role('agent', settings, metrics, env)
