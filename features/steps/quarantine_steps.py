"""Steps for the quarantine of requests that were running when servers crashed."""

import dataclasses

import behave

import crash_fakes
import front_platform
import server_fakes
from oleander_base import clock
from oleander_direct import call_outcomes, calls, crash_guard, directory, fingerprints
from oleander_quarantine import ledger, records
from oleander_routing import router

_START_SECONDS = 1000.0
_DEADLINE_SECONDS = 2.0
_CHANGES = {
    "id": {"request_id": "other"},
    "header": {"headers": (("X-Trace", "7"),)},
    "organisation": {"organisation": "blue"},
    "host": {"host": "g"},
    "method": {"method": "PUT"},
    "target": {"target": "/b"},
    "body": {"body": b"other"},
    "surrogate": {"target": "/\ud800"},
}


class RecordingPublisher(crash_guard.CrashPublisher):
    """Records the crashes that were published."""

    def __init__(self):
        self.crashes = []

    def publish(self, crash):
        self.crashes.append(crash)

    def withdraw(self, keys):
        """Ignore the withdrawal of published crashes."""


@behave.given("the crashes {listed} of a request")
def record_crashes(context, listed):
    context.now = _START_SECONDS
    context.ledger = ledger.CrashLedger(crash_fakes.SEED, lambda: context.now)
    for item in listed.split(", "):
        _apply_event(context.ledger, item)


def _apply_event(crashes, item):
    server, _, what = item.partition(" ")
    key = records.create_crash(crash_fakes.FINGERPRINT, server, True).key
    if server == "answered":
        crashes.record_answer(crash_fakes.FINGERPRINT)
    elif what == "dropped":
        crashes.record_crash(key, True)
        crashes.remove_crash(key)
    elif server != "none":
        crashes.record_crash(key, what != "shared")


@behave.when("{seconds:d} s pass, then server {server} ends while running it")
def crash_later(context, seconds, server):
    context.now += seconds
    context.ledger.pop_expired()
    _apply_event(context.ledger, server)


@behave.when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.now += seconds
    context.was_forgotten = bool(context.ledger.pop_expired())


@behave.then("the ledger reports it as {state}")
def check_state(context, state):
    kept = context.ledger.find_quarantine(crash_fakes.FINGERPRINT)
    seen = "suspect" if context.ledger.is_suspect(crash_fakes.FINGERPRINT) else "free"
    if kept is not None:
        seen = f"kept for {kept.expires_at - context.now:.0f} s"
    if "was_forgotten" in context and context.was_forgotten:
        seen = "forgotten"
    assert seen == state, seen


@behave.given("a request whose {part} differs from another's")
def create_other(context, part):
    context.other = dataclasses.replace(crash_fakes.REQUEST, **_CHANGES[part])


@behave.then("the two requests count as {same}")
def check_same(context, same):
    is_one = fingerprints.compute_fingerprint(context.other) == crash_fakes.FINGERPRINT
    assert is_one == (same == "one")


@behave.given("an entry with the servers {listed}")
def create_entry(context, listed):
    behaviours = dict(item.split("=") for item in listed.split())
    context.caller = server_fakes.FakeCaller(behaviours)
    chooser = router.Router(7)
    context.directory = known = directory.Directory(chooser, context.caller)
    context.caller.on_end = lambda server, behaviour: _update_list(known, server, behaviour)
    for name in behaviours:
        known.update_server(crash_fakes.build_server(name))
    context.ledger = ledger.CrashLedger(crash_fakes.SEED)
    context.published = RecordingPublisher()
    context.later_seconds = 0
    guard = crash_guard.CrashGuard(
        known,
        context.ledger,
        context.published,
        lambda: clock.read_now() + context.later_seconds,
    )
    context.dispatcher = calls.CallDispatcher(known, chooser, context.caller, guard=guard)


def _update_list(known, server, behaviour):
    """Update the server list as it is when a server ends as planned."""
    if behaviour == "ends-leaving":
        known.update_server(dataclasses.replace(server, is_leaving=True))
    elif behaviour == "ends-unlisted":
        known.remove_server(server.server_id)


