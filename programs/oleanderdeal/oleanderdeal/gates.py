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
_ALL_PART = 0.9
"""The part of the pool that all classes may hold together; the rest refuses."""
_OTHERS_PART = 0.6
"""The part that all classes but the critical one may hold together."""
_PARTS = {
    Gate.CRITICAL: _ALL_PART,
    Gate.INTERACTIVE: _OTHERS_PART,
    Gate.BACKGROUND: 0.3,
    Gate.PULL: 0.3,
}
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
        self._most = {gate: _compute_part(threads, part) for gate, part in _PARTS.items()}
        self._most_others = _compute_part(threads, _OTHERS_PART)
        self._most_all = _compute_part(threads, _ALL_PART)
        self._held = dict.fromkeys(Gate, 0)
        self._lock = threading.Lock()

    def take(self, gate: Gate) -> bool:
        """Take a place, to be given back; return whether there was one."""
        with self._lock:
            if not self._has_place(gate):
                return False
            self._held[gate] += 1
            return True

    def give_back(self, gate: Gate) -> None:
        """Give a taken place back."""
        with self._lock:
            self._held[gate] -= 1

    def _has_place(self, gate: Gate) -> bool:
        held = sum(self._held.values())
        others = held - self._held[Gate.CRITICAL]
        if held >= self._most_all or self._held[gate] >= self._most[gate]:
            return False
        return gate is Gate.CRITICAL or others < self._most_others


def _compute_part(threads: int, part: float) -> int:
    return max(1, int(threads * part))
