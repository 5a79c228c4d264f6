"""The interface for the calls that the holder of a duty makes to the platform."""

import abc
import collections.abc
import dataclasses

from oleander_base import clock


@dataclasses.dataclass(slots=True, frozen=True)
class UsageReport:
    """How many requests of each organisation started in one window of wall-clock time."""

    window: int
    """The number of whole windows between the Unix epoch and the start of this one."""
    counts: collections.abc.Mapping[str, int]
    """The number of requests by organisation."""


@dataclasses.dataclass(slots=True, frozen=True)
class DutyHolder:
    """The identification of a duty's holder in calls to the platform."""

    name: str
    fencing: int
    """The fencing token of the holder's lease, which is higher for each later holder."""


@dataclasses.dataclass(slots=True, frozen=True)
class DutyDone:
    """The platform accepted the call."""


@dataclasses.dataclass(slots=True, frozen=True)
class DutyRejected:
    """The platform rejected the call and would reject it again."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class DutyUnknown:
    """The platform may have accepted the call; the same call may be repeated."""

    detail: str


DutyOutcome = DutyDone | DutyRejected | DutyUnknown


class DutyPlatform(abc.ABC):
    """The interface for calling the platform."""

    @abc.abstractmethod
    def report_usage(
        self, report: UsageReport, holder: DutyHolder, deadline: clock.Deadline
    ) -> DutyOutcome:
        """Report the usage of one window; an exact repetition has no effect."""
