"""
Runs non-repeatable requests at most once, by claims in the log.

A claim is a record in which an entry names the sidecar incarnation for one attempt to run a key's
request. For each attempt the first claim in the log decides which sidecar incarnation may run the
key. Only the entry that wrote this claim sends the request there, once. Other entries, and this
entry after it lost the link, only ask that sidecar for the outcome. Asking seals a key that has
not arrived, so that it can no longer start there.
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

_MAX_ATTEMPTS = 4
"""Maximum number of attempts that one call of `run` makes or follows, each by its own claim."""
_REDIAL_POLL_SECONDS = 0.1
"""Longest wait for a link to open before the sidecar is dialled again."""
_CLAIMANT_GRACE_SECONDS = 0.3
"""Time after which a claim's request should have arrived, so that asking may seal its key."""
_POLL_SECONDS = 0.02
"""Pause between two checks whether a claimed request has arrived."""
_SEALED_EVIDENCE = "sealed by its sidecar"
_REFUSED_EVIDENCE = "refused by its sidecar"
_NOT_SENT_EVIDENCE = "never sent by its claimant"


@dataclasses.dataclass(slots=True, frozen=True)
class _Attempt:
    """A claim in force, and whether this entry has just written it."""

    logged: records.LoggedClaim
    is_own: bool


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """Proof that an attempt never ran and never will, so that the next may be claimed."""

    attempt: int
    evidence: str
    """Why the attempt can't run; recorded in the claim of the next one."""
    answer: callers.CallerAnswer
    """The answer to the caller if no further attempt is made."""


_AttemptResult = expression.Result[callers.CallerAnswer, NotRun]


