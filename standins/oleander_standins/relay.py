"""A TCP relay between two processes that can close connections and hold or alter data."""

import collections.abc
import contextlib
import socket
import threading

TO_SERVER = "to_server"
TO_CLIENT = "to_client"
_DIRECTIONS = (TO_SERVER, TO_CLIENT)
CUT = "cut"
DAMAGED = "damaged"
_SAMPLE_TEXT = b'"text":"'
_MAX_READ_BYTES = 64 * 1024
_MAX_CONNECTIONS = 1000
_CONNECT_TIMEOUT_SECONDS = 5.0
_MAX_HOLD_SECONDS = 600.0
_JOIN_TIMEOUT_SECONDS = 5.0


class Relay:
    """
    Forwards connections to a target.

    New connections are closed at once while a thousand are open, and if the target refuses the
    connection.
    """

    def __init__(self, target: str) -> None:
        """Listen on a free port; `target` is IP:port and may be changed for later connections."""
        self.target = target
        self._changed = threading.Condition()
        self._passed = dict.fromkeys(_DIRECTIONS, 0)
        self._blocked: set[str] = set()
        self._held_text = b""
        self._held_direction = TO_SERVER
        self._is_cut = False
        self._is_closed = False
        self._spoils: list[str] = []
        self._pairs: set[_Pair] = set()
        self._threads: set[threading.Thread] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self._start_thread(self._accept)

    @property
    def address(self) -> str:
        """The address that the relay listens on, as IP:port."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    @property
    def url(self) -> str:
        """The URL that the relay listens on."""
        return f"http://{self.address}"

    @property
    def connections(self) -> int:
        """How many connections are open."""
        with self._changed:
            return len(self._pairs)

    @property
    def bytes_passed(self) -> int:
        """How many bytes were forwarded, in both directions together."""
        with self._changed:
            return sum(self._passed.values())

    @property
    def spoils_left(self) -> int:
        """How many of the faults requested with `spoil` have not been used."""
        with self._changed:
            return len(self._spoils)

    def cut(self) -> None:
        """Close every connection, and each new one at once, until `heal` is called."""
        with self._changed:
            self._is_cut = True
            self._close_pairs()

    def drop_connections(self) -> None:
        """Close every open connection; new ones are forwarded."""
        with self._changed:
            self._close_pairs()

    def block(self, direction: str) -> None:
        """Hold data in one direction until `release` or `heal`; connections stay open."""
        assert direction in _DIRECTIONS, direction
        with self._changed:
            self._blocked.add(direction)

    def block_open_connections(self) -> None:
        """Hold data of the open connections in both directions; later ones are forwarded."""
        with self._changed:
            for pair in self._pairs:
                pair.blocked.update(_DIRECTIONS)

    def hold_requests(self, text: str, direction: str) -> None:
        """Hold one direction of each connection whose client sends a text, until released."""
        assert direction in _DIRECTIONS, direction
        with self._changed:
            self._held_text = text.encode()
            self._held_direction = direction

    def pass_requests(self) -> None:
        """Stop matching the text of `hold_requests`; connections held already stay held."""
        with self._changed:
            self._held_text = b""

    def release(self, direction: str) -> None:
        """Forward data in one direction again, starting with the data that was held."""
        assert direction in _DIRECTIONS, direction
        with self._changed:
            self._blocked.discard(direction)
            for pair in self._pairs:
                pair.blocked.discard(direction)
            self._changed.notify_all()

    def spoil(self, how: str) -> None:
        """
        Alter one answer that contains samples: the next that no earlier call will alter.

        `CUT` closes the connection within the answer; `DAMAGED` changes the first digit of the
        text of its first sample.
        """
        assert how in {CUT, DAMAGED}, how
        with self._changed:
            self._spoils.append(how)

    def count_held(self, direction: str) -> int:
        """Return how many connections have data held back in a direction."""
        with self._changed:
            return len(self._list_held(direction))

    def holds(self, direction: str, text: str) -> bool:
        """Return whether data held back in a direction contains a text."""
        with self._changed:
            return any(text.encode() in held for held in self._list_held(direction))

    def heal(self) -> None:
        """Forward everything again, starting with the data that was held."""
        with self._changed:
            self._is_cut = False
            self._held_text = b""
        for direction in _DIRECTIONS:
            self.release(direction)

    def close(self) -> None:
        """Close the listener and every connection, and wait for the threads to end."""
        with self._changed:
            self._is_closed = True
            self._close_pairs()
            threads = list(self._threads)
        _shut_down_socket(self._listener)
        for thread in threads:
            thread.join(_JOIN_TIMEOUT_SECONDS)
        self._listener.close()

    def _start_thread(self, task: collections.abc.Callable[..., None], *arguments: object) -> None:
        thread = threading.Thread(target=self._run, args=(task, *arguments), daemon=True)
        with self._changed:
            self._threads.add(thread)
            thread.start()

    def _run(self, task: collections.abc.Callable[..., None], *arguments: object) -> None:
        try:
            task(*arguments)
        finally:
            with self._changed:
                self._threads.discard(threading.current_thread())

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            self._start_thread(self._connect_to_target, client)

    def _connect_to_target(self, client: socket.socket) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), _CONNECT_TIMEOUT_SECONDS)
        except OSError:
            client.close()
            return
        pair = _Pair(client, server)
        with self._changed:
            refused = self._is_cut or self._is_closed or len(self._pairs) >= _MAX_CONNECTIONS
            if not refused:
                self._pairs.add(pair)
        if refused:
            pair.close()
            return
        self._start_thread(self._pump, pair, server, client, TO_CLIENT)
        self._pump(pair, client, server, TO_SERVER)

    def _pump(
        self, pair: "_Pair", source: socket.socket, sink: socket.socket, direction: str
    ) -> None:
        try:
            while data := source.recv(_MAX_READ_BYTES):
                if direction == TO_SERVER:
                    self._hold_matching(pair, data)
                pair.held[direction] = data
                self._wait_open(pair, direction)
                self._send(pair, sink, data, direction)
                with self._changed:
                    self._passed[direction] += len(data)
                pair.held.pop(direction, None)
            self._wait_open(pair, direction)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pair.shut()
        self._finish(pair)

    def _hold_matching(self, pair: "_Pair", data: bytes) -> None:
        with self._changed:
            if self._held_text and self._held_text in data:
                pair.blocked.add(self._held_direction)

    def _send(self, pair: "_Pair", sink: socket.socket, data: bytes, direction: str) -> None:
        how = ""
        if direction == TO_CLIENT and _SAMPLE_TEXT in data:
            with self._changed:
                how = self._spoils.pop(0) if self._spoils else ""
        place = data.find(_SAMPLE_TEXT) + len(_SAMPLE_TEXT)
        if how == DAMAGED:
            other = b"1" if data[place : place + 1] == b"0" else b"0"
            data = data[:place] + other + data[place + 1 :]
        sink.sendall(data[:place] if how == CUT else data)
        if how == CUT:
            pair.shut()

    def _wait_open(self, pair: "_Pair", direction: str) -> None:
        with self._changed:
            self._changed.wait_for(
                lambda: pair.is_closed or not self._is_blocked(pair, direction),
                _MAX_HOLD_SECONDS,
            )

    def _list_held(self, direction: str) -> list[bytes]:
        """Return the data held back in a direction, without what is just being forwarded."""
        return [
            pair.held[direction]
            for pair in self._pairs
            if direction in pair.held and self._is_blocked(pair, direction)
        ]

    def _is_blocked(self, pair: "_Pair", direction: str) -> bool:
        return direction in self._blocked or direction in pair.blocked

    def _finish(self, pair: "_Pair") -> None:
        with self._changed:
            pair.pumps_left -= 1
            if pair.pumps_left == 0:
                pair.close()
                self._pairs.discard(pair)

    def _close_pairs(self) -> None:
        for pair in self._pairs:
            pair.shut()
        self._changed.notify_all()


class _Pair:
    """The client's and the target's socket of a relayed connection."""

    __slots__ = ("blocked", "client", "held", "is_closed", "pumps_left", "server")

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        for end in (client, server):
            end.settimeout(None)
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.client = client
        self.server = server
        self.blocked: set[str] = set()
        self.held: dict[str, bytes] = {}
        """Data read in each direction that is not forwarded yet."""
        self.is_closed = False
        self.pumps_left = 2

    def shut(self) -> None:
        """Shut down both sockets, which ends blocked reads."""
        self.is_closed = True
        _shut_down_socket(self.client)
        _shut_down_socket(self.server)

    def close(self) -> None:
        """Shut down and close both sockets."""
        self.shut()
        self.client.close()
        self.server.close()


def _shut_down_socket(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        end.shutdown(socket.SHUT_RDWR)
