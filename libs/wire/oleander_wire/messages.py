"""
The messages between entries and sidecars.

Messages carry remaining time in milliseconds rather than points of time, as the clocks of two
hosts are never compared.

The key of a non-repeatable request is assigned to one sidecar incarnation (one run of a sidecar's
process) by a claim, which is a record in the log, or is a ticket: a key that names the incarnation
itself and therefore needs no claim. To seal a key is to record that no attempt of its request so
far will run at that incarnation; a later attempt may.
"""

import dataclasses
import enum
import typing

PROTOCOL = 1
REASON_UNSEEN = "key-unseen"
"""The reason of an answer to `Find` for a key that the sidecar has not received."""
REASON_OTHER_BODY = "key-used-for-another-body"
"""The reason of an answer for a key that was used before with a different body."""

REASON_STEP_MOVED = "step-moved"
"""The reason of an answer to a sample whose step another entry collects by now."""

TICKET_SHARD = -1
"""The `shard` of a request whose key is a ticket; its `claim_offset` is the ticket's epoch."""


class Outcome(enum.Enum):
    """The outcome of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    """It is proven that the request did not run and never will."""
    FAILED = "failed"
    """The request ran, and the backend server returned an error."""
    UNKNOWN = "unknown"
    """The request may have run."""


@dataclasses.dataclass(slots=True, frozen=True)
class Hello:
    """The first message in each direction: identifies the sender."""

    protocol: int
    name: str
    incarnation: str
    failure_domain: str
    token: str


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """
    The state of a sidecar.

    It is also sent along with answers, so that a busy link needs few separate heartbeats.
    """

    backend: str
    queued: int
    running: int
    slots: int
    wait_ms: int
    """The estimated queueing time of a new request."""
    version: int | None
    """The weight version in use; None for a plain service or an engine out of rotation."""
    in_rotation: bool
    """False for an engine that has no weight version in use and must get no new requests."""
    leaving: bool
    """Whether the sidecar is shutting down and refuses new requests."""
    configuration_offset: int
    ticket_epoch: int
    """The epoch to put into new tickets for this sidecar; it shows a ticket's age later."""
    shares_samples: bool | None = None
    """Whether the sidecar answers `TakeStep`; None if its release does not know the message."""


@dataclasses.dataclass(slots=True, frozen=True)
class RecordsOffer:
    """The newest configuration record that the sender applied; sent on request or on a change."""

    applied_offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class Records:
    """Configuration records that the receiver lacks."""

    offsets: list[int]
    times_ms: list[int]
    values: list[dict[str, typing.Any]]
    snapshot: dict[str, typing.Any] | None
    """The configuration in force, if the records that the receiver lacks are no longer kept."""


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """Run a request, provided that the sidecar still is the incarnation named here."""

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
    """The offset of the claim that assigned the key to this sidecar; -1 if repeatable."""
    repeatable: bool
    priority: int
    share_percent: int
    budget_ms: int
    body: bytes
    generation: "GenerationTerms | None"


@dataclasses.dataclass(slots=True, frozen=True)
class GenerationTerms:
    """The parameters of a generation; the body of the request is the prompt."""

    model: str
    prefix: str
    max_tokens: int
    resumed_text: str
    resumed_tokens: int
    oldest_version: int
    """The oldest weight version whose output the sender accepts."""
    sample: "SampleId | None" = None
    """The sample to generate; None for a caller's request."""


@dataclasses.dataclass(slots=True, frozen=True)
class SampleId:
    """Identifies a sample of a trainer's step."""

    trainer: str
    incarnation: int
    step: int
    number: int
    joins: bool
    """Whether the sender wants the tokens that the sidecar already has of this sample."""


@dataclasses.dataclass(slots=True, frozen=True)
class TakeStep:
    """
    Ask a sidecar which samples of a step it generates or keeps; sent by the step's new collector.

    The answer's body has two sets of numbers, such as `0-5,9/9`: those of all samples and those
    of the finished ones. From then on the sidecar refuses to start samples of the step for other
    entries.
    """

    request_id: str
    customer: str
    trainer: str
    incarnation: int
    step: int


@dataclasses.dataclass(slots=True, frozen=True)
class Join:
    """
    Ask the sidecar to which a key was assigned for the answer to the key's request.

    A key that the sidecar has not received is sealed, so that this attempt never runs there.
    """

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
    """Ask a sidecar for the state of a key without changing it; answered at once."""

    request_id: str
    customer: str
    key: str
    digest: str


@dataclasses.dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel a request, as its answer is no longer needed."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Tokens:
    """New tokens of a running generation and the weight version that produced them."""

    request_id: str
    text: str
    tokens: int
    version: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """The final message about a request."""

    request_id: str
    outcome: Outcome
    status: int
    """The status returned by the backend server; 0 if there was none."""
    reason: str
    retry_after_ms: int
    body: bytes
    service_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Goodbye:
    """The last message of a sidecar: requests unanswered on this link did not run."""


Message = (
    Hello
    | Heartbeat
    | RecordsOffer
    | Records
    | Run
    | Join
    | Find
    | TakeStep
    | Cancel
    | Tokens
    | Answer
    | Goodbye
)
