"""Runs requests whose idempotency key is a ticket at the sidecar that the ticket names."""

import expression

from oleander_base import clock
from oleander_claims import sharded_claims
from oleander_contracts import contract
from oleander_routing import router
from oleander_wire import messages
from oleanderdeal import callers, calls, claim_dispatch, once_messages, peer_link, peers, tickets

_REDIAL_POLL_SECONDS = 0.1
"""Longest wait for a lost link to reopen before the sidecar is dialled again."""
_TICKET_ATTEMPT = 0
"""Number of the attempt by ticket; attempts by claim count from 1."""
_SEALED_EVIDENCE = "sealed by the sidecar of its ticket"


class TicketDispatcher:
    """
    Tries the ticket's sidecar first; a key that this sidecar sealed continues with a claim.

    Any entry may send the request to that sidecar any number of times: the ledger starts it once,
    and later messages wait for its answer or learn that it is sealed. An entry that has read a
    claim for the key follows the claim, because a ticket's key is claimed only after its sidecar
    has sealed it.
    """

    def __init__(
        self,
        signer: tickets.TicketSigner,
        claims: sharded_claims.ShardedClaims,
        router_: router.Router,
        links: peers.PeerLinks,
        claim_dispatcher: claim_dispatch.ClaimDispatcher,
    ) -> None:
        self._signer = signer
        self._claims = claims
        self._router = router_
        self._links = links
        self._claim_dispatcher = claim_dispatcher

    def run(self, request: callers.CallerRequest) -> callers.CallerAnswer:
        """Run a request and return its answer; blocks until the outcome or the deadline."""
        ticket = self._signer.read(request.customer, request.operation.name, request.key)
        if isinstance(ticket, tickets.TicketFault):
            return callers.build_unknown(ticket.value)
        if ticket is None or self._claims.find(request.customer, request.key) is not None:
            return self._claim_dispatcher.run(request)
        result = self._run_at_sidecar(request, ticket)
        if result.is_ok():
            return result.ok
        if request.deadline.is_past:
            # This process may have been suspended while another entry claimed the key.
            return self._claim_dispatcher.refuse(request, result.error.answer)
        return self._claim_dispatcher.run(request, result.error)

    def refuse(
        self, request: callers.CallerRequest, refusal: callers.CallerAnswer
    ) -> callers.CallerAnswer:
        """Return the refusal, unless the key may have run in an earlier attempt."""
        return self._claim_dispatcher.refuse(request, refusal)

    def issue(
        self, customer: str, operation: contract.Operation
    ) -> expression.Result[str, callers.CallerAnswer]:
        """Return a new ticket, or the refusal if no sidecar is available."""
        deadline = clock.start_deadline_ms(operation.timeout_ms)
        chosen = claim_dispatch.choose_link(
            self._router, self._links, operation, frozenset(), deadline
        )
        if chosen.is_error():
            return expression.Error(chosen.error)
        link = chosen.ok
        ticket = tickets.Ticket(link.ticket_epoch, link.incarnation, link.host.address, link.name)
        return expression.Ok(self._signer.issue(customer, operation.name, ticket))

    def _run_at_sidecar(
        self, request: callers.CallerRequest, ticket: tickets.Ticket
    ) -> expression.Result[callers.CallerAnswer, claim_dispatch.NotRun]:
        while not request.deadline.is_past:
            link = self._links.find_or_dial(ticket.sidecar, ticket.address)
            if link.is_connection_refused and not link.is_open:
                return expression.Ok(callers.build_unknown("sidecar-gone"))
            answer = self._send(link, request, ticket)
            if answer is not None:
                return _classify_answer(answer)
            link.wait_open(request.deadline.cap(_REDIAL_POLL_SECONDS))
        return expression.Ok(callers.build_unknown("too-late"))

    def _send(
        self, link: peer_link.PeerLink, request: callers.CallerRequest, ticket: tickets.Ticket
    ) -> messages.Answer | None:
        """Send the request once; return `None` if the link is lost or the deadline passes."""
        call = link.open_call(calls.create_request_id())
        try:
            run = _build_run(call.request_id, request, ticket)
            if link.send(run).is_error():
                return None
            return calls.await_answer(call, request.deadline)
        finally:
            link.close_call(call)


def _classify_answer(
    answer: messages.Answer,
) -> expression.Result[callers.CallerAnswer, claim_dispatch.NotRun]:
    converted = callers.convert_answer(answer)
    if answer.outcome is messages.Outcome.NOT_RUN:
        return expression.Error(
            claim_dispatch.NotRun(_TICKET_ATTEMPT, _SEALED_EVIDENCE, converted)
        )
    if answer.reason == messages.REASON_OTHER_BODY:
        return expression.Ok(callers.build_conflict())
    return expression.Ok(converted)


def _build_run(
    request_id: str, request: callers.CallerRequest, ticket: tickets.Ticket
) -> messages.Run:
    return once_messages.build_run(
        request_id,
        request,
        once_messages.AttemptLocation(
            ticket.incarnation, _TICKET_ATTEMPT, messages.TICKET_SHARD, ticket.epoch
        ),
    )
