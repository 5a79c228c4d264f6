"""Steps for streams that clients resume, and for the headers that servers receive."""

import re
import signal

import behave

import front_platform
import front_site
import platform_messages
import platform_standin
from oleander_adapter import server_calls
from oleander_base import clock, http_pool
from oleander_direct import servers

_SECONDS = 5.0
_HEDGE_EVENT_SECONDS = 0.06
"""Time of an event at which a stream of four takes longer than a hedge waits."""
_HOST = "h.example"
_NO_HEADER = "none"


def _is_never_cancelled():
    return False


def _find_header(headers, name):
    values = {key.lower(): value for key, value in headers.items()}
    return values.get(name.lower(), _NO_HEADER)


@behave.given("two front programs with streams on a {kind} route")
def start_fronts(context, kind):
    context.site = front_site.FrontSite(7, fronts=2, services=1, engines=3)
    context.add_cleanup(context.site.stop)
    configuration = platform_messages.describe_configuration(4)
    configuration["routes"].append(
        platform_messages.describe_route(
            "streams", "/streams/", "streaming", "engines", resumable=kind == "resumable"
        )
    )
    context.site.store.put("keyed.op", "config", configuration)
    for front in context.site.fronts:
        front_platform.wait_until(
            lambda front=front: front.ask("GET", "/streams/probe")[0] == 200, front.describe
        )
    for engine in context.site.engines:
        engine.seen.clear()


@behave.when("a client asks for the stream after event {last} while {trouble}")
def ask_for_stream(context, last, trouble):
    earlier, front = context.site.fronts
    if trouble == "the first server breaks off":
        for engine in context.site.engines:
            engine.lost_answers = 1
        context.site.engines[0].lost_answers = 0
    elif trouble.startswith("the servers take"):
        for engine in context.site.engines:
            engine.event_seconds = _HEDGE_EVENT_SECONDS
    elif trouble == "the front it asked before is gone":
        earlier.end()
    elif trouble == "the front it asked before stops":
        earlier.signal(signal.SIGTERM)
    elif trouble == "its own front stops":
        front.signal(signal.SIGTERM)
        front_platform.wait_until(lambda: not front.is_ready(), front.describe)
    headers = () if last == _NO_HEADER else (("Last-Event-Id", last),)
    for _ in range(len(context.site.engines)):
        context.answer = front.ask("POST", "/streams/a", b"prompt", "s1", headers=headers)
        if context.answer[0] == 200:
            return


@behave.then("it gets the events {numbers}")
def check_events(context, numbers):
    status, headers, body = context.answer
    assert status == 200, context.answer
    assert headers["X-Oleanderdeal-Server-Stamp"] == "stamp-s1", headers
    seen = " ".join(re.findall(r"^id: (\d+)$", body.decode(), re.MULTILINE))
    assert (seen or _NO_HEADER) == numbers, seen


@behave.then("all servers that were asked for it were given {last} as the last event")
def check_servers(context, last):
    given = [
        _find_header(run[3], "Last-Event-Id")
        for engine in context.site.engines
        for run in engine.seen
    ]
    assert given and set(given) == {last}, given


@behave.when("an entry sends {request} with the header {name} set to {value}")
def send_header(context, request, name, value):
    backend = platform_standin.BackendServer("i-1")
    context.add_cleanup(backend.stop)
    pool = http_pool.ConnectionPool()
    context.add_cleanup(pool.close_idle, backend.address)
    caller = server_calls.HttpServerCaller(pool)
    server = servers.Server("i-1", 1, "desk", backend.address, "z", 8, False, ())
    path = "/calls/a" if request == "a call" else "/items/a"
    call = servers.CallRequest("r-1", _HOST, "POST", path, ((name.lower(), value),), b"b", True)
    deadline = clock.start_deadline(_SECONDS)
    if request == "a call":
        assert caller.call(server, call, deadline, _is_never_cancelled).is_ok()
    else:
        resumed = int(request.rpartition(" ")[2]) if "resumed" in request else 0
        generated = servers.GenerateRequest(call, resumed, 5)
        stream = caller.generate(server, generated, deadline, _is_never_cancelled).ok
        while not stream.read_event().ok.is_end:
            pass
    context.header = _find_header(backend.seen[0][3], name)
    context.sent_value = value


@behave.then("its server receives {value}")
def check_header(context, value):
    if value == "another":
        assert context.header not in (_NO_HEADER, context.sent_value), context.header
    else:
        assert context.header == value, context.header
