"""What the holder of a duty may tell the platform."""

import abc
import collections.abc
import dataclasses

from oleander_base import clock


@dataclasses.dataclass(slots=True, frozen=True)
class UsageReport:
    """How many requests of each organisation began in one window of true time."""

    window: int
    """Its number: it begins so many window lengths after the start of 1970."""
    counts: collections.abc.Mapping[str, int]


@dataclasses.dataclass(slots=True, frozen=True)
class DutyHolder:
    """In whose name a duty is done."""

    name: str
    fencing_token: int
    """Grows when the holder changes."""


@dataclasses.dataclass(slots=True, frozen=True)
class DutyAccepted:
    """The platform took the call."""


@dataclasses.dataclass(slots=True, frozen=True)
class DutyRejected:
    """The platform will not take this call, now or later."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class DutyUnknown:
    """The platform may have taken the call; the same call may be repeated."""

    detail: str


DutyOutcome = DutyAccepted | DutyRejected | DutyUnknown


class DutyPlatform(abc.ABC):
    """Reaches what the duties are done for."""

    @abc.abstractmethod
    def report_usage(
        self, report: UsageReport, holder: DutyHolder, deadline: clock.Deadline
    ) -> DutyOutcome:
        """Report one window; an exact repeat changes nothing."""
