"""Interface to a plain service, some of whose operations must not be repeated."""

import abc
import dataclasses

import expression

from oleander_base import clock


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceAnswer:
    """The status and body that the service answered with."""

    status: int
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceError:
    """Why a call got no answer."""

    detail: str
    not_run: bool
    """Whether the call certainly did not reach the service."""


class Service(abc.ABC):
    """The plain service that a sidecar serves."""

    @abc.abstractmethod
    def call(
        self, operation: str, key: str, body: bytes, deadline: clock.Deadline
    ) -> expression.Result[ServiceAnswer, ServiceError]:
        """Call an operation once; the call is never retried here."""
