"""HTTP servers of the roles on the users' platform."""

import tornado.web
from tornado.httpserver import HTTPServer

BODY_LIMIT_BYTES = 4_194_304


def listen(app: tornado.web.Application, address: str) -> HTTPServer:
    """Serve an application at an address."""
    server = HTTPServer(app, max_body_size=BODY_LIMIT_BYTES)
    host, _, port = address.rpartition(':')
    server.listen(int(port), address=host)
    return server


def make_app(handlers: list) -> tornado.web.Application:
    """Return an application that writes no access log."""
    return tornado.web.Application(handlers, log_function=lambda _: None)