@behave.given("in an earlier attempt of the request, {before}")
def crash_before(context, before):
    if before.startswith("a server ended"):
        _apply_event(context.ledger, "X")
    if before.endswith("on its way back"):
        context.caller.on_start = lambda: context.ledger.record_answer(crash_fakes.FINGERPRINT)


@behave.given("the request ran {how} at the servers {names} when they ended")
def crash_before_at(context, how, names):
    was_alone = how == "alone"
    for name in names.split():
        incarnation = crash_fakes.build_server(name).incarnation
        crash = records.create_crash(crash_fakes.FINGERPRINT, incarnation, was_alone)
        context.ledger.record_crash(crash.key, was_alone)


def _call(context, request, most, is_windowed=False):
    deadline = clock.start_deadline(_DEADLINE_SECONDS)
    route = server_fakes.build_route("idempotent", most)
    return context.dispatcher.call(
        route, request, deadline, lambda: False, is_windowed=is_windowed
    )


@behave.when("it is called as a scoring of a batch")
def call_scoring(context):
    context.outcome = _call(context, crash_fakes.REQUEST, 3, is_windowed=True)


@behave.when("a request is called that may be sent to {most:d} servers")
def call_request(context, most):
    context.outcome = _call(context, crash_fakes.REQUEST, most)


@behave.when("it is called again with a new id")
def call_again(context):
    context.caller.ran.clear()
    context.outcome = _call(
        context, dataclasses.replace(crash_fakes.REQUEST, request_id="again"), 3
    )


@behave.then(
    "{sent:d} servers got it, the caller gets {outcome}, and the entry published {count:d} crashes"
)
def check_outcome(context, sent, outcome, count):
    assert len(context.caller.ran) == sent, context.caller.ran
    assert type(context.outcome).__name__.lower() == outcome, context.outcome
    assert len(context.published.crashes) == count, context.published.crashes


@behave.then("it is refused with a retry time of {least:d} to {most:d} s, and no server got it")
def check_refused(context, least, most):
    assert isinstance(context.outcome, call_outcomes.Refused), context.outcome
    assert least * 1000 <= context.outcome.retry_after_ms <= most * 1000, context.outcome
    assert not context.caller.ran, context.caller.ran


@behave.then("a request with another body goes to servers")
def check_other(context):
    _call(context, dataclasses.replace(crash_fakes.REQUEST, body=b"sound"), 3)
    assert context.caller.ran


@behave.then("the entry {belief} it")
def check_suspicion(context, belief):
    is_suspect = context.ledger.is_suspect(crash_fakes.FINGERPRINT)
    assert is_suspect == (belief == "still suspects"), context.outcome


def _answer_another(context):
    context.caller.behaviours["A"] = "ok"
    _call(context, dataclasses.replace(crash_fakes.REQUEST, body=b"sound"), 1)
    context.directory.remove_server("A")


def _leave(context):
    context.directory.update_server(
        dataclasses.replace(crash_fakes.build_server("A"), is_leaving=True)
    )
    context.directory.remove_server("A")


_LOSSES = {
    "is gone from the list": lambda context: context.directory.remove_server("A"),
    "starts again under its id": lambda context: context.directory.update_server(
        dataclasses.replace(crash_fakes.build_server("A"), started_ms=2)
    ),
    "has a successor at its address": lambda context: context.directory.update_server(
        crash_fakes.build_server("Z", "A:1")
    ),
    "leaves and is gone": _leave,
    "answers another and is gone": _answer_another,
}


@behave.when("{seconds:d} s later server A {changes}")
def lose_server(context, seconds, changes):
    context.later_seconds = seconds
    _LOSSES[changes](context)


@behave.then("the entry published {count:d} crashes")
def check_published(context, count):
    crashes = context.published.crashes
    front_platform.wait_until(lambda: len(crashes) == count, lambda: crashes)


@behave.when("server A is listed again")
def list_again(context):
    context.directory.update_server(crash_fakes.build_server("A"))
