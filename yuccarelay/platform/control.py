"""HTTP interface that a worker calls: its heartbeats and its deregistration."""

import tornado.web
from result import Err, Ok
from tornado.httpserver import HTTPServer

from yuccarelay.adapters.http_server import RequestGuard
from yuccarelay.platform.serving import listen, make_app
from yuccarelay.platform.worker import decode_deregistration, decode_heartbeat


class HeartbeatHandler(tornado.web.RequestHandler):
    """Heartbeats of an agent's co-located worker."""

    def initialize(self, receive_heartbeat, journal) -> None:
        """Take the function that receives a heartbeat, and the journal."""
        self.receive_heartbeat = receive_heartbeat
        self.journal = journal

    async def post(self, name: str) -> None:
        """Receive a heartbeat; one that cannot be decoded is logged and ignored."""
        match decode_heartbeat(name, self.request.body):
            case Ok(heartbeat):
                await self.receive_heartbeat(heartbeat)
            case Err(reason):
                self.journal.write(
                    'heartbeat_ignored', {'worker': name, 'reason': reason}
                )
        await self.finish({})


class DeregisterHandler(tornado.web.RequestHandler):
    """Deregistration of an agent's co-located worker."""

    def initialize(self, deregister, journal) -> None:
        """Take the function that deregisters a worker, and the journal."""
        self.deregister = deregister
        self.journal = journal

    async def post(self, name: str) -> None:
        """Deregister the worker; a malformed body is logged and ignored."""
        match decode_deregistration(self.request.body):
            case Ok(born_ms):
                await self.deregister(name, born_ms)
            case Err(reason):
                self.journal.write(
                    'deregistration_ignored', {'worker': name, 'reason': reason}
                )
        await self.finish({})


def serve_worker(
    address: str, receive_heartbeat, deregister, journal, guard: RequestGuard
) -> HTTPServer:
    """Serve an agent's co-located worker."""
    handlers = [
        (
            r'/api/Instances\.Heartbeat/(.+)',
            HeartbeatHandler,
            {'receive_heartbeat': receive_heartbeat, 'journal': journal},
        ),
        (
            r'/api/Instances\.Deregister/(.+)',
            DeregisterHandler,
            {'deregister': deregister, 'journal': journal},
        ),
    ]
    return listen(make_app(handlers), address, guard)
