"""Persistent connections to other processes, one for each address."""

from result import Err, Ok, Result

from yuccarelay.ports.clock import Clock
from yuccarelay.ports.transport import Peer, Transport, TransportFailure


class PeerSockets:
    """
    Sends requests over one persistent connection to each address.

    A request without a reply closes the connection: it may be dead, while a new one
    works.
    """

    def __init__(self, transport: Transport, clock: Clock):
        self.transport = transport
        self.clock = clock
        self.peers: dict[str, Peer] = {}

    async def request(
        self,
        address: str,
        data: bytes,
        limit_ms: int,
    ) -> Result[bytes, TransportFailure]:
        """Send a request and return the reply that arrives within a time limit."""
        peer = self.peers.get(address)
        if peer is None:
            match self.transport.connect(address):
                case Ok(peer):
                    self.peers[address] = peer
                case Err() as failed:
                    return failed
        answer = await peer.request(data, self.clock.now_ms() + limit_ms)
        if answer.is_err() and self.peers.get(address) is peer:
            self.drop(address)
        return answer

    def drop(self, address: str) -> None:
        """Close the connection to an address; its open requests fail."""
        peer = self.peers.pop(address, None)
        if peer is not None:
            peer.close()

    def close(self) -> None:
        """Close all connections."""
        for peer in self.peers.values():
            peer.close()
        self.peers.clear()
