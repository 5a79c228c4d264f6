"""What is asked of a backend server, and what it is told when it can't be run."""

import dataclasses

from oleander_base import clock

QUEUE_FULL = "queue-full"
"""As much work waits as may wait, and none of it has to make room for this one."""
TOO_LATE = "too-late"
"""The answer would come, or already came to be, after the deadline."""
LEAVING = "leaving"
"""The backend server takes no new work any more."""


@dataclasses.dataclass(slots=True, frozen=True)
class Work:
    """One request that wants a slot of the backend server."""

    work_id: str
    customer: str
    priority: int
    """A value of `contract.Priority`; lower goes first, and others count as the nearest one."""
    share_percent: int
    """The customer's weight against others of the same priority; below one counts as one."""
    cost_ms: float
    """The predicted service time."""
    deadline: clock.Deadline


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """Why work will not be run here, and when to ask again."""

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class DroppedWork:
    """Work that was accepted, did not run, and never will."""

    work: Work
    refusal: Refusal