class ClaimDispatcher:
    """Claims a key and sends its request to the claimed sidecar, or follows an earlier claim."""

    def __init__(
        self, claims: sharded_claims.ShardedClaims, router_: router.Router, links: peers.PeerLinks
    ) -> None:
        self._claims = claims
        self._router = router_
        self._links = links
        self._inquiry = key_inquiry.KeyInquiry(claims, links)

    def run(
        self, request: callers.CallerRequest, last_not_run: NotRun | None = None
    ) -> callers.CallerAnswer:
        """
        Run a request and return its answer; blocks until its key has an outcome or the deadline.

        `last_not_run` proves that an earlier attempt never ran, and allows the next one.
        """
        excluded: frozenset[str] = frozenset()
        for _ in range(_MAX_ATTEMPTS):
            attempt = self._find_or_claim(request, last_not_run, excluded)
            if attempt.is_error():
                return attempt.error
            claim = attempt.ok.logged.claim
            if claim.digest != request.digest:
                return callers.build_conflict()
            result = self._run_attempt(request, attempt.ok)
            if result.is_ok():
                return result.ok
            last_not_run = result.error
            if last_not_run.evidence != _SEALED_EVIDENCE:
                excluded |= {claim.sidecar}
            if request.deadline.is_past:
                # This process may have been suspended while another entry made the next attempt.
                return self._inquiry.check(request, last_not_run.answer)
        if last_not_run is None:
            return callers.build_refusal("too-late", 0)
        return self.refuse(request, last_not_run.answer, last_not_run.attempt)

    def refuse(
        self,
        request: callers.CallerRequest,
        refusal: callers.CallerAnswer,
        not_run_attempt: int = 0,
    ) -> callers.CallerAnswer:
        """
        Return the refusal, unless the key may have run in an earlier attempt.

        The request did not run here, but the caller may have sent it through another entry, before
        or meanwhile. Attempts up to `not_run_attempt` are known not to have run.
        """
        known = self._claims.find(request.customer, request.key)
        if known is not None and known.claim.attempt > not_run_attempt:
            return callers.build_unknown(refusal.reason, refusal.retry_after_ms)
        return self._inquiry.check(request, refusal)

    def _find_or_claim(
        self,
        request: callers.CallerRequest,
        last_not_run: NotRun | None,
        excluded: frozenset[str],
    ) -> expression.Result[_Attempt, callers.CallerAnswer]:
        """
        Return the claim to follow, or write a claim for the next attempt.

        The proof that an attempt never ran is valid for that attempt only. If another entry has
        claimed a later attempt meanwhile, that attempt may be running, so it is followed and no
        further one is claimed.
        """
        known = self._claims.find(request.customer, request.key)
        not_run_attempt = last_not_run.attempt if last_not_run is not None else 0
        if known is not None and known.claim.attempt > not_run_attempt:
            return expression.Ok(_Attempt(known, is_own=False))
        evidence = last_not_run.evidence if last_not_run is not None else ""
        return self._claim(request, not_run_attempt + 1, evidence, excluded)

    def _claim(
        self,
        request: callers.CallerRequest,
        attempt: int,
        evidence: str,
        excluded: frozenset[str],
    ) -> expression.Result[_Attempt, callers.CallerAnswer]:
        link = choose_link(
            self._router, self._links, request.operation, excluded, request.deadline
        )
        if link.is_error():
            return expression.Error(self.refuse(request, link.error, attempt - 1))
        claim = records.Claim(
            customer=request.customer,
            key=request.key,
            digest=request.digest,
            attempt=attempt,
            sidecar=link.ok.name,
            address=link.ok.host.address,
            incarnation=link.ok.incarnation,
            nonce=identifiers.create_nonce(),
            evidence=evidence,
        )
        decided = self._claims.propose(claim, request.deadline)
        if decided.is_error():
            return expression.Error(self._refuse_claim(request, decided.error, attempt - 1))
        is_own = decided.ok.claim.nonce == claim.nonce
        return expression.Ok(_Attempt(decided.ok, is_own))

    def _refuse_claim(
        self, request: callers.CallerRequest, error: shard.ClaimError, not_run_attempt: int
    ) -> callers.CallerAnswer:
        """
        Return the answer for a request whose claim was not decided.

        This entry never sends the request, but another entry may have sent it before.
        """
        refusal = callers.build_refusal(error.reason, error.retry_after_ms)
        return self.refuse(request, refusal, not_run_attempt)

    def _run_attempt(self, request: callers.CallerRequest, attempt: _Attempt) -> _AttemptResult:
        """Send the request if this entry wrote the claim, and wait for the attempt's outcome."""
        claim = attempt.logged.claim
        if not attempt.is_own:
            self._wait_for_claimant(request, attempt.logged)
            return self._ask_sidecar(request, attempt.logged)
        link = self._links.find_or_dial(claim.sidecar, claim.address)
        is_open = link.wait_open(request.deadline.cap(_REDIAL_POLL_SECONDS))
        if request.deadline.is_past:
            return _build_not_run(claim, _NOT_SENT_EVIDENCE, "too-late")
        if not is_open:
            return _build_not_run(claim, _NOT_SENT_EVIDENCE, "link-lost")
        started_at = clock.read_now()
        self._router.record_started(claim.sidecar)
        result = self._send(request, attempt.logged, link)
        service_ms = (clock.read_now() - started_at) * 1000
        self._router.record_finished(claim.sidecar, _classify_outcome(result), service_ms)
        return result

    def _send(
        self,
        request: callers.CallerRequest,
        logged: records.LoggedClaim,
        link: peer_link.PeerLink,
    ) -> _AttemptResult:
        """Send the request. No other code does, and it is called once for each claim."""
        invariants.require(
            not request.operation.repeatable, "once-only", "a repeatable request was claimed"
        )
        call = link.open_call(calls.create_request_id(), is_only_one=True)
        try:
            if link.send(
                once_messages.build_run(call.request_id, request, _locate_attempt(logged))
            ).is_error():
                return _build_not_run(logged.claim, _NOT_SENT_EVIDENCE, "link-lost")
            answer = calls.await_answer(call, request.deadline)
        finally:
            link.close_call(call)
        if answer is None and not request.deadline.is_past:
            return self._ask_sidecar(request, logged)
        return _classify_answer(answer, logged.claim, _REFUSED_EVIDENCE)

    def _wait_for_claimant(
        self, request: callers.CallerRequest, logged: records.LoggedClaim
    ) -> None:
        """
        Wait for the request of a recent claim to arrive, as asking earlier would seal its key.

        Without this wait, two entries with the same key would seal each other's attempts in turn
        until both refuse. If the claimant takes longer its attempt is sealed, which costs one
        further attempt but never runs a request twice.
        """
        claim = logged.claim
        grace = clock.Deadline(logged.read_at + _CLAIMANT_GRACE_SECONDS)
        while not grace.is_past and not request.deadline.is_past:
            link = self._links.find_or_dial(claim.sidecar, claim.address)
            call = key_inquiry.send_find(link, request)
            answer = calls.await_answer(call, grace)
            link.close_call(call)
            if answer is None or answer.reason != messages.REASON_UNSEEN:
                return
            time.sleep(_POLL_SECONDS)

    def _ask_sidecar(
        self, request: callers.CallerRequest, logged: records.LoggedClaim
    ) -> _AttemptResult:
        """
        Ask the claimed sidecar for the key's outcome until it answers or the deadline passes.

        If the connection is refused, that incarnation has ended and its outcome can't be learnt;
        the caller is told "unknown" at once.
        """
        claim = logged.claim
        while not request.deadline.is_past:
            link = self._links.find_or_dial(claim.sidecar, claim.address)
            if link.is_connection_refused and not link.is_open:
                return expression.Ok(callers.build_unknown("sidecar-gone"))
            call = link.open_call(calls.create_request_id())
            try:
                sent = link.send(once_messages.build_join(call.request_id, request, logged))
                answer = calls.await_answer(call, request.deadline) if sent.is_ok() else None
            finally:
                link.close_call(call)
            if answer is not None:
                return _classify_answer(answer, logged.claim, _SEALED_EVIDENCE)
            link.wait_open(request.deadline.cap(_REDIAL_POLL_SECONDS))
        log.warn_bounded("claim-unreachable", f"can't ask {claim.sidecar} about its claim")
        return expression.Ok(callers.build_unknown("sidecar-unreachable"))


