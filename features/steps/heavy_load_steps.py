"""Steps for callers of overloaded servers, with virtual time."""

import collections
import dataclasses

import behave
import expression

import server_fakes
import virtual_time
from oleander_base import clock
from oleander_direct import call_outcomes, calls, directory, retry_advice, routes, servers
from oleander_routing import router
from oleanderdeal import direct_entry

_SERVICE_SECONDS = 0.06
_OBJECTIVE_SECONDS = 0.6
_MAX_RETRY_AFTER_MS = 1000


@dataclasses.dataclass(slots=True)
class CallerRecord:
    """When a caller started and was served, and the refusals that it got."""

    started_at: float
    served_at: float = 0.0
    refusals: list = dataclasses.field(default_factory=list)


class SlotCaller(server_fakes.FailingCaller):
    """Servers with slots; a request that finds no free slot is refused without being run."""

    def __init__(self, slots, time):
        self.slots = slots
        self._time = time
        self._busy = collections.Counter()
        self.received = collections.Counter()
        self.refused = collections.Counter()
        self.ran = set()

    def call(self, server, request, deadline, is_cancelled):
        name = server.server_id
        self.received[name] += 1
        if self._busy[name] >= self.slots[name]:
            self.refused[name] += 1
            return expression.Ok(servers.CallAnswer(503, (), b"", True, False, ""))
        self._busy[name] += 1
        self.ran.add(request.request_id)
        self._time.sleep(_SERVICE_SECONDS)
        self._busy[name] -= 1
        return expression.Ok(servers.CallAnswer(200, (), b"", False, False, ""))


@behave.given("overloaded servers with the slots {listed}")
def create_servers(context, listed):
    slots = {f"s{number}": int(count) for number, count in enumerate(listed.split())}
    context.time = virtual_time.VirtualTime()
    context.caller = SlotCaller(slots, context.time)
    with context.time.replace_in(calls):
        chooser = router.Router(11, context.time.read_now)
        known = directory.Directory(chooser, context.caller)
        for name, count in slots.items():
            known.update_server(
                servers.Server(name, 1, "desk", "127.0.0.1:1", "z", count, False, ())
            )
        context.dispatcher = calls.CallDispatcher(known, chooser, context.caller)
    context.entry_threads = virtual_time.VirtualSemaphore(context.time, direct_entry.HTTP_THREADS)
    context.rate = sum(slots.values()) / _SERVICE_SECONDS


def _route():
    share = (routes.Share("desk", 1),)
    kind = routes.RouteKind.IDEMPOTENT
    target_latency_ms = int(_OBJECTIVE_SECONDS * 1000)
    return routes.Route(
        "r", "h", "/", kind, 5000, target_latency_ms, 0, share, 3, False, False, 0, 0
    )


def _send_until_served(context, number):
    """Send a caller's request until it is served or out of time, and record the outcomes."""
    record = CallerRecord(context.time.read_now())
    context.records[str(number)] = record
    request = servers.CallRequest(str(number), "h", "POST", "/", (), b"", True)
    while True:
        left = record.started_at + _OBJECTIVE_SECONDS - context.time.read_now()
        if left <= 0:
            return
        with context.entry_threads:
            sent_at = context.time.read_now()
            left = record.started_at + _OBJECTIVE_SECONDS - sent_at
            outcome = context.dispatcher.call(
                _route(), request, clock.start_deadline(left), lambda: False
            )
        if isinstance(outcome, call_outcomes.Answered):
            record.served_at = context.time.read_now()
            return
        if isinstance(outcome, call_outcomes.Unresolved):
            context.overrun_seconds.append(
                context.time.read_now() - record.started_at - _OBJECTIVE_SECONDS
            )
            return
        record.refusals.append((context.time.read_now() - sent_at, outcome.retry_after_ms))
        if str(number) in context.caller.ran:
            context.ran_when_refused.append(number)
        context.time.sleep(outcome.retry_after_ms / 1000)


@behave.when("callers arrive for {seconds:g} s at {load:g} of the servers' capacity")
def arrive(context, seconds, load):
    context.records = {}
    context.ran_when_refused = []
    context.overrun_seconds = []
    context.offered = int(context.rate * load * seconds)
    context.could_serve = min(1.0, load) * context.rate * seconds
    with context.time.replace_in(calls):
        context.time.run(_start_callers, context, context.rate * load)


def _start_callers(context, rate):
    began_at = context.time.read_now()
    for number in range(context.offered):
        context.time.sleep(began_at + number / rate - context.time.read_now())
        context.time.start(_send_until_served, context, number)


def _count_served(context):
    return sum(
        record.served_at - record.started_at <= _OBJECTIVE_SECONDS
        for record in context.records.values()
        if record.served_at
    )


@behave.then("at least {percent:d} percent of the callers that could be served are served in time")
def check_served(context, percent):
    served = _count_served(context)
    assert served >= context.could_serve * percent / 100, (served, context.could_serve)


@behave.then("at most {percent:d} percent of the callers are served late or not at all")
def check_left_out(context, percent):
    left_out = context.offered - _count_served(context)
    assert left_out <= context.offered * percent / 100, (left_out, context.offered)


@behave.then(
    "a refusal takes the entry less than {milliseconds:d} ms, means not run, and says when to "
    "retry"
)
def check_refusals(context, milliseconds):
    assert not context.ran_when_refused, context.ran_when_refused
    refusals = [item for record in context.records.values() for item in record.refusals]
    for seconds, retry_after_ms in refusals:
        assert 0 < retry_after_ms <= _MAX_RETRY_AFTER_MS, retry_after_ms
        assert seconds < _OBJECTIVE_SECONDS, seconds
    assert all(seconds <= 0 for seconds in context.overrun_seconds), context.overrun_seconds
    late = [seconds for seconds, _ in refusals if seconds * 1000 > milliseconds]
    assert len(late) <= len(refusals) // 20, sorted(late)


@behave.then("no server refuses more than {percent:d} percent of its requests")
def check_refused_share(context, percent):
    caller = context.caller
    refused_fractions = {
        name: caller.refused[name] / max(1, caller.received[name]) for name in caller.slots
    }
    assert max(refused_fractions.values()) <= percent / 100, refused_fractions


@behave.given(
    "{answered:d} answers and {refused:d} refusals each second, and an objective of "
    "{objective:d} ms"
)
def count_outcomes(context, answered, refused, objective):
    context.now = 0.0
    context.objective = objective
    context.advice = retry_advice.RetryAdvisor(5, lambda: context.now)
    for _ in range(2):
        for _ in range(answered):
            context.advice.record_answered()
        for _ in range(refused):
            context.advice.advise_retry_after_ms(objective)
        context.now += 1.0


@behave.when("{seconds:d} s have passed")
def pass_seconds(context, seconds):
    context.now = float(seconds)


@behave.then("a refused caller is told to retry after {minimum:d} to {maximum:d} ms")
def check_advice(context, minimum, maximum):
    context.advised = [context.advice.advise_retry_after_ms(context.objective) for _ in range(9)]
    assert minimum <= min(context.advised) and max(context.advised) <= maximum, context.advised


@behave.then("refused callers are told different times")
def check_spread(context):
    assert len(set(context.advised)) > 5, context.advised


@behave.then("the first refused caller is told to retry within {maximum:d} ms")
def check_first(context, maximum):
    advised = context.advice.advise_retry_after_ms(context.objective)
    assert advised <= maximum, advised
