"""Steps for requests that are kept from servers because servers ended under them."""

import dataclasses
import threading

import behave

import front_platform
import server_fakes
from oleander_base import clock, tasks
from oleander_direct import call_outcomes, calls, crash_guard, directory, fingerprints, servers
from oleander_platform import keyed_follower, recordlog
from oleander_quarantine import ledger, records
from oleander_routing import router
from oleander_standins import recordlog as memory_log
from oleanderdeal import crash_records

_SEED = 3
_START_SECONDS = 1000.0
_DEADLINE_SECONDS = 2.0
_REQUEST = servers.CallRequest("id", "h", "POST", "/a", (), b"body", True, "red")
_FINGERPRINT = fingerprints.compute_fingerprint(_REQUEST)
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


class Published(crash_guard.CrashPublisher):
    """Keeps what was published."""

    def __init__(self):
        self.crashes = []

    def publish(self, crash):
        self.crashes.append(crash)

    def withdraw(self, keys):
        """Keep nothing of it."""


@behave.given("the crashes {listed} of a request")
def record_crashes(context, listed):
    context.now = _START_SECONDS
    context.ledger = ledger.CrashLedger(_SEED, lambda: context.now)
    for item in listed.split(", "):
        _apply(context.ledger, item)


def _apply(crashes, item):
    server, _, what = item.partition(" ")
    key = records.create_crash(_FINGERPRINT, server, True).key
    if server == "answered":
        crashes.record_answer(_FINGERPRINT)
    elif what == "dropped":
        crashes.record_crash(key, True)
        crashes.remove(key)
    elif server != "none":
        crashes.record_crash(key, what != "shared")


@behave.when("{seconds:d} s pass, then server {server} ends under it")
def end_later(context, seconds, server):
    context.now += seconds
    context.ledger.take_forgotten()
    _apply(context.ledger, server)


@behave.when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.now += seconds
    context.was_forgotten = bool(context.ledger.take_forgotten())


@behave.then("the ledger calls it {state}")
def check_state(context, state):
    kept = context.ledger.find_quarantine(_FINGERPRINT)
    seen = "suspect" if context.ledger.is_suspect(_FINGERPRINT) else "free"
    if kept is not None:
        seen = f"kept for {kept.expires_at - context.now:.0f} s"
    if "was_forgotten" in context and context.was_forgotten:
        seen = "forgotten"
    assert seen == state, seen


@behave.given("a request whose {part} differs from another's")
def create_other(context, part):
    context.other = dataclasses.replace(_REQUEST, **_CHANGES[part])


@behave.then("the two are {same}")
def check_same(context, same):
    is_one = fingerprints.compute_fingerprint(context.other) == _FINGERPRINT
    assert is_one == (same == "one")


@behave.given("an entry with the servers {listed}")
def create_entry(context, listed):
    behaviours = dict(item.split("=") for item in listed.split())
    context.caller = server_fakes.FakeCaller(behaviours)
    chooser = router.Router(7)
    context.known = known = directory.Directory(chooser, context.caller)
    context.caller.on_end = lambda server, behaviour: _end(known, server, behaviour)
    for name in behaviours:
        known.put_server(_describe_server(name))
    context.ledger = ledger.CrashLedger(_SEED)
    context.published = Published()
    context.later_seconds = 0
    guard = crash_guard.CrashGuard(
        known,
        context.ledger,
        context.published,
        lambda: clock.read_now() + context.later_seconds,
    )
    context.dispatcher = calls.CallDispatcher(known, chooser, context.caller, guard=guard)


def _describe_server(name, address=""):
    return servers.Server(name, 1, "desk", address or f"{name}:1", "z", 6, False, ())


def _end(known, server, behaviour):
    """Let the list say what it said of a server that ended as planned."""
    if behaviour == "ends-leaving":
        known.put_server(dataclasses.replace(server, is_leaving=True))
    elif behaviour == "ends-unlisted":
        known.remove_server(server.server_id)


@behave.given("{before} under the request before")
def end_before(context, before):
    if before.startswith("a server ended"):
        _apply(context.ledger, "X")
    if before.endswith("on its way back"):
        context.caller.on_begin = lambda: context.ledger.record_answer(_FINGERPRINT)


def _call(context, request, most):
    deadline = clock.start_deadline(_DEADLINE_SECONDS)
    route = server_fakes.build_route("idempotent", most)
    return context.dispatcher.call(route, request, deadline, lambda: False)


@behave.when("a request is called that {most:d} servers may get")
def call_request(context, most):
    context.outcome = _call(context, _REQUEST, most)


@behave.when("it comes again with a new id")
def call_again(context):
    context.caller.ran.clear()
    context.outcome = _call(context, dataclasses.replace(_REQUEST, request_id="again"), 3)


@behave.then(
    "{sent:d} servers got it, the caller gets {outcome}, and the entry published {count:d} crashes"
)
def check_outcome(context, sent, outcome, count):
    assert len(context.caller.ran) == sent, context.caller.ran
    assert type(context.outcome).__name__.lower() == outcome, context.outcome
    assert len(context.published.crashes) == count, context.published.crashes


@behave.then("it is rejected with a time of {least:d} to {most:d} s, and no server got it")
def check_refused(context, least, most):
    assert isinstance(context.outcome, call_outcomes.Refused), context.outcome
    assert least * 1000 <= context.outcome.retry_after_ms <= most * 1000, context.outcome
    assert not context.caller.ran, context.caller.ran


