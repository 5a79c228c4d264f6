"""HTTP handler that serves the metrics of a process in the text format of Prometheus."""

from oleander_base import exposition
from oleanderdeal import http_messages, http_server

PATH = "/metrics"


class MetricsHandler(http_server.Handler):
    """Serves all metrics at `PATH`; any other path is answered 404."""

    def handle(self, request: http_messages.HttpRequest) -> http_messages.HttpAnswer:
        """Return the current values of all metrics."""
        if request.target.partition("?")[0] != PATH:
            return http_messages.HttpAnswer(404, "text/plain", [b"metrics are at /metrics\n"])
        return http_messages.HttpAnswer(
            200, exposition.CONTENT_TYPE, [exposition.render_metrics()]
        )
