"""Runs a request whose key is a ticket at the sidecar that the ticket names."""

import expression

from oleander_base import clock
from oleander_claims import sharded_claims
from oleander_contracts import contract
from oleander_routing import router
from oleander_wire import messages
from oleanderdeal import callers, calls, once, once_messages, peer_link, peers, tickets

_SLICE_SECONDS = 0.1
_TICKET_ATTEMPT = 0
_EVIDENCE = "sealed by the sidecar of its ticket"


class TicketDispatcher:
    """
    Tries a ticket's sidecar first; what that sidecar sealed goes on by a claim in the log.

    Any entry may send the request there, as often as it likes: the ledger starts it once, and
    later ones join or learn that it is sealed. An entry that has read a claim for the key follows
    that, since a claim is only made for a ticket's key that was sealed.
    """

    def __init__(
        self,
        office: tickets.TicketOffice,
        claims: sharded_claims.ShardedClaims,
        routes: router.Router,
        links: peers.PeerLinks,
        claimed: once.OnceDispatcher,
    ) -> None:
        self._office = office
        self._claims = claims
        self._routes = routes
        self._links = links
        self._claimed = claimed

    def run(self, request: callers.CallerRequest) -> callers.CallerAnswer:
        """Return what became of the request's key; blocks until then or the deadline."""
        ticket = self._office.read(request.customer, request.operation.name, request.key)
        if isinstance(ticket, tickets.TicketFault):
            return callers.tell_unknown(ticket.value)
        if ticket is None or self._claims.find(request.customer, request.key) is not None:
            return self._claimed.run(request)
        tried = self._try(request, ticket)
        if tried.is_ok():
            return tried.ok
        if request.deadline.is_past:
            # Paused meanwhile, perhaps, while another entry went on by a claim.
            return self._claimed.refuse(request, tried.error.answer)
        return self._claimed.run(request, tried.error)

    def refuse(
        self, request: callers.CallerRequest, refusal: callers.CallerAnswer
    ) -> callers.CallerAnswer:
        """Return a refusal, or what is known of an earlier try of the same key."""
        return self._claimed.refuse(request, refusal)

    def issue(
        self, customer: str, operation: contract.Operation
    ) -> expression.Result[str, callers.CallerAnswer]:
        """Return a key that one sidecar may start, or why there is none now."""
        deadline = clock.start_deadline_ms(operation.timeout_ms)
        chosen = once.choose_link(self._routes, self._links, operation, frozenset(), deadline)
        if chosen.is_error():
            return expression.Error(chosen.error)
        link = chosen.ok
        ticket = tickets.Ticket(link.ticket_epoch, link.incarnation, link.host.address, link.name)
        return expression.Ok(self._office.issue(customer, operation.name, ticket))

    def _try(
        self, request: callers.CallerRequest, ticket: tickets.Ticket
    ) -> expression.Result[callers.CallerAnswer, once.NotRun]:
        while not request.deadline.is_past:
            link = self._links.find_or_dial(ticket.sidecar, ticket.address)
            if link.is_refused and not link.is_open:
                return expression.Ok(callers.tell_unknown("sidecar-gone"))
            answer = self._send(link, request, ticket)
            if answer is not None:
                return _judge_answer(answer)
            link.await_open(request.deadline.earlier(_SLICE_SECONDS))
        return expression.Ok(callers.tell_unknown("too-late"))

    def _send(
        self, link: peer_link.PeerLink, request: callers.CallerRequest, ticket: tickets.Ticket
    ) -> messages.Answer | None:
        """Send the request once; return nothing when the link broke or time is up."""
        call = link.open_call(calls.create_request_id())
        try:
            run = _write_run(call.request_id, request, ticket)
            if link.send(run).is_error():
                return None
            return calls.await_answer(call, request.deadline)
        finally:
            link.close_call(call)


def _judge_answer(
    answer: messages.Answer,
) -> expression.Result[callers.CallerAnswer, once.NotRun]:
    passed = callers.pass_on(answer)
    if answer.outcome is messages.Outcome.NOT_RUN:
        return expression.Error(once.NotRun(_TICKET_ATTEMPT, _EVIDENCE, passed))
    if answer.reason == messages.REASON_OTHER_BODY:
        return expression.Ok(callers.tell_conflict())
    return expression.Ok(passed)


def _write_run(
    request_id: str, request: callers.CallerRequest, ticket: tickets.Ticket
) -> messages.Run:
    return once_messages.write_run(
        request_id,
        request,
        once_messages.Place(
            ticket.incarnation, _TICKET_ATTEMPT, messages.TICKET_SHARD, ticket.epoch
        ),
    )
