"""Steps for the outcome of a key after its last attempt was refused."""

import dataclasses
import types

import behave
import expression

from oleander_base import clock
from oleander_claims import records
from oleander_contracts import contract
from oleander_wire import messages
from oleanderdeal import callers, calls, claim_dispatch

_ATTEMPTS = 4
_SECONDS = 5.0


class FakeClaims:
    """Puts each proposed claim in force; the newest one known may be set by a test."""

    def __init__(self):
        self.known = None

    def find(self, customer, key):
        return self.known

    def propose(self, claim, deadline):
        self.known = records.LoggedClaim(claim, 0, claim.attempt)
        return expression.Ok(self.known)

    def find_last_read_time(self, customer, key):
        return clock.read_now()


class FakeLink:
    """A link to a sidecar that refuses each attempt, and then reports what a test has set."""

    name = "sidecar"
    incarnation = "i-1"
    host = types.SimpleNamespace(address="127.0.0.1:1")

    def __init__(self, on_refused):
        self._on_refused = on_refused
        self._call = None
        self.runs = 0
        self.found = _build_answer(messages.Outcome.NOT_RUN)

    def open_call(self, request_id, is_only_one=False):
        self._call = calls.Call(request_id, self.name, is_only_one)
        return self._call

    def close_call(self, call):
        pass

    def wait_open(self, deadline):
        return True

    def send(self, message):
        if isinstance(message, messages.Find):
            if self.found is not None:
                self._call.put(self.found)
            return expression.Ok(None)
        self.runs += 1
        if self.runs == _ATTEMPTS:
            self._on_refused()
        self._call.put(_build_answer(messages.Outcome.NOT_RUN))
        return expression.Ok(None)


def _build_answer(outcome):
    return messages.Answer("", outcome, 0, "full", 0, b"", 0)


def _build_request():
    operation = contract.Operation(
        "charge", "desk", contract.Priority.INTERACTIVE, False, 1000, 1, False
    )
    terms = contract.Contract("customer", 100, 10, (operation,), ())
    deadline = clock.start_deadline(_SECONDS)
    return callers.CallerRequest(
        "customer", operation, terms, "key", "digest", "trace", deadline, b"", None, False
    )


@behave.given("an entry whose four attempts of a key are refused")
def create_entry(context):
    context.claims = FakeClaims()
    context.link = FakeLink(lambda: context.on_refused())
    context.links = types.SimpleNamespace(
        find=lambda name: context.link,
        find_or_dial=lambda name, address: context.link,
        list_routed=lambda backend: [context.link],
        covers_all=True,
        lost_at=0.0,
    )
    chooser = types.SimpleNamespace(
        choose=lambda request: expression.Ok("sidecar"),
        record_started=lambda name: None,
        record_finished=lambda name, outcome, milliseconds: None,
    )
    context.entry = claim_dispatch.ClaimDispatcher(context.claims, chooser, context.links)


@behave.when("the last one is refused and another entry {meanwhile}")
def refuse_last(context, meanwhile):
    def claim_next():
        claim = dataclasses.replace(context.claims.known.claim, attempt=_ATTEMPTS + 1, nonce="b")
        context.claims.known = records.LoggedClaim(claim, 0, _ATTEMPTS + 1)

    def hide_sidecar():
        context.links.covers_all = False

    def run_key():
        context.link.found = _build_answer(messages.Outcome.DONE)

    context.on_refused = {
        "does nothing": lambda: None,
        "claims the next attempt": claim_next,
        "may have a sidecar that this entry can't ask": hide_sidecar,
        "has had the key run": run_key,
    }[meanwhile]
    context.answer = context.entry.run(_build_request())


@behave.then("the caller of the first entry is answered {outcome}")
def check_answer(context, outcome):
    assert context.link.runs == _ATTEMPTS, context.link.runs
    assert context.answer.outcome.value == outcome, context.answer
