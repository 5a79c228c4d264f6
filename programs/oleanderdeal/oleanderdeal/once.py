"""
Runs a request that may not be repeated: at most once, whatever fails.

The claim that stands first in the log says which sidecar incarnation may run the key. Only the
entry whose own claim that is sends the request there, once. Everyone else, and this entry after
a broken link, only asks that sidecar what became of the key; asking seals a key that never came.
"""

import dataclasses
import time

import expression

from oleander_base import clock, identifiers, invariants, log
from oleander_claims import records, shard, sharded_claims
from oleander_contracts import contract
from oleander_routing import router
from oleander_wire import messages
from oleanderdeal import callers, calls, key_inquiry, once_messages, peer_link, peers

_MOST_ATTEMPTS = 4
_SLICE_SECONDS = 0.1
_FRESH_SECONDS = 0.3
_POLL_SECONDS = 0.02
_SEALED = "sealed by its sidecar"
_REFUSED = "refused by its sidecar"
_NOT_SENT = "never sent by its claimant"


@dataclasses.dataclass(slots=True, frozen=True)
class _Attempt:
    """A claim in force, and whether this entry is the one that made it just now."""

    logged: records.LoggedClaim
    is_own: bool


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """The attempt never ran and never will; the next one may be claimed."""

    attempt: int
    evidence: str
    answer: callers.CallerAnswer


_Tried = expression.Result[callers.CallerAnswer, NotRun]


class OnceDispatcher:
    """Claims a key, sends its request to the claimed sidecar, or follows an earlier claim."""

    def __init__(
        self, claims: sharded_claims.ShardedClaims, routes: router.Router, links: peers.PeerLinks
    ) -> None:
        self._claims = claims
        self._routes = routes
        self._links = links
        self._inquiry = key_inquiry.KeyInquiry(claims, links)

    def run(
        self, request: callers.CallerRequest, settled: NotRun | None = None
    ) -> callers.CallerAnswer:
        """
        Return what became of the request's key; blocks until then or the deadline.

        Evidence that an earlier attempt never ran, where there is any, is needed for the next.
        """
        excluded: frozenset[str] = frozenset()
        for _ in range(_MOST_ATTEMPTS):
            attempt = self._find_or_claim(request, settled, excluded)
            if attempt.is_error():
                return attempt.error
            claim = attempt.ok.logged.claim
            if claim.digest != request.digest:
                return callers.tell_conflict()
            tried = self._try(request, attempt.ok)
            if tried.is_ok():
                return tried.ok
            settled = tried.error
            if settled.evidence != _SEALED:
                excluded |= {claim.sidecar}
            if request.deadline.is_past:
                # Paused meanwhile, perhaps, while another entry made the next attempt.
                return self._inquiry.check(request, settled.answer)
        return settled.answer if settled else callers.refuse("too-late", 0)

    def refuse(
        self,
        request: callers.CallerRequest,
        refusal: callers.CallerAnswer,
        settled_attempt: int = 0,
    ) -> callers.CallerAnswer:
        """
        Return a refusal, or what is known of an earlier try of the same key.

        This try did not run, but one that the caller sent before may have, through another entry.
        Attempts up to the settled one are known not to have run.
        """
        known = self._claims.find(request.customer, request.key)
        if known is not None and known.claim.attempt > settled_attempt:
            return callers.tell_unknown(refusal.reason, refusal.retry_after_ms)
        return self._inquiry.check(request, refusal)

    def _find_or_claim(
        self,
        request: callers.CallerRequest,
        settled: NotRun | None,
        excluded: frozenset[str],
    ) -> expression.Result[_Attempt, callers.CallerAnswer]:
        """
        Return the claim to follow, or make the next one.

        Evidence counts for one attempt only. If somebody has claimed a later one meanwhile, that
        one may be running, so it is followed and not claimed past.
        """
        known = self._claims.find(request.customer, request.key)
        settled_attempt = settled.attempt if settled is not None else 0
        if known is not None and known.claim.attempt > settled_attempt:
            return expression.Ok(_Attempt(known, is_own=False))
        evidence = settled.evidence if settled is not None else ""
        return self._claim(request, settled_attempt + 1, evidence, excluded)

    def _claim(
        self,
        request: callers.CallerRequest,
        number: int,
        evidence: str,
        excluded: frozenset[str],
    ) -> expression.Result[_Attempt, callers.CallerAnswer]:
        link = choose_link(
            self._routes, self._links, request.operation, excluded, request.deadline
        )
        if link.is_error():
            return expression.Error(self.refuse(request, link.error, number - 1))
        claim = records.Claim(
            customer=request.customer,
            key=request.key,
            digest=request.digest,
            attempt=number,
            sidecar=link.ok.name,
            address=link.ok.host.address,
            incarnation=link.ok.incarnation,
            nonce=identifiers.create_nonce(),
            evidence=evidence,
        )
        decided = self._claims.propose(claim, request.deadline)
        if decided.is_error():
            return expression.Error(self._refuse_claim(request, decided.error, number - 1))
        is_own = decided.ok.claim.nonce == claim.nonce
        return expression.Ok(_Attempt(decided.ok, is_own))

    def _refuse_claim(
        self, request: callers.CallerRequest, error: shard.ClaimError, settled_attempt: int
    ) -> callers.CallerAnswer:
        """
        Answer a caller whose claim was not decided.

        Nothing was sent for it, now or later; an earlier try may have been, by another entry.
        """
        refusal = callers.refuse(error.reason, error.retry_after_ms)
        return self.refuse(request, refusal, settled_attempt)

    def _try(self, request: callers.CallerRequest, attempt: _Attempt) -> _Tried:
        """Send the request if the claim is this entry's own, and follow it to its end."""
        claim = attempt.logged.claim
        if not attempt.is_own:
            self._let_claimant_send(request, attempt.logged)
            return self._ask(request, attempt.logged)
        link = self._links.find_or_dial(claim.sidecar, claim.address)
        is_open = link.await_open(request.deadline.earlier(_SLICE_SECONDS))
        if request.deadline.is_past:
            return _tell_not_run(claim, _NOT_SENT, "too-late")
        if not is_open:
            return _tell_not_run(claim, _NOT_SENT, "link-lost")
        started_at = clock.read_now()
        self._routes.note_started(claim.sidecar)
        tried = self._send(request, attempt.logged, link)
        service_ms = (clock.read_now() - started_at) * 1000
        self._routes.note_finished(claim.sidecar, _judge_route(tried), service_ms)
        return tried

    def _send(
        self,
        request: callers.CallerRequest,
        logged: records.LoggedClaim,
        link: peer_link.PeerLink,
    ) -> _Tried:
        """Send the request; this is the only place that does, and it runs once for a claim."""
        invariants.require(
            not request.operation.repeatable, "once-only", "a repeatable request was claimed"
        )
        call = link.open_call(calls.create_request_id(), is_only_one=True)
        try:
            if link.send(
                once_messages.write_run(call.request_id, request, _find_place(logged))
            ).is_error():
                return _tell_not_run(logged.claim, _NOT_SENT, "link-lost")
            answer = calls.await_answer(call, request.deadline)
        finally:
            link.close_call(call)
        if answer is None and not request.deadline.is_past:
            return self._ask(request, logged)
        return _judge_answer(answer, logged.claim, _REFUSED)

    def _let_claimant_send(
        self, request: callers.CallerRequest, logged: records.LoggedClaim
    ) -> None:
        """
        Leave a fresh claim's request a moment to arrive before asking seals the key.

        Without it two entries that are asked at the same time seal each other's attempts, one
        after the other, until both refuse. A claimant that takes longer is sealed, which costs
        another attempt and breaks no promise.
        """
        claim = logged.claim
        fresh = clock.Deadline(logged.read_at + _FRESH_SECONDS)
        while not fresh.is_past and not request.deadline.is_past:
            link = self._links.find_or_dial(claim.sidecar, claim.address)
            call = key_inquiry.ask(link, request)
            answer = calls.await_answer(call, fresh)
            link.close_call(call)
            if answer is None or answer.reason != messages.REASON_UNSEEN:
                return
            time.sleep(_POLL_SECONDS)

    def _ask(self, request: callers.CallerRequest, logged: records.LoggedClaim) -> _Tried:
        """
        Ask the claimed sidecar what became of the key, until it says or time is up.

        Where nobody listens any more, that incarnation has ended and can't say; the caller is
        told so at once.
        """
        claim = logged.claim
        while not request.deadline.is_past:
            link = self._links.find_or_dial(claim.sidecar, claim.address)
            if link.is_refused and not link.is_open:
                return expression.Ok(callers.tell_unknown("sidecar-gone"))
            call = link.open_call(calls.create_request_id())
            try:
                sent = link.send(once_messages.write_join(call.request_id, request, logged))
                answer = calls.await_answer(call, request.deadline) if sent.is_ok() else None
            finally:
                link.close_call(call)
            if answer is not None:
                return _judge_answer(answer, logged.claim, _SEALED)
            link.await_open(request.deadline.earlier(_SLICE_SECONDS))
        log.warn_bounded("claim-unreachable", f"can't ask {claim.sidecar} about its claim")
        return expression.Ok(callers.tell_unknown("sidecar-unreachable"))


