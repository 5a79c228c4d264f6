"""
Keeps threads of an entry free for urgent work.

An entry answers each request on a thread of a bounded pool. Background requests may wait for
minutes; once they held every thread, a booking would wait behind them without being looked at.
So each class may hold only a part of the pool, and what is beyond it is refused at once.
"""

import collections.abc
import contextlib
import enum
import threading

from oleander_contracts import contract


class Gate(enum.Enum):
    """What asks for a thread; the value is the part of the pool that it may hold."""

    CRITICAL = 1.0
    INTERACTIVE = 0.75
    BACKGROUND = 0.45
    PULL = 0.3


RETRY_AFTER_MS = 500
_GATES = {
    contract.Priority.CRITICAL: Gate.CRITICAL,
    contract.Priority.INTERACTIVE: Gate.INTERACTIVE,
}


def find_gate(priority: contract.Priority) -> Gate:
    """Return the gate of a priority class."""
    return _GATES.get(priority, Gate.BACKGROUND)


class ThreadGates:
    """Counts the threads that each class holds."""

    def __init__(self, threads: int) -> None:
        self._free = {
            gate: threading.BoundedSemaphore(max(1, int(threads * gate.value))) for gate in Gate
        }

    @contextlib.contextmanager
    def enter(self, gate: Gate) -> collections.abc.Iterator[bool]:
        """Yield whether there is room; the place is held until the block ends."""
        is_free = self._free[gate].acquire(blocking=False)
        try:
            yield is_free
        finally:
            if is_free:
                self._free[gate].release()
