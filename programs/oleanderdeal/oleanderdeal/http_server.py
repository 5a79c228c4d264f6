"""The entry's HTTP server: waitress in front of one handler."""

import abc
import collections.abc
import http
import threading
import typing

import waitress.channel
import waitress.server
import waitress.task
import waitress.wasyncore

from oleander_base import clock, log
from oleanderdeal import http_messages

MAX_BODY_BYTES = 8 * 1024 * 1024
_MAX_HEADER_BYTES = 32 * 1024
_MAX_CONNECTIONS = 1000
_IDLE_TIMEOUT_SECONDS = 120
_POLL_INTERVAL_SECONDS = 0.05

_Environ = dict[str, typing.Any]


class Handler(abc.ABC):
    """Answers HTTP requests."""

    @abc.abstractmethod
    def handle(self, request: http_messages.HttpRequest) -> http_messages.HttpAnswer:
        """Return the answer to one request."""


class _ClosingTask(waitress.task.WSGITask):  # type: ignore[misc]
    """
    Answers a request and closes its connection where the server is about to stop.

    A client that keeps its connection would send the next request to a process that has ended.
    """

    def build_response_header(self) -> bytes:
        """Return the head of the answer."""
        if self.channel.server.is_leaving():
            self.set_close_on_finish()
        return bytes(super().build_response_header())


class _ClosingChannel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    task_class = _ClosingTask


def _is_never_leaving() -> bool:
    return False


class HttpServer:
    """
    Serves a handler on a bounded pool of threads and counts what is in progress.

    Requests beyond the pool wait in waitress's queue; connections beyond the bound wait in the
    kernel's.
    """

    def __init__(
        self,
        handler: Handler,
        host: str,
        port: int,
        threads: int,
        is_leaving: collections.abc.Callable[[], bool] = _is_never_leaving,
    ) -> None:
        """Listen; answers close their connections from when the process is leaving."""
        self._handler = handler
        self._lock = threading.Lock()
        self._in_progress = 0
        self._server = waitress.server.create_server(
            self._serve,
            host=host,
            port=port,
            threads=threads,
            connection_limit=_MAX_CONNECTIONS,
            channel_timeout=_IDLE_TIMEOUT_SECONDS,
            max_request_body_size=MAX_BODY_BYTES,
            max_request_header_size=_MAX_HEADER_BYTES,
            channel_request_lookahead=1,
            clear_untrusted_proxy_headers=True,
            ident="",
        )
        self._server.is_leaving = is_leaving
        self._server.channel_class = _ClosingChannel

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return self._in_progress == 0

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return int(self._server.effective_port)

    @property
    def in_progress(self) -> int:
        """How many requests are being answered."""
        return self._in_progress

    def serve(self) -> None:
        """Serve until stopped."""
        self._server.run()

    def set_limits(self, body_bytes: int, idle_seconds: float) -> None:
        """Change what a client may send and how long its connection may be idle."""
        self._server.adj.max_request_body_size = body_bytes
        self._server.adj.channel_timeout = idle_seconds

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._server.active_channels)

    def close_idle(self) -> None:
        """
        Take no new connections, and close those on which nothing was received or is to be sent.

        Clients go on using connections that they keep until they are closed. A process that ended
        between two looks at what is in progress would cut a request that it had just read; here
        the thread that reads decides, and what it has read keeps its connection open.
        """
        self._server.trigger.pull_trigger(self._close_idle_channels)

    def _close_idle_channels(self) -> None:
        self._stop_listening()
        for channel in list(self._server.active_channels.values()):
            is_busy = channel.requests or channel.request is not None
            if not is_busy and not channel.total_outbufs_len:
                channel.handle_close()

    def await_idle(self, deadline: clock.Deadline) -> bool:
        """Wait until no request is in progress; return whether that was reached."""
        pause = threading.Event()
        while self._in_progress and not deadline.is_past:
            pause.wait(_POLL_INTERVAL_SECONDS)
        return self._in_progress == 0

    def stop(self) -> None:
        """
        Stop listening and end the threads; the serving one once no connection is open.

        The serving thread closes the socket itself: it may be about to wait for it.
        """
        self._server.trigger.pull_trigger(self._end_loop)
        self._server.task_dispatcher.shutdown()

    def _stop_listening(self) -> None:
        if self._server.accepting:
            self._server.accepting = False
            waitress.wasyncore.dispatcher.close(self._server)

    def _end_loop(self) -> None:
        """Let the loop end; the trigger stays open for answers that still end on other threads."""
        self._stop_listening()
        self._server.trigger.del_channel()

    def _serve(
        self, environ: _Environ, start_response: collections.abc.Callable[..., typing.Any]
    ) -> collections.abc.Iterable[bytes]:
        self._change_in_progress(1)
        try:
            answer = self._answer(environ)
        except BaseException:
            self._change_in_progress(-1)
            raise
        phrase = http.HTTPStatus(answer.status).phrase
        headers = [("Content-Type", answer.content_type), *answer.headers]
        parts = answer.parts
        if isinstance(parts, list):
            headers.append(("Content-Length", str(sum(len(part) for part in parts))))
        start_response(f"{answer.status} {phrase}", headers)
        return _TrackedParts(parts, lambda: self._change_in_progress(-1))

    def _answer(self, environ: _Environ) -> http_messages.HttpAnswer:
        try:
            return self._handler.handle(_read_request(environ))
        except Exception:
            log.logger.bind(event="request-failed", path=environ.get("PATH_INFO", "")).exception(
                "a handler failed"
            )
            return http_messages.answer_problem(
                http_messages.Problem(500, "Internal error.", "unknown", "internal-error")
            )

    def _change_in_progress(self, change: int) -> None:
        with self._lock:
            self._in_progress += change


class _TrackedParts:
    """Parts of an answer; waitress calls close when all are sent or the client is gone."""

    def __init__(
        self, parts: collections.abc.Iterable[bytes], end: collections.abc.Callable[[], None]
    ) -> None:
        self._parts = parts
        self._end = end

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Note that the request has ended."""
        close = getattr(self._parts, "close", None)
        if close is not None:
            close()
        self._end()


def _read_request(environ: _Environ) -> http_messages.HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["content-type"] = environ["CONTENT_TYPE"]
    path = tuple(part for part in environ["PATH_INFO"].split("/") if part)
    return http_messages.HttpRequest(
        method=environ["REQUEST_METHOD"],
        target=environ["REQUEST_URI"],
        path=path,
        headers=headers,
        body=environ["wsgi.input"].read(),
        is_gone=environ.get("waitress.client_disconnected", lambda: False),
    )
