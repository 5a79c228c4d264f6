"""
The HTTP server that all stand-ins share.

Its control endpoint, `/control`, changes settings and injects faults with POST and returns
counters and settings with GET.
"""

import abc
import argparse
import collections.abc
import contextlib
import dataclasses
import http.server
import json
import signal
import socket
import sys
import threading
import time
import typing
import urllib.parse

_HOST = "127.0.0.1"
_MAX_BODY_BYTES = 64 * 1024 * 1024
_IDLE_TIMEOUT_SECONDS = 300.0
_MAX_HANG_SECONDS = 600.0
_CONTROL_PATH = "/control"
REFUSE = "refuse"
HANG = "hang"
_OUTAGES = ("", REFUSE, HANG)


@dataclasses.dataclass(slots=True)
class Settings:
    """Settings of every stand-in, set by flags and changed through the control endpoint."""

    outage: str = ""
    """Simulated outage: empty for none, `refuse` answers 503 at once, `hang` gives no answer and
    closes the connections once it is cleared. Requests have no effect during an outage."""
    slow_ms: int = 0
    """Delay in milliseconds before each request is processed."""


class Exchange:
    """A request, with methods to answer it."""

    def __init__(self, handler: "_Handler", body: bytes) -> None:
        parts = urllib.parse.urlsplit(handler.path)
        self._handler = handler
        self.method = handler.command
        self.segments = [urllib.parse.unquote(item) for item in parts.path.strip("/").split("/")]
        self.query = dict(urllib.parse.parse_qsl(parts.query))
        self.headers = handler.headers
        self.body = body

    @property
    def route(self) -> tuple[str, ...]:
        """The method and the decoded segments of the path, for `match` statements."""
        return (self.method, *self.segments)

    def read_object(self) -> dict[str, typing.Any]:
        """Return the JSON object in the body, or an empty one if the body is anything else."""
        try:
            content = json.loads(self.body)
        except (ValueError, RecursionError):
            return {}
        return content if isinstance(content, dict) else {}

    def send_json(
        self, status: int, content: typing.Any, retry_after_seconds: int | None = None
    ) -> None:
        """Send an answer with a JSON body."""
        headers = {"Content-Type": "application/json"}
        if retry_after_seconds is not None:
            headers["Retry-After"] = str(retry_after_seconds)
        self.send_bytes(status, json.dumps(content).encode(), headers)

    def send_bytes(
        self, status: int, body: bytes, headers: collections.abc.Mapping[str, str]
    ) -> None:
        """Send an answer with a body; head and body are written at once."""
        self._handler.send_response(status)
        for name, value in headers.items():
            self._handler.send_header(name, value)
        self._handler.send_header("Content-Length", str(len(body)))
        self._handler.finish_head(body)

    def start_stream(self) -> None:
        """Start a chunked answer of JSON lines."""
        self._handler.send_response(200)
        self._handler.send_header("Content-Type", "application/x-ndjson")
        self._handler.send_header("Transfer-Encoding", "chunked")
        self._handler.finish_head(b"")

    def send_line(self, content: typing.Any) -> None:
        """Send one JSON line; raise OSError if the caller has disconnected."""
        line = json.dumps(content).encode() + b"\n"
        self._handler.wfile.write(b"%x\r\n%b\r\n" % (len(line), line))
        self._handler.wfile.flush()

    def end_stream(self) -> None:
        """End a chunked answer."""
        self._handler.wfile.write(b"0\r\n\r\n")
        self._handler.wfile.flush()

    def drop(self) -> None:
        """Close the connection without an answer."""
        self._handler.close_connection = True
        with contextlib.suppress(OSError):
            self._handler.connection.shutdown(socket.SHUT_RDWR)


_SettingsType = typing.TypeVar("_SettingsType", bound=Settings)