@behave.then("a request with another body goes to servers")
def check_other(context):
    _call(context, dataclasses.replace(_REQUEST, body=b"sound"), 3)
    assert context.caller.ran


class Entry:
    """What an entry has for crashes, on its own client of the log."""

    def __init__(self, context, shared, name):
        self.log = shared.create_client()
        self.crashes = ledger.CrashLedger(_SEED)
        self.group = tasks.TaskGroup(name, 4)
        known = directory.Directory(router.Router(7), server_fakes.UnusedCaller())
        for server in "AB":
            known.put_server(_describe_server(server))
        topic = crash_records.TOPIC
        writer = crash_records.CrashWriter(self.crashes, self.log, topic, self.group)
        sink = crash_records.CrashSink(self.crashes)
        follower = keyed_follower.KeyedFollower(self.log, topic, sink, self.group, 0.01)
        self._guard = crash_guard.CrashGuard(known, self.crashes, writer)
        self.group.keep(writer.write)
        self.group.keep(follower.follow)
        context.add_cleanup(self.stop)

    def stop(self):
        self.group.stop()
        self.group.join(clock.start_deadline(_DEADLINE_SECONDS))

    def finish(self, server, has_crashed):
        watch = self._guard.begin(_REQUEST, _describe_server(server))
        ends = crash_guard.AttemptEnd
        self._guard.finish(watch, ends.SERVER_ENDED if has_crashed else ends.ANSWERED)

    def keeps_back(self):
        return self.crashes.find_quarantine(_FINGERPRINT) is not None


@behave.given("two entries on one log that is {state}")
def create_entries(context, state):
    context.shared = memory_log.MemoryRecordLog()
    context.entries = {name: Entry(context, context.shared, name) for name in ("first", "second")}
    if state != "there":
        for entry in context.entries.values():
            entry.log.faults.is_down = True
    if state == "away for a time":
        timer = threading.Timer(0.5, _heal, (list(context.entries.values()),))
        timer.start()


def _heal(entries):
    for entry in entries:
        entry.log.faults.is_down = False


@behave.when("server A ends under a request at the first entry, and server B at the {name}")
def end_two(context, name):
    context.entries["first"].finish("A", True)
    context.entries[name].finish("B", True)


@behave.then("the request is kept back at {who} within {seconds:d} s")
def check_kept(context, who, seconds):
    names = {"both": ("first", "second"), "the first": ("first",)}.get(who)
    if names is None:
        front_platform.wait_until(context.entries["second"].keeps_back, lambda: "not kept")
        names = ("third",)
        context.entries["third"] = Entry(context, context.shared, "third")
    deadline = clock.start_deadline(seconds)
    waiting = threading.Event()
    while not all(context.entries[name].keeps_back() for name in names):
        assert not deadline.is_past, {n: e.keeps_back() for n, e in context.entries.items()}
        waiting.wait(0.02)


@behave.when(
    "server A ends under a request at the first entry, and server B answers it at the second"
)
def end_and_answer(context):
    context.entries["first"].finish("A", True)
    second = context.entries["second"]
    front_platform.wait_until(lambda: second.crashes.is_suspect(_FINGERPRINT), lambda: "not heard")
    second.finish("B", False)


@behave.then("no entry suspects the request, and the log holds no crash")
def check_cleared(context):
    def is_cleared():
        newest = context.shared.read_newest(
            crash_records.TOPIC, clock.start_deadline(_DEADLINE_SECONDS)
        )
        known = [entry.crashes.is_suspect(_FINGERPRINT) for entry in context.entries.values()]
        return not any(known) and not newest.ok[0]

    front_platform.wait_until(is_cleared, lambda: "a crash is left")


@behave.then("a record of a crash with key {key} and value {value} changes nothing")
def check_unreadable(context, key, value):
    crashes = ledger.CrashLedger(_SEED)
    sink = crash_records.CrashSink(crashes)
    read = recordlog.read_keyed(
        recordlog.RawRecord(0, recordlog.write_keyed(key, bytes.fromhex(value)))
    )
    sink.put(read.key, read.value)
    assert crashes.is_empty


@behave.then("the entry {belief} it")
def check_belief(context, belief):
    is_suspect = context.ledger.is_suspect(_FINGERPRINT)
    assert is_suspect == (belief == "still suspects"), context.outcome


@behave.then("as part of a batch it is kept for {seconds:d} s")
def check_batch(context, seconds):
    kept = context.ledger.find_quarantine(_FINGERPRINT, ledger.BATCH_QUARANTINE_SECONDS)
    seen = round(kept.expires_at - context.now) if kept else 0
    assert seen == seconds, seen


def _answer_another(context):
    context.caller.behaviours["A"] = "ok"
    _call(context, dataclasses.replace(_REQUEST, body=b"sound"), 1)
    context.known.remove_server("A")


def _leave(context):
    context.known.put_server(dataclasses.replace(_describe_server("A"), is_leaving=True))
    context.known.remove_server("A")


_LOSSES = {
    "is gone from the list": lambda context: context.known.remove_server("A"),
    "starts again under its id": lambda context: context.known.put_server(
        dataclasses.replace(_describe_server("A"), born_ms=2)
    ),
    "has a successor at its address": lambda context: context.known.put_server(
        _describe_server("Z", "A:1")
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
    context.known.put_server(_describe_server("A"))
