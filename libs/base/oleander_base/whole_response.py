"""HTTP responses whose head and framing must be whole, which http.client does not check."""

import http.client
import io
import re
import typing

from oleander_base import deadline_socket

_MAX_LINE_BYTES = 64 * 1024
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-9][0-9]{2}(?: [^\r\n]*)?\r?\n")
_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00\r\n]*\r?\n")
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_STATED_LENGTH = re.compile(r"[0-9]{1,18}")
_BLANK_LINES = (b"\r\n", b"\n")
_LINE_END = b"\r\n"
_INTERIM_STATUSES = range(100, 200)
_SWITCHING_PROTOCOLS = 101


class IncompleteHeadError(http.client.IncompleteRead):
    """The connection was closed before the head of the answer was complete."""

    def __init__(self) -> None:
        super().__init__(b"")

    def __str__(self) -> str:
        return "the head of the answer ends early"


class MalformedAnswerError(http.client.HTTPException):
    """The head or the framing of an answer violates RFC 9112."""


class WholeResponse(http.client.HTTPResponse):
    """
    A response that raises an error if its head or its framing is not whole.

    http.client takes the end of the connection for the end of the head, drops a line that is no
    header with all that follow, and reads a chunk size that was cut as a smaller one. What is left
    of such an answer would pass for the whole of it.
    """

    def __init__(
        self, sock: deadline_socket.DeadlineSocket, debuglevel: int = 0, method: str | None = None
    ) -> None:
        super().__init__(sock, debuglevel, method)
        self._socket = sock
        self._received: io.BufferedReader = self.fp
        self._is_framed = False

    @property
    def is_framed(self) -> bool:
        """Whether the answer states its end; otherwise the close of the connection ends it."""
        return self._is_framed

    def begin(self) -> None:
        """Receive the head of the final answer, after those of interim ones."""
        self.fp = typing.cast("io.BufferedReader", _HeadReader(self._received))
        super().begin()
        while self.status in _INTERIM_STATUSES:
            if self.status == _SWITCHING_PROTOCOLS:
                raise MalformedAnswerError("the answer switches protocols")
            self.headers = typing.cast("http.client.HTTPMessage", None)
            super().begin()
        self.fp = self._received
        self._check_framing()
        self._is_framed = self.chunked or self.length is not None
        if self.chunked:
            # http.client reads the decoded body like one that ends with its connection.
            self.chunked = False
            if self.length is None:
                self.fp = io.BufferedReader(_ChunkDecoder(self._received))

    def has_surplus(self) -> bool:
        """Return whether bytes beyond the answer have arrived, once it was read to its end."""
        with self._socket.polling():
            try:
                return bool(self._received.peek(1))
            except OSError:
                return True

    def close(self) -> None:
        """Close the response and what it was received with."""
        super().close()
        self._received.close()

    def _check_framing(self) -> None:
        """Raise an error if the end of the body is stated in an unknown way, or in two ways."""
        codings = self.headers.get_all("Transfer-Encoding", [])
        lengths = {value.strip() for value in self.headers.get_all("Content-Length", [])}
        if codings and (lengths or not self.chunked or len(codings) > 1):
            raise MalformedAnswerError(f"transfer codings {codings[:2]}, lengths {len(lengths)}")
        if len(lengths) > 1 or not all(_STATED_LENGTH.fullmatch(item) for item in lengths):
            raise MalformedAnswerError("the stated lengths differ or are no numbers")


class _HeadReader:
    """Passes on the lines of a head; raises an error for one that is cut or malformed."""

    def __init__(self, received: io.BufferedReader) -> None:
        self._received = received
        self._has_begun = False
        self._is_status_next = True

    def readline(self, limit: int) -> bytes:
        """Return the next line with its end, or empty bytes if no answer has begun."""
        line = self._received.readline(limit)
        if not line and not self._has_begun:
            return line
        self._has_begun = True
        if not line.endswith(b"\n"):
            if len(line) < limit:
                raise IncompleteHeadError
            return line
        if self._is_status_next:
            if not _STATUS_LINE.fullmatch(line):
                raise http.client.BadStatusLine(line.decode("iso-8859-1"))
        elif line not in _BLANK_LINES and not _HEADER_LINE.fullmatch(line):
            raise MalformedAnswerError(f"a line of the head is no header: {line[:40]!r}")
        self._is_status_next = line in _BLANK_LINES
        return line

    def flush(self) -> None:
        """Do nothing, as there is nothing to write."""

    def close(self) -> None:
        """Close what is read from."""
        self._received.close()


class _ChunkDecoder(io.RawIOBase):
    """The decoded body of a chunked answer; raises an error if a chunk is not whole."""

    def __init__(self, received: io.BufferedReader) -> None:
        self._received = received
        self._chunk_left = 0
        self._has_begun = False
        self._is_ended = False

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: typing.Any) -> int:
        """Read decoded bytes into a buffer; return their number, 0 at the end of the body."""
        if not self._chunk_left and not self._is_ended:
            self._begin_chunk()
        if self._is_ended:
            return 0
        count = self._received.readinto1(memoryview(buffer)[: self._chunk_left])
        if not count:
            raise http.client.IncompleteRead(b"")
        self._chunk_left -= count
        return count

    def _begin_chunk(self) -> None:
        """Read the end of the last chunk and the size of the next one."""
        if self._has_begun and self._read_exactly(len(_LINE_END)) != _LINE_END:
            raise MalformedAnswerError("a chunk is longer than its size")
        self._has_begun = True
        line = self._received.readline(_MAX_LINE_BYTES)
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(b"")
        stated = _CHUNK_SIZE_LINE.fullmatch(line)
        if stated is None:
            raise http.client.IncompleteRead(b"")
        self._chunk_left = int(stated[1], 16)
        if not self._chunk_left:
            self._is_ended = True
            self._skip_trailers()

    def _read_exactly(self, count: int) -> bytes:
        read = self._received.read(count)
        if len(read) < count:
            raise http.client.IncompleteRead(read)
        return read

    def _skip_trailers(self) -> None:
        """Read to the end of the answer; the body is whole even if the connection ends first."""
        while line := self._received.readline(_MAX_LINE_BYTES):
            if line in _BLANK_LINES:
                return
