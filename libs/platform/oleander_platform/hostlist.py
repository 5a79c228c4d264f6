"""The platform's list of hosts, which may lag behind the actual state."""

import abc
import dataclasses
import enum

import expression

from oleander_base import clock


class HostState(enum.Enum):
    """The state of a host according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True, frozen=True)
class Host:
    """A host that runs a backend server and its sidecar."""

    name: str
    address: str
    """The sidecar's address, as IP:port."""
    failure_domain: str
    state: HostState
    backend: str = ""
    """The group of its backend server; empty if the list does not state it."""


@dataclasses.dataclass(slots=True, frozen=True)
class HostListError:
    """The list could not be read; callers keep using the previous one."""

    detail: str


class HostList(abc.ABC):
    """A source of the list of hosts with sidecars."""

    @abc.abstractmethod
    def read(self, deadline: clock.Deadline) -> expression.Result[tuple[Host, ...], HostListError]:
        """Return all live and leaving hosts."""
