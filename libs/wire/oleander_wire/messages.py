"""
The messages between an entry and a sidecar.

Times on the wire are budgets in milliseconds: two hosts' clocks are never compared.
"""

import dataclasses
import enum
import typing

PROTOCOL = 1
REASON_UNSEEN = "key-unseen"
"""The reason of an answer to `Find` for a key that never came."""
REASON_OTHER_BODY = "key-used-for-another-body"
"""The reason of an answer for a key that came before with another body."""

TICKET_SHARD = -1
"""The shard of a key that is a ticket and has no claim; the offset is then its epoch."""


class Outcome(enum.Enum):
    """What became of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    """It did not run and never will; there is evidence."""
    FAILED = "failed"
    """It ran, and the backend server answered with a failure."""
    UNKNOWN = "unknown"
    """It may have run."""


@dataclasses.dataclass(slots=True, frozen=True)
class Hello:
    """The first message each way: who speaks."""

    protocol: int
    name: str
    incarnation: str
    failure_domain: str
    token: str


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """How a sidecar is; also sent along with answers, so a busy link needs few of them."""

    backend: str
    queued: int
    running: int
    slots: int
    wait_ms: int
    """How long a new request would wait."""
    version: int | None
    """The weight version in use; nothing for a plain service or an engine out of rotation."""
    in_rotation: bool
    leaving: bool
    configuration_offset: int
    ticket_epoch: int
    """What a ticket that is issued now for this sidecar says of its age."""


@dataclasses.dataclass(slots=True, frozen=True)
class RecordsOffer:
    """What the sender has of the configuration, when it is asked or has something new."""

    applied_offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class Records:
    """Configuration records that the receiver was missing."""

    offsets: list[int]
    times_ms: list[int]
    values: list[dict[str, typing.Any]]
    snapshot: dict[str, typing.Any] | None
    """Everything in force, where the records that led to it are no longer kept."""


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """Run a request here, if this incarnation is the one meant."""

    request_id: str
    trace_id: str
    incarnation: str
    customer: str
    operation: str
    key: str
    digest: str
    attempt: int
    shard: int
    claim_offset: int
    """Where the record that chose this sidecar stands; -1 for a repeatable request."""
    repeatable: bool
    priority: int
    share_percent: int
    budget_ms: int
    body: bytes
    generation: "GenerationTerms | None"


@dataclasses.dataclass(slots=True, frozen=True)
class GenerationTerms:
    """What a model engine needs besides the body, which is the prompt."""

    model: str
    prefix: str
    max_tokens: int
    resumed_text: str
    resumed_tokens: int
    oldest_version: int
    """Weights older than this are of no use to the asker."""


@dataclasses.dataclass(slots=True, frozen=True)
class Join:
    """Ask the sidecar that a key was given to what became of it; seals an unseen key."""

    request_id: str
    incarnation: str
    customer: str
    key: str
    digest: str
    attempt: int
    shard: int
    claim_offset: int
    budget_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Find:
    """Ask a sidecar what it knows of a key, and change nothing there; answered at once."""

    request_id: str
    customer: str
    key: str
    digest: str


@dataclasses.dataclass(slots=True, frozen=True)
class Cancel:
    """Nobody wants the answer any more."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Tokens:
    """Some tokens of a running generation and the weights that made them."""

    request_id: str
    text: str
    tokens: int
    version: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """The end of a request."""

    request_id: str
    outcome: Outcome
    status: int
    """The status that the backend server gave; 0 where it gave none."""
    reason: str
    retry_after_ms: int
    body: bytes
    service_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Goodbye:
    """The last message of a sidecar: what it left unanswered on this link it did not run."""


Message = (
    Hello
    | Heartbeat
    | RecordsOffer
    | Records
    | Run
    | Join
    | Find
    | Cancel
    | Tokens
    | Answer
    | Goodbye
)