class StandIn(abc.ABC, typing.Generic[_SettingsType]):
    """
    Base class of the stand-ins.

    Each connection has a thread of its own, so methods may run concurrently; `changed` guards
    the state.
    """

    def __init__(self, settings: _SettingsType) -> None:
        self.settings = settings
        self.changed = threading.Condition()

    @abc.abstractmethod
    def answer(self, exchange: Exchange) -> None:
        """Process a request and send its answer."""

    @abc.abstractmethod
    def count(self, query: dict[str, str]) -> dict[str, typing.Any]:
        """Return the counters for the control endpoint; called with the lock held."""

    def command(self, name: str, value: typing.Any) -> bool:
        """Run a control command, with the lock held; return False if the command is unknown."""
        return False

    def control(self, content: dict[str, typing.Any]) -> list[str]:
        """
        Change settings and run commands; return the problems found.

        Nothing is changed if a setting has a wrong type or value. Unknown or malformed commands
        are reported after the settings have been changed.
        """
        fields = {field.name: field for field in dataclasses.fields(self.settings)}
        settings = {name: value for name, value in content.items() if name in fields}
        problems = [
            f"{name} is no {type(getattr(self.settings, name)).__name__}"
            for name, value in settings.items()
            if not _has_setting_type(value, getattr(self.settings, name))
        ]
        if settings.get("outage", "") not in _OUTAGES:
            problems.append(f"outage is none of {_OUTAGES}")
        if problems:
            return problems
        with self.changed:
            for name, value in settings.items():
                setattr(self.settings, name, type(getattr(self.settings, name))(value))
            commands = [name for name in content if name not in fields]
            refused = [name for name in commands if not self._run_command(name, content[name])]
            self.changed.notify_all()
        return [f"{name} is unknown or malformed" for name in refused]

    def _run_command(self, name: str, value: typing.Any) -> bool:
        try:
            return self.command(name, value)
        except (KeyError, TypeError, ValueError):
            return False

    def take(self, name: str) -> bool:
        """Return whether a fault applies to this request, and decrement its count if so."""
        with self.changed:
            left = getattr(self.settings, name)
            if left <= 0:
                return False
            setattr(self.settings, name, left - 1)
            return True

    def wait_while(self, holds: collections.abc.Callable[[], bool]) -> None:
        """Block while a condition is true, for ten minutes at most."""
        with self.changed:
            self.changed.wait_for(lambda: not holds(), _MAX_HANG_SECONDS)

    def serve(self, exchange: Exchange) -> None:
        """Process a request, or simulate the outage that is set."""
        if self.settings.outage == REFUSE:
            exchange.send_json(503, {"reason": "outage"}, retry_after_seconds=1)
        elif self.settings.outage == HANG:
            self.wait_while(lambda: self.settings.outage == HANG)
            exchange.drop()
        else:
            time.sleep(self.settings.slow_ms / 1000)
            self.answer(exchange)

    def serve_control(self, exchange: Exchange) -> None:
        """Answer a request to the control endpoint."""
        if exchange.method == "POST":
            problems = self.control(exchange.read_object())
            exchange.send_json(400 if problems else 200, {"problems": problems})
            return
        with self.changed:
            counts = self.count(exchange.query)
        exchange.send_json(200, counts | {"settings": dataclasses.asdict(self.settings)})


def _has_setting_type(value: typing.Any, current: typing.Any) -> bool:
    if isinstance(current, float):
        return type(value) in {int, float}
    return type(value) is type(current)


class _Handler(http.server.BaseHTTPRequestHandler):
    """Reads the requests of one connection and passes them to the stand-in."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 64 * 1024
    timeout = _IDLE_TIMEOUT_SECONDS
    stand_in: StandIn[typing.Any]

    def finish_head(self, body: bytes) -> None:
        """Send the head and the body in one write."""
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def log_message(self, format: str, *args: typing.Any) -> None:
        """Suppress the access log; tests read counters from the control endpoint."""

    def _serve(self) -> None:
        length = self.headers.get("Content-Length", "0")
        if not length.isdigit() or int(length) > _MAX_BODY_BYTES:
            self.send_error(413)
            self.close_connection = True
            return
        exchange = Exchange(self, self.rfile.read(int(length)))
        try:
            if self.path.partition("?")[0] == _CONTROL_PATH:
                self.stand_in.serve_control(exchange)
            else:
                self.stand_in.serve(exchange)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815


class _Server(http.server.ThreadingHTTPServer):
    """An HTTP server with a daemon thread for each connection."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = 512

    def __init__(self, address: tuple[str, int], handler: type[_Handler]) -> None:
        """Listen; a port other than 0 may be one that `processes.reserve_port` holds."""
        self.allow_reuse_port = address[1] != 0
        super().__init__(address, handler)

    def handle_error(self, request: typing.Any, client_address: typing.Any) -> None:
        """Print exceptions of the stand-in; ignore OSError, raised when a caller disconnects."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)


def run_program(
    settings: _SettingsType,
    create: collections.abc.Callable[[_SettingsType], StandIn[_SettingsType]],
) -> None:
    """Read the port and the settings from flags, and serve until SIGTERM or Ctrl-C."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0, help="0 takes any free port")
    for field in dataclasses.fields(settings):
        _add_flag(parser, field.name, getattr(settings, field.name))
    arguments = parser.parse_args()
    for field in dataclasses.fields(settings):
        setattr(settings, field.name, getattr(arguments, field.name))
    with create_server(create(settings), arguments.port) as httpd:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
        print(f"listening on {_HOST}:{httpd.server_port}", flush=True)
        with contextlib.suppress(KeyboardInterrupt):
            httpd.serve_forever()


def create_server(stand_in: StandIn[typing.Any], port: int) -> http.server.HTTPServer:
    """Return a listening server; the caller runs `serve_forever`."""
    handler = type("Handler", (_Handler,), {"stand_in": stand_in})
    return _Server((_HOST, port), handler)


def _add_flag(parser: argparse.ArgumentParser, name: str, default: typing.Any) -> None:
    flag = "--" + name.replace("_", "-")
    if isinstance(default, bool):
        parser.add_argument(flag, action=argparse.BooleanOptionalAction, default=default)
    else:
        parser.add_argument(flag, type=type(default), default=default)
