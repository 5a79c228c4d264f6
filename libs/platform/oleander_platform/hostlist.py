"""The platform's lagging list of hosts."""

import abc
import dataclasses
import enum

import expression

from oleander_base import clock


class HostState(enum.Enum):
    """What the platform believes of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True, frozen=True)
class Host:
    """One backend server host and the sidecar on it."""

    name: str
    address: str
    """Where the sidecar listens, as IP:port."""
    failure_domain: str
    state: HostState
    backend: str = ""
    """The group of its backend server, where the list tells it."""


@dataclasses.dataclass(slots=True, frozen=True)
class HostListError:
    """The list could not be read; the last one goes on being used."""

    detail: str


class HostList(abc.ABC):
    """Lists the hosts that have a sidecar."""

    @abc.abstractmethod
    def read(self, deadline: clock.Deadline) -> expression.Result[tuple[Host, ...], HostListError]:
        """Return every host that the platform knows, live or leaving."""
