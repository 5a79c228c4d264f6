"""A bound on the bytes of all answers that a process is receiving."""

import threading

_FREE_BYTES = 64 * 1024
"""Bytes of each answer that are not charged, so that small answers are never turned away."""
_PIECE_BYTES = 64 * 1024


class TooManyBytesError(OSError):
    """Raised when a peer sends more bytes than an answer may have."""


class ReceiveBudget:
    """
    Shares a number of bytes among the answers being received; thread-safe.

    A faulty peer may send bytes without end. Each answer has a bound of its own, but as many as
    are received at once could exceed the memory of the process.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._lock = threading.Lock()

    @property
    def held_bytes(self) -> int:
        """The bytes that are charged now."""
        return self._held_bytes

    def take(self, count: int) -> None:
        """Charge bytes; raise TooManyBytesError if they exceed what is left."""
        with self._lock:
            if self._held_bytes + count > self._max_bytes:
                raise TooManyBytesError("answers that are being received hold too many bytes")
            self._held_bytes += count

    def release(self, count: int) -> None:
        """Return charged bytes."""
        with self._lock:
            self._held_bytes -= count


class BodyBuffer:
    """
    The bytes of one body, in pieces; not thread-safe.

    One buffer that grows is moved again and again. With a hundred of them at once the allocator
    kept five times as much as they held.
    """

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._last_piece = bytearray()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._size

    def add(self, data: bytes) -> None:
        """Append bytes."""
        self._size += len(data)
        self._last_piece += data
        if len(self._last_piece) >= _PIECE_BYTES:
            self._pieces.append(bytes(self._last_piece))
            self._last_piece.clear()

    def join(self) -> bytes:
        """Return all bytes."""
        return b"".join([*self._pieces, self._last_piece])


class AnswerAccount:
    """Charges the bytes of one answer to a budget; not thread-safe."""

    def __init__(self, budget: ReceiveBudget, max_bytes: int) -> None:
        self._budget = budget
        self._max_bytes = max_bytes
        self._received_bytes = 0
        self._charged_bytes = 0

    def add(self, count: int) -> None:
        """Count received bytes; raise TooManyBytesError beyond the bound of the answer."""
        self._received_bytes += count
        if self._received_bytes > self._max_bytes:
            raise TooManyBytesError(f"the answer is larger than {self._max_bytes} bytes")
        charged = max(0, self._received_bytes - _FREE_BYTES)
        self._budget.take(charged - self._charged_bytes)
        self._charged_bytes = charged

    def close(self) -> None:
        """Return what was charged; repeated calls change nothing."""
        self._budget.release(self._charged_bytes)
        self._charged_bytes = 0
