"""
Asks the sidecars about an idempotency key before an entry answers that its request did not run.

An entry that can't read the log may not know of a claim that another entry made for the same key.
"Not run" would then be true of this entry's attempt, but wrong for a caller that sent the key to
another entry before.
"""

from oleander_base import clock
from oleander_claims import sharded_claims
from oleander_wire import messages
from oleanderdeal import callers, calls, peer_link, peers

_ASK_TIMEOUT_SECONDS = 0.5
"""Bound on the answers of all sidecars together."""
_RETRY_AFTER_MS = 500
"""Delay before a caller that is told "unknown" asks again; the entry may know more by then."""
REASON_UNSURE = "can't tell whether an earlier try ran"


class KeyInquiry:
    """
    Determines whether a key without a known claim may have run.

    Asks all linked sidecars of the operation's backend, for half a second at most. The key may
    have run at a sidecar that does not answer, one whose link was lost since the claims were last
    read, or one that this entry has no link to; the caller is then told "unknown".
    """

    def __init__(self, claims: sharded_claims.ShardedClaims, links: peers.PeerLinks) -> None:
        self._claims = claims
        self._links = links

    def check(
        self, request: callers.CallerRequest, refusal: callers.CallerAnswer
    ) -> callers.CallerAnswer:
        """Return the refusal if the key can't have run, else the outcome known or "unknown"."""
        answers = self._ask_sidecars(request)
        for answer in answers:
            if answer is not None and answer.outcome is not messages.Outcome.NOT_RUN:
                return _convert_answer(answer)
        read_at = self._claims.find_last_read_time(request.customer, request.key)
        has_all_answers = self._links.covers_all and None not in answers
        if not has_all_answers or self._links.lost_at >= read_at:
            return callers.build_unknown(REASON_UNSURE, _RETRY_AFTER_MS)
        return refusal

    def _ask_sidecars(self, request: callers.CallerRequest) -> list[messages.Answer | None]:
        """Return each sidecar's answer, `None` for one that did not answer in time."""
        deadline = clock.start_deadline(_ASK_TIMEOUT_SECONDS)
        pending_calls = [
            (link, send_find(link, request))
            for link in self._links.list_routed(request.operation.backend)
        ]
        answers = []
        for link, call in pending_calls:
            answers.append(calls.await_answer(call, deadline))
            link.close_call(call)
        return answers


def send_find(link: peer_link.PeerLink, request: callers.CallerRequest) -> calls.Call:
    """Ask one sidecar for the state of a key; the caller must close the returned call."""
    call = link.open_call(calls.create_request_id())
    find = messages.Find(call.request_id, request.customer, request.key, request.digest)
    if link.send(find).is_error():
        call.put(calls.LinkLost())
    return call


def _convert_answer(answer: messages.Answer) -> callers.CallerAnswer:
    if answer.reason == messages.REASON_OTHER_BODY:
        return callers.build_conflict()
    converted = callers.convert_answer(answer)
    if converted.outcome is messages.Outcome.UNKNOWN:
        return callers.build_unknown(converted.reason, _RETRY_AFTER_MS)
    return converted
