"""Accepts the connections of a listening socket on the event loop."""

import asyncio
import socket
from collections.abc import Callable

from yuccarelay.ports.journal import Journal

# Connections that are accepted before other tasks run.
ACCEPTS_PER_TURN = 128
# The socket stays readable after an error, so without a pause the event loop would call
# again at once. Descriptors and memory become free only as other work goes on.
ERROR_PAUSE_S = 0.1


class Acceptor:
    """
    Passes each connection with its address to `on_connection` until it is stopped.

    Tornado's handler raises an error such as "too many open files" on each turn of the
    loop, and the process uses a whole core for it.
    """

    def __init__(
        self,
        listening: socket.socket,
        on_connection: Callable[[socket.socket, object], None],
        journal: Journal,
    ):
        self.listening = listening
        self.on_connection = on_connection
        self.journal = journal
        self.loop = asyncio.get_running_loop()
        self.stopped = False
        self.failures = 0
        self._resume()

    def stop(self) -> None:
        """Accept nothing more; the socket is left to its owner."""
        self.stopped = True
        self.loop.remove_reader(self.listening)

    def _resume(self) -> None:
        if not self.stopped:
            self.loop.add_reader(self.listening, self._accept)

    def _accept(self) -> None:
        """Accept waiting connections, at most `ACCEPTS_PER_TURN`."""
        for _ in range(ACCEPTS_PER_TURN):
            if self.stopped:
                return
            try:
                connection, address = self.listening.accept()
            except BlockingIOError:
                return
            except ConnectionError:
                # The client has left again; the next one may be served.
                continue
            except OSError as error:
                self._pause(error)
                return
            self._note_success()
            self.on_connection(connection, address)

    def _pause(self, error: OSError) -> None:
        """Stop watching the socket for `ERROR_PAUSE_S`."""
        self.failures += 1
        if self.failures == 1:
            fields = {'address': self._name(), 'reason': str(error)}
            self.journal.write('accept_failed', fields)
        self.loop.remove_reader(self.listening)
        self.loop.call_later(ERROR_PAUSE_S, self._resume)

    def _note_success(self) -> None:
        if self.failures:
            fields = {'address': self._name(), 'failures': self.failures}
            self.journal.write('accept_resumed', fields)
            self.failures = 0

    def _name(self) -> str:
        host, port = self.listening.getsockname()[:2]
        return f'{host}:{port}'
