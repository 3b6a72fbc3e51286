"""HTTP interface that serves the metrics of a process as text."""

import tornado.web
from tornado.httpserver import HTTPServer

from yuccarelay.adapters.http_server import GuardedServer, RequestGuard


class MetricsHandler(tornado.web.RequestHandler):
    """Answers with all metrics."""

    def initialize(self, metrics) -> None:
        """Store the metrics, which render themselves as text."""
        self.metrics = metrics

    def get(self) -> None:
        """Write the metrics."""
        self.set_header('Content-Type', self.metrics.content_type)
        self.write(self.metrics.render())


def serve_metrics(address: str, path: str, metrics, guard: RequestGuard) -> HTTPServer:
    """Serve the metrics at an address and a path; scrapes are not logged."""
    app = tornado.web.Application(
        [(path, MetricsHandler, {'metrics': metrics})],
        log_function=lambda _: None,
    )
    server = GuardedServer(app, guard)
    host, _, port = address.rpartition(':')
    server.listen(int(port), address=host)
    return server
