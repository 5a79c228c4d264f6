"""The possible outcomes of a caller's request."""

import dataclasses

from oleander_direct import servers

QUARANTINED = "quarantined"
"""The reason given when a request is refused because it is in quarantine."""


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """A server's complete answer, whatever its status."""

    answer: servers.CallAnswer
    server_id: str
    error_count: int = 0
    """The number of servers that ran the request and answered `servers.FAILED_STATUS`."""


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The request was not run and will not be run later."""

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Unresolved:
    """No answer came before the deadline; the request may have run."""

    reason: str
    has_ended_server: bool = False
    """Whether a server ended under the request."""


CallOutcome = Answered | Refused | Unresolved
