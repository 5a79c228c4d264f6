"""Requests from callers: what was asked, and the answer that is sent back."""

import dataclasses

from oleander_base import clock
from oleander_contracts import contract
from oleander_wire import messages


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """One checked request of a customer."""

    customer: str
    operation: contract.Operation
    terms: contract.Contract
    key: str
    digest: str
    trace_id: str
    deadline: clock.Deadline
    body: bytes
    generation: messages.GenerationTerms | None
    is_streamed: bool


@dataclasses.dataclass(slots=True, frozen=True)
class LabelPart:
    """Tokens that one weight version produced, next to each other."""

    version: int
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class CallerAnswer:
    """What a caller is told."""

    outcome: messages.Outcome
    status: int
    reason: str
    retry_after_ms: int
    body: bytes
    label: tuple[LabelPart, ...] = ()


STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_FAILED = 502
STATUS_REFUSED = 503
STATUS_UNKNOWN = 504
_MIN_RETRY_AFTER_MS = 100


def build_refusal(reason: str, retry_after_ms: int) -> CallerAnswer:
    """Say that the request did not run, and when to come back."""
    return CallerAnswer(
        messages.Outcome.NOT_RUN,
        STATUS_REFUSED,
        reason,
        max(_MIN_RETRY_AFTER_MS, retry_after_ms),
        b"",
    )


def build_unknown(reason: str, retry_after_ms: int = 0) -> CallerAnswer:
    """Say that the request may have run, and when asking again may tell."""
    return CallerAnswer(messages.Outcome.UNKNOWN, STATUS_UNKNOWN, reason, retry_after_ms, b"")


def build_failure(reason: str, status: int = STATUS_FAILED, body: bytes = b"") -> CallerAnswer:
    """Say that the request ran and failed."""
    return CallerAnswer(messages.Outcome.FAILED, status, reason, 0, body)


def build_conflict() -> CallerAnswer:
    """Say that the key was used before with another body; this request did not run."""
    return CallerAnswer(
        messages.Outcome.NOT_RUN, STATUS_CONFLICT, messages.REASON_OTHER_BODY, 0, b""
    )


def convert_answer(answer: messages.Answer) -> CallerAnswer:
    """Return what a sidecar answered, in the caller's terms."""
    match answer.outcome:
        case messages.Outcome.DONE:
            return CallerAnswer(answer.outcome, answer.status or STATUS_OK, "", 0, answer.body)
        case messages.Outcome.NOT_RUN:
            return build_refusal(answer.reason, answer.retry_after_ms)
        case messages.Outcome.FAILED:
            return build_failure(answer.reason, body=answer.body)
        case _:
            return build_unknown(answer.reason)
