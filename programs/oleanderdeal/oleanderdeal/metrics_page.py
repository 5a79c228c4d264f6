"""Serves the metrics of a process as text."""

from oleander_base import exposition
from oleanderdeal import http_messages, http_server

PATH = "/metrics"


class MetricsHandler(http_server.Handler):
    """Answers the one path with all figures."""

    def handle(self, request: http_messages.HttpRequest) -> http_messages.HttpAnswer:
        """Return the figures as they are now."""
        if request.target.partition("?")[0] != PATH:
            return http_messages.HttpAnswer(404, "text/plain", [b"metrics are at /metrics\n"])
        return http_messages.HttpAnswer(
            200, exposition.CONTENT_TYPE, [exposition.render_metrics()]
        )
