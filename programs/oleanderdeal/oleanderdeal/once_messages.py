"""The messages about a request that may not be repeated, to the sidecar that may run it."""

import dataclasses

from oleander_claims import records
from oleander_wire import messages
from oleanderdeal import budgets, callers


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptLocation:
    """Which sidecar run may start an attempt, and where that stands."""

    incarnation: str
    attempt: int
    shard: int
    offset: int


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
    """Return the message that asks the claimed sidecar what became of the request."""
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
