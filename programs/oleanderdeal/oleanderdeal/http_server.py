"""HTTP server of an entry, based on waitress."""

import abc
import collections.abc
import http
import select
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
    """Answers the requests that an `HttpServer` receives."""

    @abc.abstractmethod
    def handle(self, request: http_messages.HttpRequest) -> http_messages.HttpAnswer:
        """Return the answer to one request."""


class _ClosingTask(waitress.task.WSGITask):  # type: ignore[misc]
    """
    Answers a request, and closes its connection if the server is leaving.

    A server is leaving while its process shuts down. A client whose keep-alive connection stayed
    open would send its next request to a process that has ended.
    """

    def build_response_header(self) -> bytes:
        """Return status line and headers, with `Connection: close` if the server is leaving."""
        if self.channel.server.is_leaving():
            self.set_close_on_finish()
        return bytes(super().build_response_header())


class _ClosingChannel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    task_class = _ClosingTask


def _is_never_leaving() -> bool:
    return False


class HttpServer:
    """
    Calls a handler on a bounded pool of threads and counts the requests in progress.

    Requests beyond the number of threads wait in waitress's queue; connections beyond
    `_MAX_CONNECTIONS` wait in the kernel's accept queue.
    """

    def __init__(
        self,
        handler: Handler,
        host: str,
        port: int,
        threads: int,
        is_leaving: collections.abc.Callable[[], bool] = _is_never_leaving,
    ) -> None:
        """
        Bind the socket.

        Once `is_leaving` returns true, each answer closes its connection.
        """
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
        """The bound port; differs from the one asked for if that was 0."""
        return int(self._server.effective_port)

    @property
    def in_progress(self) -> int:
        """Number of requests that are being answered."""
        return self._in_progress

    def serve(self) -> None:
        """Run the server loop until `stop` is called and all connections are closed."""
        self._server.run()

    def set_limits(self, body_bytes: int, idle_seconds: float) -> None:
        """Set the maximum size of request bodies and the idle timeout of connections."""
        self._server.adj.max_request_body_size = body_bytes
        self._server.adj.channel_timeout = idle_seconds

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.active_channels)

    def close_idle(self) -> None:
        """
        Stop listening; close connections with neither a received request nor unsent bytes.

        Clients keep using keep-alive connections until they are closed. Checking from another
        thread whether a request is in progress would race with the thread that reads requests,
        and the process could end with a request that was just read. So the reading thread closes
        the connections itself, and one on which anything has arrived stays open. Closing a
        connection with unread input would reset it, and its client could not know whether the
        request ran.
        """
        self._server.trigger.pull_trigger(self._close_idle_channels)

    def _close_idle_channels(self) -> None:
        self._stop_listening()
        for channel in list(self._server.active_channels.values()):
            is_busy = channel.requests or channel.request is not None or _has_input(channel)
            if not is_busy and not channel.total_outbufs_len:
                channel.handle_close()

    def await_idle(self, deadline: clock.Deadline) -> bool:
        """Wait until no request is in progress; return False if the deadline passes first."""
        pause = threading.Event()
        while self._in_progress and not deadline.is_past:
            pause.wait(_POLL_INTERVAL_SECONDS)
        return self._in_progress == 0

    def stop(self) -> None:
        """
        Stop listening and end the worker threads.

        The serving thread ends once no connection is open. It closes the listening socket itself,
        because it fails if the socket is closed just before it waits on it.
        """
        self._server.trigger.pull_trigger(self._end_loop)
        self._server.task_dispatcher.shutdown()

    def _stop_listening(self) -> None:
        if self._server.accepting:
            self._server.accepting = False
            waitress.wasyncore.dispatcher.close(self._server)

    def _end_loop(self) -> None:
        """
        Remove the trigger from the loop, which ends once its last connection is closed.

        The trigger's pipe stays open, because worker threads that finish an answer still use it.
        """
        self._stop_listening()
        self._server.trigger.del_channel()

    def _serve(
        self, environ: _Environ, start_response: collections.abc.Callable[..., typing.Any]
    ) -> collections.abc.Iterable[bytes]:
        self._change_in_progress(1)
        try:
            answer = self._answer(environ)
            _start_response(answer, start_response)
        except BaseException:
            self._change_in_progress(-1)
            raise
        has_body = environ["REQUEST_METHOD"] != "HEAD"
        return _TrackedParts(answer.parts, lambda: self._change_in_progress(-1), has_body)

    def _answer(self, environ: _Environ) -> http_messages.HttpAnswer:
        try:
            return self._handler.handle(_read_request(environ))
        except Exception:
            log.logger.bind(event="request-failed", path=environ.get("PATH_INFO", "")).exception(
                "the handler raised an exception; answered with status 500"
            )
            return http_messages.answer_problem(
                http_messages.Problem(500, "Internal error.", "unknown", "internal-error")
            )

    def _change_in_progress(self, change: int) -> None:
        with self._lock:
            self._in_progress += change


def _start_response(
    answer: http_messages.HttpAnswer, start_response: collections.abc.Callable[..., typing.Any]
) -> None:
    """Pass the status and headers to waitress, which raises if it can't send one of them."""
    headers = [("Content-Type", answer.content_type), *answer.headers]
    if isinstance(answer.parts, list):
        headers.append(("Content-Length", str(sum(len(part) for part in answer.parts))))
    start_response(f"{answer.status} {_find_phrase(answer.status)}", headers)


def _find_phrase(status: int) -> str:
    """Return the phrase of a status, empty for one that no standard defines."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return ""


def _has_input(channel: waitress.channel.HTTPChannel) -> bool:
    """Return whether a connection has unread input, which its thread will read next."""
    poller = select.poll()
    poller.register(channel.socket, select.POLLIN)
    return bool(poller.poll(0))


class _TrackedParts:
    """
    Body of an answer that reports when it is finished.

    Waitress calls `close` once all parts are sent or the client has disconnected.
    """

    def __init__(
        self,
        parts: collections.abc.Iterable[bytes],
        end: collections.abc.Callable[[], None],
        has_body: bool,
    ) -> None:
        self._parts = parts
        self._end = end
        self._has_body = has_body

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        return iter(self._parts) if self._has_body else iter(())

    def close(self) -> None:
        """Close the parts and report that the request has ended."""
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