def choose_link(
    router_: router.Router,
    links: peers.PeerLinks,
    operation: contract.Operation,
    excluded: frozenset[str],
    deadline: clock.Deadline,
) -> expression.Result[peer_link.PeerLink, callers.CallerAnswer]:
    """Return the link to a sidecar for a non-repeatable operation, or the refusal."""
    chosen = router_.choose(
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
        return expression.Error(
            callers.build_refusal(chosen.error.reason, chosen.error.retry_after_ms)
        )
    link = links.find(chosen.ok)
    if link is None or not link.incarnation:
        return expression.Error(callers.build_refusal("link-lost", 200))
    return expression.Ok(link)


def _classify_answer(
    answer: messages.Answer | None, claim: records.Claim, evidence: str
) -> _AttemptResult:
    if answer is None:
        return expression.Ok(callers.build_unknown("too-late"))
    if answer.outcome is messages.Outcome.NOT_RUN:
        return expression.Error(NotRun(claim.attempt, evidence, callers.convert_answer(answer)))
    if answer.reason == messages.REASON_OTHER_BODY:
        return expression.Ok(callers.build_conflict())
    return expression.Ok(callers.convert_answer(answer))


def _build_not_run(claim: records.Claim, evidence: str, reason: str) -> _AttemptResult:
    return expression.Error(NotRun(claim.attempt, evidence, callers.build_refusal(reason, 200)))


def _classify_outcome(result: _AttemptResult) -> router.RouteOutcome:
    if result.is_error():
        return router.RouteOutcome.REFUSED
    match result.ok.outcome:
        case messages.Outcome.DONE:
            return router.RouteOutcome.OK
        case messages.Outcome.UNKNOWN:
            return router.RouteOutcome.TIMED_OUT
        case _:
            return router.RouteOutcome.FAILED


def _locate_attempt(logged: records.LoggedClaim) -> once_messages.AttemptLocation:
    claim = logged.claim
    return once_messages.AttemptLocation(
        claim.incarnation, claim.attempt, logged.shard, logged.offset
    )
