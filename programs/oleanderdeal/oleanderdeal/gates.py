"""
Limits how many threads of an entry each class of requests may hold.

An entry answers each request on a thread of a bounded pool. Background requests may wait for
minutes; if they held every thread, an urgent request would wait behind them without being read.
So each class may hold only a share of the pool, and requests above it are refused at once.

Limits for single classes are not enough. Their sum exceeded the pool, and requests then waited for
a thread in the HTTP server's own queue, where deadlines are not checked yet. They were answered
after their deadline, and not refused while there was time to go to another entry. So all classes
together leave some threads of the pool free. These threads only refuse requests, and are free
again at once.
"""

import enum
import threading

from oleander_contracts import contract


class Gate(enum.Enum):
    """Class of requests that shares one thread limit."""

    CRITICAL = "critical"
    INTERACTIVE = "interactive"
    BACKGROUND = "background"
    PULL = "pull"


RETRY_AFTER_MS = 500
"""Retry delay stated in the refusal of a request for lack of threads."""
_TOTAL_SHARE = 0.9
"""Share of the pool that all classes may hold together; the other threads only send refusals."""
_NON_CRITICAL_SHARE = 0.6
"""Share of the pool that all classes except the critical one may hold together."""
_SHARES = {
    Gate.CRITICAL: _TOTAL_SHARE,
    Gate.INTERACTIVE: _NON_CRITICAL_SHARE,
    Gate.BACKGROUND: 0.3,
    Gate.PULL: 0.3,
}
_GATES_BY_PRIORITY = {
    contract.Priority.CRITICAL: Gate.CRITICAL,
    contract.Priority.INTERACTIVE: Gate.INTERACTIVE,
}


def find_gate(priority: contract.Priority) -> Gate:
    """Return the thread class of a priority."""
    return _GATES_BY_PRIORITY.get(priority, Gate.BACKGROUND)


class ThreadLimits:
    """Counts the threads that each class holds against its limits; thread-safe."""

    def __init__(self, threads: int) -> None:
        self._max_per_gate = {
            gate: _compute_limit(threads, part) for gate, part in _SHARES.items()
        }
        self._max_non_critical = _compute_limit(threads, _NON_CRITICAL_SHARE)
        self._max_total = _compute_limit(threads, _TOTAL_SHARE)
        self._held = dict.fromkeys(Gate, 0)
        """Threads in use, by class."""
        self._lock = threading.Lock()

    def try_acquire(self, gate: Gate) -> bool:
        """Take a thread of a class, to be released later; return whether one was free."""
        with self._lock:
            if not self._has_free_thread(gate):
                return False
            self._held[gate] += 1
            return True

    def release(self, gate: Gate) -> None:
        """Release a thread that `try_acquire` took."""
        with self._lock:
            self._held[gate] -= 1

    def _has_free_thread(self, gate: Gate) -> bool:
        held = sum(self._held.values())
        non_critical = held - self._held[Gate.CRITICAL]
        if held >= self._max_total or self._held[gate] >= self._max_per_gate[gate]:
            return False
        return gate is Gate.CRITICAL or non_critical < self._max_non_critical


def _compute_limit(threads: int, part: float) -> int:
    return max(1, int(threads * part))
