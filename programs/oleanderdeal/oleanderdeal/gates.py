"""
Keeps threads of an entry free for urgent work, and some for saying no.

An entry answers each request on a thread of a bounded pool. Background requests may wait for
minutes; once they held every thread, a booking would wait behind them without being looked at.
So each class may hold only a part of the pool, and what is beyond it is refused at once.

Bounds of single classes are not enough: together they came to more than the pool, and requests
waited for a thread in the server's own queue, where no deadline counts yet. They were answered
after their deadline, and no refusal came while there was time to go elsewhere. So all classes
together leave some threads, which only ever refuse and are free again at once.
"""

import enum
import threading

from oleander_contracts import contract


class Gate(enum.Enum):
    """What asks for a thread."""

    CRITICAL = "critical"
    INTERACTIVE = "interactive"
    BACKGROUND = "background"
    PULL = "pull"


RETRY_AFTER_MS = 500
_TOTAL_SHARE = 0.9
"""The part of the pool that all classes may hold together; the rest refuses."""
_NON_CRITICAL_SHARE = 0.6
"""The part that all classes but the critical one may hold together."""
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
    """Return the gate of a priority class."""
    return _GATES_BY_PRIORITY.get(priority, Gate.BACKGROUND)


class ThreadLimits:
    """Counts the threads that each class holds."""

    def __init__(self, threads: int) -> None:
        self._max_per_gate = {
            gate: _compute_limit(threads, part) for gate, part in _SHARES.items()
        }
        self._max_non_critical = _compute_limit(threads, _NON_CRITICAL_SHARE)
        self._max_total = _compute_limit(threads, _TOTAL_SHARE)
        self._held = dict.fromkeys(Gate, 0)
        self._lock = threading.Lock()

    def try_acquire(self, gate: Gate) -> bool:
        """Take a place, to be given back; return whether there was one."""
        with self._lock:
            if not self._has_free_thread(gate):
                return False
            self._held[gate] += 1
            return True

    def release(self, gate: Gate) -> None:
        """Give a taken place back."""
        with self._lock:
            self._held[gate] -= 1

    def _has_free_thread(self, gate: Gate) -> bool:
        held = sum(self._held.values())
        others = held - self._held[Gate.CRITICAL]
        if held >= self._max_total or self._held[gate] >= self._max_per_gate[gate]:
            return False
        return gate is Gate.CRITICAL or others < self._max_non_critical


def _compute_limit(threads: int, part: float) -> int:
    return max(1, int(threads * part))
