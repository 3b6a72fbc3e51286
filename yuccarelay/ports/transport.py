"""
Requests and replies between processes.

An address is `host:port`. The transport sends a request once: the decisions
retry idempotent requests themselves.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Result


@dataclass(frozen=True, slots=True)
class TransportFailure:
    """
    Why there is no reply, or why an address cannot be listened on.

    `sent` is false if a request definitely did not reach the peer.
    """

    reason: str
    sent: bool = True


RequestCallback = Callable[[int, bytes], None]


class Listener(Protocol):
    """
    An open listening socket; `address` has the port that the system chose.

    Each request has an id that is unique for the listener. It holds one of a
    limited number of contexts until it is answered or abandoned, and further
    requests wait in the sockets.
    """

    address: str

    def start(self, on_request: RequestCallback) -> None:
        """Pass each request with its id to `on_request`, on the running event loop."""
        ...

    def reply(self, request_id: int, data: bytes) -> bool:
        """Answer a request; false when it was answered or abandoned before."""
        ...

    def abandon_request(self, request_id: int) -> bool:
        """Leave a request unanswered; false when it was answered before."""
        ...

    def close(self) -> None:
        """Close the socket; waiting requests are not answered."""
        ...


class Peer(Protocol):
    """A socket to one peer that connects and reconnects by itself."""

    async def request(
        self,
        data: bytes,
        deadline_ms: int,
    ) -> Result[bytes, TransportFailure]:
        """Send a request and return the reply that arrives by the deadline."""
        ...

    def close(self) -> None:
        """Close the socket; open requests end with a failure."""
        ...


class Transport(Protocol):
    """Opens listening sockets and sockets to peers."""

    def listen(self, address: str) -> Result[Listener, TransportFailure]:
        """Listen on an address; port 0 lets the system choose the port."""
        ...

    def connect(self, address: str) -> Result[Peer, TransportFailure]:
        """Return a socket to a peer, which need not be reachable yet."""
        ...
