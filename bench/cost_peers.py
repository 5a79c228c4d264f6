"""Fake sidecars, fake entries and byte-counting relays around the measured process."""

import contextlib
import socket
import threading
import time

from oleander_base import clock, identifiers
from oleander_standins import deployment
from oleander_wire import link, messages

_HOST = "127.0.0.1"
_MAX_READ_BYTES = 65536
_PIECE_TOKENS = 4
_RECEIVE_TIMEOUT_SECONDS = 0.2
_DIAL_TIMEOUT_SECONDS = 3.0


class CountingRelay:
    """Forwards connections to an address and counts the bytes of both directions."""

    def __init__(self, target: str) -> None:
        self.bytes = 0
        self._target = target
        self._lock = threading.Lock()
        self._listener = socket.create_server((_HOST, 0), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The address that the relay listens on, as IP:port."""
        return f"{_HOST}:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        """Stop listening; open connections end when either side closes them."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                self._join(near)

    def _join(self, near: socket.socket) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            far = socket.create_connection((host, int(port)), _DIAL_TIMEOUT_SECONDS)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for ends in ((near, far), (far, near)):
            ends[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._pump, args=ends, daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(_MAX_READ_BYTES):
                with self._lock:
                    self.bytes += len(data)
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


class FakeSidecar:
    """Answers every request immediately and streams generations in pieces of four tokens."""

    def __init__(self, number: int, backend: str, heartbeat_ms: int) -> None:
        self.name = f"sidecar-{number}"
        self._backend = backend
        self._heartbeat_ms = heartbeat_ms
        self._offset = -1
        self._incarnation = identifiers.create_incarnation()
        self._stopped = threading.Event()
        self._server = link.LinkServer(_HOST, 0, self._serve, 8)
        self.address = f"{_HOST}:{self._server.port}"
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop listening and end its links."""
        self._stopped.set()
        self._server.stop()

    def _serve(self, opened: link.Link) -> None:
        opened.receive(clock.start_deadline(_DIAL_TIMEOUT_SECONDS))
        hello = messages.Hello(
            messages.PROTOCOL, self.name, self._incarnation, "a", deployment.PROCESS_TOKEN
        )
        opened.send(hello)
        due = clock.start_deadline(0)
        while not self._stopped.is_set():
            if due.is_past:
                opened.send(self._create_heartbeat())
                due = clock.start_deadline_ms(self._heartbeat_ms)
            received = opened.receive(due)
            if received.is_error():
                return
            if received.ok is not None:
                self._handle(opened, received.ok)

    def _handle(self, opened: link.Link, message: messages.Message) -> None:
        match message:
            case messages.Records():
                self._offset = max([self._offset, *message.offsets])
            case messages.Run():
                for _ in range(_count_pieces(message)):
                    opened.send(messages.Tokens(message.request_id, "x" * 16, _PIECE_TOKENS, 1))
                opened.send(_answer(message.request_id))
            case messages.Join():
                opened.send(_answer(message.request_id))

    def _create_heartbeat(self) -> messages.Heartbeat:
        version = 1 if self._backend == "designs" else None
        return messages.Heartbeat(
            self._backend, 0, 0, 64, 0, version, True, False, self._offset, 1
        )


class FakeEntry:
    """Connects to a sidecar and counts its answers; requests are sent with `send`."""

    def __init__(self, number: int, address: str) -> None:
        self.answers = 0
        self.incarnation = ""
        self._link = link.dial_link(address, clock.start_deadline(_DIAL_TIMEOUT_SECONDS)).ok
        self._link.send(
            messages.Hello(
                messages.PROTOCOL,
                f"entry-{number}",
                f"run-{number}",
                "a",
                deployment.PROCESS_TOKEN,
            )
        )
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()
        give_up_at = time.monotonic() + _DIAL_TIMEOUT_SECONDS
        while not self.incarnation and time.monotonic() < give_up_at:
            time.sleep(0.01)

    def send(self, message: messages.Message) -> None:
        """Send a message to the sidecar."""
        self._link.send(message)

    def stop(self) -> None:
        """Close the link."""
        self._stopped.set()
        self._link.abort()
        self._thread.join(_DIAL_TIMEOUT_SECONDS)

    def _read(self) -> None:
        while not self._stopped.is_set():
            received = self._link.receive(clock.start_deadline(_RECEIVE_TIMEOUT_SECONDS))
            if received.is_error():
                return
            match received.ok:
                case messages.Hello():
                    self.incarnation = received.ok.incarnation
                case messages.Answer():
                    self.answers += 1


def _count_pieces(run: messages.Run) -> int:
    return run.generation.max_tokens // _PIECE_TOKENS if run.generation else 0


def _answer(request_id: str) -> messages.Answer:
    return messages.Answer(request_id, messages.Outcome.DONE, 200, "", 0, b'{"done": true}', 1)
