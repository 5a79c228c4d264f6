"""Steps for calls to backend servers without sidecars."""

import time

import behave

import server_fakes
from oleander_base import clock
from oleander_direct import call_outcomes, calls, directory, routes, servers
from oleander_routing import router
from oleanderdeal import route_lookup

_DEADLINE_SECONDS = 0.8


@behave.given("the servers {listed}")
def create_servers(context, listed):
    behaviours = dict(item.split("=") for item in listed.split())
    context.caller = server_fakes.FakeCaller(behaviours)
    chooser = router.Router(7)
    known = directory.Directory(chooser, context.caller)
    for name in behaviours:
        known.update_server(servers.Server(name, 1, "desk", "127.0.0.1:1", "z", 6, False, ()))
    context.dispatcher = calls.CallDispatcher(known, chooser, context.caller)


def _call(context, kind, most, is_gone=lambda: False):
    request = servers.CallRequest("id", "h", "POST", "/", (), b"", kind == "idempotent")
    return context.dispatcher.call(
        server_fakes.build_route(kind, most),
        request,
        clock.start_deadline(_DEADLINE_SECONDS),
        is_gone,
    )


@behave.when("a {kind} request is called that may be sent to {most:d} servers")
def call_one(context, kind, most):
    context.outcome = _call(context, kind, most)


@behave.then("the caller gets {outcome}")
def check_caller(context, outcome):
    seen = type(context.outcome).__name__.lower()
    if isinstance(context.outcome, call_outcomes.Answered):
        seen = f"status {context.outcome.answer.status}"
    assert seen == outcome, context.outcome


@behave.then("at most {runs:d} servers ran it")
def check_runs(context, runs):
    assert len(context.caller.ran) <= runs, context.caller.ran
    assert len(set(context.caller.ran)) == len(context.caller.ran)


@behave.when("{count:d} {kind} requests are called that may each be sent to {most:d} servers")
def call_many(context, count, kind, most):
    context.took = []
    for _ in range(count):
        started = time.monotonic()
        assert isinstance(_call(context, kind, most), call_outcomes.Answered)
        context.took.append((time.monotonic() - started) * 1000)


@behave.then("each took less than {milliseconds:d} ms")
def check_took(context, milliseconds):
    assert max(context.took) < milliseconds, sorted(context.took)[-3:]


@behave.when("a request is called whose caller disconnects after {milliseconds:d} ms")
def call_leaving(context, milliseconds):
    leaves_at = time.monotonic() + milliseconds / 1000
    started = time.monotonic()
    context.outcome = _call(context, "idempotent", 1, lambda: time.monotonic() > leaves_at)
    context.took = [(time.monotonic() - started) * 1000]


@behave.then(
    "the call ends within {milliseconds:d} ms and its server is told that it is cancelled"
)
def check_left(context, milliseconds):
    assert context.took[0] < milliseconds, context.took
    assert context.caller.cancelled.wait(1.0)


@behave.given("an entry that has {configuration} and {heard} the platform")
def create_lookup(context, configuration, heard):
    known = directory.Directory(router.Router(7), server_fakes.UnusedCaller())
    if configuration == "a configuration":
        share = (routes.Share("desk", 1),)
        kind = routes.RouteKind.IDEMPOTENT
        route = routes.Route("calls", "h", "/calls/", kind, 1, 1, 0, share, 1, False, False, 0, 0)
        backends = (routes.Backend("desk", (), 1),)
        known.update_table(routes.RouteTable(1, (route,), backends, routes.Limits(1, 1, 1)))
    context.lookup = route_lookup.RouteLookup(known, lambda: heard == "has not heard")


@behave.when("a caller asks for the path {path}")
def look_up(context, path):
    context.found = context.lookup.find("h", path, "id")


@behave.then("the lookup says {answer}")
def check_lookup(context, answer):
    found = context.found
    if found.is_ok():
        assert found.ok.name == answer, found
        return
    assert found.error.is_certain == (answer == "missing"), found
    assert found.error.is_certain or found.error.retry_after_ms > 0, found
