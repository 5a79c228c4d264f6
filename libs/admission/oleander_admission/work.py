"""Requests to a backend server, and the reasons for which they are refused."""

import dataclasses

from oleander_base import clock

QUEUE_FULL = "queue-full"
"""The queue is full, and no waiting work can be evicted for this one."""
TOO_LATE = "too-late"
"""The work would end after its deadline, or the deadline has passed already."""
LEAVING = "leaving"
"""The backend server is leaving and accepts no new work."""


@dataclasses.dataclass(slots=True, frozen=True)
class Work:
    """A request that needs a slot of the backend server."""

    work_id: str
    customer: str
    priority: int
    """A value of `contract.Priority`, lower first; other numbers count as the nearest value."""
    share_percent: int
    """The customer's weight among those of the same priority; values below 1 count as 1."""
    cost_ms: float
    """The predicted service time."""
    deadline: clock.Deadline


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """Why work is not run here, and when to try again."""

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class DroppedWork:
    """Work that was accepted and then dropped without being run."""

    work: Work
    refusal: Refusal
