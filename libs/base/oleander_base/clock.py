"""The one place where time is read."""

import dataclasses
import time


def read_now() -> float:
    """
    Return monotonic seconds; comparable only within one process.

    The boot-time clock also counts the time that a host was suspended. By the plain monotonic
    clock a holder that slept through its lease would wake up with most of it left, and act beside
    its successor.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_ms() -> int:
    """
    Return wall-clock milliseconds, for people to read and for windows of true time.

    Clocks differ between hosts, so no decision may compare one host's with another's.
    """
    return int(time.time() * 1000)


@dataclasses.dataclass(slots=True, frozen=True)
class Deadline:
    """A point of monotonic time after which work is no longer wanted."""

    expires_at: float

    @property
    def remaining(self) -> float:
        """Seconds left, never negative."""
        return max(0.0, self.expires_at - read_now())

    @property
    def remaining_ms(self) -> int:
        """Milliseconds left, never negative; this is what travels between hosts."""
        return int(self.remaining * 1000)

    @property
    def is_past(self) -> bool:
        """Whether no time is left."""
        return read_now() >= self.expires_at

    def cap(self, seconds: float) -> "Deadline":
        """Return the sooner of this deadline and one that many seconds from now."""
        return Deadline(min(self.expires_at, read_now() + seconds))


def start_deadline(seconds: float) -> Deadline:
    """Return the deadline that many seconds from now."""
    return Deadline(read_now() + seconds)


def start_deadline_ms(milliseconds: int) -> Deadline:
    """Return the deadline that many milliseconds from now."""
    return start_deadline(milliseconds / 1000)