def choose_link(
    routes: router.Router,
    links: peers.PeerLinks,
    operation: contract.Operation,
    excluded: frozenset[str],
    deadline: clock.Deadline,
) -> expression.Result[peer_link.PeerLink, callers.CallerAnswer]:
    """Return the link to a sidecar for an operation that may not be repeated."""
    chosen = routes.choose(
        router.RouteRequest(
            backend=operation.backend,
            affinity="",
            priority=operation.priority,
            oldest_version=-1,
            excluded=excluded,
            budget_ms=deadline.remaining_ms,
            may_probe=False,
        )
    )
    if chosen.is_error():
        return expression.Error(callers.refuse(chosen.error.reason, chosen.error.retry_after_ms))
    link = links.find(chosen.ok)
    if link is None or not link.incarnation:
        return expression.Error(callers.refuse("link-lost", 200))
    return expression.Ok(link)


def _judge_answer(answer: messages.Answer | None, claim: records.Claim, evidence: str) -> _Tried:
    if answer is None:
        return expression.Ok(callers.tell_unknown("too-late"))
    if answer.outcome is messages.Outcome.NOT_RUN:
        return expression.Error(NotRun(claim.attempt, evidence, callers.pass_on(answer)))
    if answer.reason == messages.REASON_OTHER_BODY:
        return expression.Ok(callers.tell_conflict())
    return expression.Ok(callers.pass_on(answer))


def _tell_not_run(claim: records.Claim, evidence: str, reason: str) -> _Tried:
    return expression.Error(NotRun(claim.attempt, evidence, callers.refuse(reason, 200)))


def _judge_route(tried: _Tried) -> router.RouteOutcome:
    if tried.is_error():
        return router.RouteOutcome.REFUSED
    match tried.ok.outcome:
        case messages.Outcome.DONE:
            return router.RouteOutcome.OK
        case messages.Outcome.UNKNOWN:
            return router.RouteOutcome.TIMED_OUT
        case _:
            return router.RouteOutcome.FAILED


def _find_place(logged: records.LoggedClaim) -> once_messages.Place:
    claim = logged.claim
    return once_messages.Place(claim.incarnation, claim.attempt, logged.shard, logged.offset)
