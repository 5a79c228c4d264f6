"""
Asks the sidecars about a key before a caller is told that its request did not run.

An entry that can't read the log may not know of a claim that another entry made for the same key.
Its own refusal would be true of its own try, and wrong for a caller who sent the key before.
"""

from oleander_base import clock
from oleander_claims import sharded_claims
from oleander_wire import messages
from oleanderdeal import callers, calls, peer_link, peers

_ASK_SECONDS = 0.5
_RETRY_MS = 500
REASON_UNSURE = "can't tell whether an earlier try ran"


class KeyInquiry:
    """
    Finds out whether a key that this entry does not know of has run.

    Asks the linked sidecars of one backend, at most as many as the entry links to, and waits half
    a second at most. A sidecar that can't be asked, one that was lost since the claims were last
    read, or one that this entry does not link to may have run the key; then the caller is told
    "unknown".
    """

    def __init__(self, claims: sharded_claims.ShardedClaims, links: peers.PeerLinks) -> None:
        self._claims = claims
        self._links = links

    def check(
        self, request: callers.CallerRequest, refusal: callers.CallerAnswer
    ) -> callers.CallerAnswer:
        """Return the refusal, or what is known of an earlier try of the same key."""
        answers = self._ask_all(request)
        for answer in answers:
            if answer is not None and answer.outcome is not messages.Outcome.NOT_RUN:
                return _pass_on(answer)
        read_at = self._claims.find_last_read_time(request.customer, request.key)
        is_sure = self._links.covers_all and None not in answers
        if not is_sure or self._links.lost_at >= read_at:
            return callers.tell_unknown(REASON_UNSURE, _RETRY_MS)
        return refusal

    def _ask_all(self, request: callers.CallerRequest) -> list[messages.Answer | None]:
        """Return each sidecar's answer, nothing from one that gave none."""
        deadline = clock.start_deadline(_ASK_SECONDS)
        asked = [
            (link, ask(link, request))
            for link in self._links.list_routed(request.operation.backend)
        ]
        answers = []
        for link, call in asked:
            answers.append(calls.await_answer(call, deadline))
            link.close_call(call)
        return answers


def ask(link: peer_link.PeerLink, request: callers.CallerRequest) -> calls.Call:
    """Ask one sidecar what it knows of a key; the call is to be closed."""
    call = link.open_call(calls.create_request_id())
    find = messages.Find(call.request_id, request.customer, request.key, request.digest)
    if link.send(find).is_error():
        call.put(calls.LinkLost())
    return call


def _pass_on(answer: messages.Answer) -> callers.CallerAnswer:
    if answer.reason == messages.REASON_OTHER_BODY:
        return callers.tell_conflict()
    passed = callers.pass_on(answer)
    if passed.outcome is messages.Outcome.UNKNOWN:
        return callers.tell_unknown(passed.reason, _RETRY_MS)
    return passed
