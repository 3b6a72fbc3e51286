"""HTTP servers of the roles on the users' platform."""

import tornado.web
from tornado.httpserver import HTTPServer

from yuccarelay.adapters.http_server import GuardedServer, RequestGuard


def listen(
    app: tornado.web.Application, address: str, guard: RequestGuard
) -> HTTPServer:
    """Serve an application at an address, within the budget of the process."""
    server = GuardedServer(app, guard)
    host, _, port = address.rpartition(':')
    server.listen(int(port), address=host)
    return server


def make_app(handlers: list) -> tornado.web.Application:
    """Return an application that writes no access log."""
    return tornado.web.Application(handlers, log_function=lambda _: None)
