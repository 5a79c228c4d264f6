"""Builds the messages for non-repeatable requests to the sidecar that may run them."""

import dataclasses

from oleander_claims import records
from oleander_wire import messages
from oleanderdeal import budgets, callers


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptLocation:
    """The sidecar incarnation that may start an attempt, and its claim or ticket."""

    incarnation: str
    attempt: int
    shard: int
    """Shard of the claim topic, or `TICKET_SHARD`."""
    offset: int
    """Offset of the claim in its shard, or the epoch of the ticket."""


def build_run(
    request_id: str, request: callers.CallerRequest, place: AttemptLocation
) -> messages.Run:
    """Return the message that starts an attempt at its sidecar."""
    return messages.Run(
        request_id=request_id,
        trace_id=request.trace_id,
        incarnation=place.incarnation,
        customer=request.customer,
        operation=request.operation.name,
        key=request.key,
        digest=request.digest,
        attempt=place.attempt,
        shard=place.shard,
        claim_offset=place.offset,
        repeatable=False,
        priority=int(request.operation.priority),
        share_percent=request.terms.share_percent,
        budget_ms=budgets.compute_budget_ms(request.deadline),
        body=request.body,
        generation=None,
    )


def build_join(
    request_id: str, request: callers.CallerRequest, logged: records.LoggedClaim
) -> messages.Join:
    """Return the message that asks the claimed sidecar for the outcome; it seals an unseen key."""
    return messages.Join(
        request_id=request_id,
        incarnation=logged.claim.incarnation,
        customer=request.customer,
        key=request.key,
        digest=request.digest,
        attempt=logged.claim.attempt,
        shard=logged.shard,
        claim_offset=logged.offset,
        budget_ms=request.deadline.remaining_ms,
    )
