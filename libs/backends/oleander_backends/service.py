"""A plain service: answers calls, some of which may not be repeated."""

import abc
import dataclasses

import expression

from oleander_base import clock


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceAnswer:
    """What the service answered."""

    status: int
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceError:
    """A call without an answer."""

    detail: str
    not_run: bool
    """Whether the call is known not to have reached the service."""


class Service(abc.ABC):
    """The plain service beside a sidecar."""

    @abc.abstractmethod
    def call(
        self, operation: str, key: str, body: bytes, deadline: clock.Deadline
    ) -> expression.Result[ServiceAnswer, ServiceError]:
        """Call an operation once; never repeats by itself."""
