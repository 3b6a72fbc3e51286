"""
Runs a role's tasks until the role ends.

A role ends on SIGTERM or SIGINT, after a graceful shutdown, or when one of its tasks
fails.
"""

import asyncio
import contextlib
import logging
import signal
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, NamedTuple

from result import Err, Ok

from yuccarelay.adapters.eliot_journal import EliotJournal, JournalHandler
from yuccarelay.environment import Environment
from yuccarelay.exit_status import ExitStatus
from yuccarelay.tasks.failures import write_failure

if TYPE_CHECKING:
    # The roles on the platform do not load the state machines of the other roles.
    from yuccarelay.tasks.state_machine import MachineTask


class Role(NamedTuple):
    """
    A role that is running.

    `address` is for other processes and `url` for callers. Setting `stop` shuts the
    role down gracefully; `run` returns when it has ended.
    """

    address: str
    url: str
    run: Coroutine
    stop: asyncio.Event
    state_machine: 'MachineTask | None' = None


class PortInUseError(OSError):
    """The role cannot listen on an address of its settings."""


async def run_until_signal(build: Coroutine, env: Environment) -> ExitStatus:
    """Run a role until a signal stops it and it has shut down gracefully."""
    try:
        role = await build
    except OSError as error:
        # Until here only the log and the listening sockets are opened.
        print(f'yuccarelay: cannot start: {error}', file=env.stderr)
        return ExitStatus.UNAVAILABLE
    stop_on_signals(role.stop)
    status = ExitStatus.OK
    try:
        await role.run
    except* Exception:
        # `run_task` has logged the failure with its traceback.
        status = ExitStatus.FAULT
    finally:
        ignore_signals()
    return status


def ignore_signals() -> None:
    """
    Ignore the signals that stop or inform a role, because it has ended.

    One that arrives during the exit would call the closed event loop, or end the
    process with the signal in place of its exit status.
    """
    for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(name, signal.SIG_IGN)


def stop_on_signals(stop: asyncio.Event) -> None:
    """
    Set an event on SIGTERM and SIGINT.

    The signal handlers of asyncio use the loop's wake-up socket. A burst of messages
    can fill it, so that a signal would be lost.
    """
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        signal.signal(name, lambda *_: loop.call_soon_threadsafe(stop.set))


def call_on_hangup(callback: Callable[[], None]) -> None:
    """Call a function on the event loop for each SIGHUP."""
    loop = asyncio.get_running_loop()
    signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(callback))


@contextlib.asynccontextmanager
async def running(tasks: list, journal: EliotJournal):
    """Run tasks until the block ends; a task that fails ends the block."""
    handler = JournalHandler(journal)
    logging.getLogger().addHandler(handler)
    try:
        async with asyncio.TaskGroup() as group:
            started = [group.create_task(run_task(task, journal)) for task in tasks]
            yield
            for task in started:
                task.cancel()
    except BaseException:
        journal.close()
        raise
    finally:
        logging.getLogger().removeHandler(handler)


async def run_task(task, journal: EliotJournal) -> None:
    """Run one task of a role; log its failure in one line with the traceback."""
    name = type(task).__name__
    try:
        await task.run()
        raise RuntimeError(f'{name} ended before its role')
    except Exception as error:
        write_failure(journal, 'task_failed', error, {'task': name})
        raise


@contextlib.contextmanager
def naming_address(address: str):
    """Turn an OSError of a listening socket into one that names the address."""
    try:
        yield
    except OSError as error:
        reason = f'cannot listen on {address}: {error.strerror}'
        raise PortInUseError(reason) from error


def open_listener(transport, address: str):
    """Return the listening socket of a role."""
    match transport.listen(address):
        case Ok(listener):
            return listener
        case Err(failure):
            raise PortInUseError(failure.reason)
