"""Clocks and deadlines; all code reads the time through this module."""

import dataclasses
import time


def read_now() -> float:
    """
    Return monotonic seconds, which are comparable only within one process.

    CLOCK_BOOTTIME also counts the time that the host was suspended. CLOCK_MONOTONIC does not: a
    lease holder that was suspended past the end of its lease would resume with most of the lease
    left and act at the same time as its successor.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_ms() -> int:
    """
    Return Unix time in milliseconds, for display and for windows of calendar time.

    Clocks differ between hosts, so no decision may compare the times of two hosts.
    """
    return int(time.time() * 1000)


@dataclasses.dataclass(slots=True, frozen=True)
class Deadline:
    """A point of monotonic time (`read_now`) after which a result is no longer useful."""

    expires_at: float

    @property
    def remaining(self) -> float:
        """Seconds left, never negative."""
        return max(0.0, self.expires_at - read_now())

    @property
    def remaining_ms(self) -> int:
        """Milliseconds left, never negative; messages between hosts carry this, not a time."""
        return int(self.remaining * 1000)

    @property
    def is_past(self) -> bool:
        """Whether no time is left."""
        return read_now() >= self.expires_at

    def cap(self, seconds: float) -> "Deadline":
        """Return the earlier of this deadline and one `seconds` from now."""
        return Deadline(min(self.expires_at, read_now() + seconds))


def start_deadline(seconds: float) -> Deadline:
    """Return a deadline `seconds` from now."""
    return Deadline(read_now() + seconds)


def start_deadline_ms(milliseconds: int) -> Deadline:
    """Return a deadline `milliseconds` from now."""
    return start_deadline(milliseconds / 1000)
