"""Requests of callers, and the answers that are sent to them."""

import dataclasses

from oleander_base import clock
from oleander_contracts import contract
from oleander_wire import messages


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """One valid request of a customer."""

    customer: str
    operation: contract.Operation
    terms: contract.Contract
    """The customer's contract in force."""
    key: str
    """Idempotency key; empty if the caller sent none, which only repeatable operations allow."""
    digest: str
    """Hash of operation and body, by which the use of a key for another body is detected."""
    trace_id: str
    deadline: clock.Deadline
    body: bytes
    generation: messages.GenerationTerms | None
    """`None` for a call of a plain service."""
    is_streamed: bool


@dataclasses.dataclass(slots=True, frozen=True)
class LabelPart:
    """A run of adjacent tokens that one weight version produced."""

    version: int
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class CallerAnswer:
    """The answer to a caller: its outcome, HTTP status and body."""

    outcome: messages.Outcome
    status: int
    reason: str
    """Machine-readable reason; empty if the request succeeded."""
    retry_after_ms: int
    body: bytes
    label: tuple[LabelPart, ...] = ()


STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_FAILED = 502
STATUS_REFUSED = 503
STATUS_UNKNOWN = 504
_MIN_RETRY_AFTER_MS = 100
"""Lower bound on the delay that a refusal asks for, so that callers do not retry at once."""


def build_refusal(reason: str, retry_after_ms: int) -> CallerAnswer:
    """Return the answer that the request did not run, with the delay before a retry."""
    return CallerAnswer(
        messages.Outcome.NOT_RUN,
        STATUS_REFUSED,
        reason,
        max(_MIN_RETRY_AFTER_MS, retry_after_ms),
        b"",
    )


def build_unknown(reason: str, retry_after_ms: int = 0) -> CallerAnswer:
    """
    Return the answer that the request may have run.

    A retry after the delay may learn the outcome.
    """
    return CallerAnswer(messages.Outcome.UNKNOWN, STATUS_UNKNOWN, reason, retry_after_ms, b"")


def build_failure(reason: str, status: int = STATUS_FAILED, body: bytes = b"") -> CallerAnswer:
    """Return the answer that the request ran and failed."""
    return CallerAnswer(messages.Outcome.FAILED, status, reason, 0, body)


def build_conflict() -> CallerAnswer:
    """Return the answer that the key was used with another body; the request did not run."""
    return CallerAnswer(
        messages.Outcome.NOT_RUN, STATUS_CONFLICT, messages.REASON_OTHER_BODY, 0, b""
    )


def convert_answer(answer: messages.Answer) -> CallerAnswer:
    """Convert a sidecar's answer to one for the caller."""
    match answer.outcome:
        case messages.Outcome.DONE:
            return CallerAnswer(answer.outcome, answer.status or STATUS_OK, "", 0, answer.body)
        case messages.Outcome.NOT_RUN:
            return build_refusal(answer.reason, answer.retry_after_ms)
        case messages.Outcome.FAILED:
            return build_failure(answer.reason, body=answer.body)
        case _:
            return build_unknown(answer.reason)
