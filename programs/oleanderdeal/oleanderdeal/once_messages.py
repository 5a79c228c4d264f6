"""The messages about a claimed request, from the entry to the sidecar that the claim names."""

from oleander_claims import records
from oleander_wire import messages
from oleanderdeal import callers


def write_run(
    request_id: str, request: callers.CallerRequest, logged: records.LoggedClaim
) -> messages.Run:
    """Return the message that hands a claimed request to its sidecar."""
    return messages.Run(
        request_id=request_id,
        trace_id=request.trace_id,
        incarnation=logged.claim.incarnation,
        customer=request.customer,
        operation=request.operation.name,
        key=request.key,
        digest=request.digest,
        attempt=logged.claim.attempt,
        shard=logged.shard,
        claim_offset=logged.offset,
        repeatable=False,
        priority=int(request.operation.priority),
        share_percent=request.terms.share_percent,
        budget_ms=request.deadline.remaining_ms,
        body=request.body,
        generation=None,
    )


def write_join(
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
