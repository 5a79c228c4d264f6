"""Steps for front programs whose servers' answers are cut, are not their own, or come twice."""

import http.client
import json

import behave

import faulty_server
import front_platform
import front_site
import platform_messages
import platform_standin

_SEED = 51
_LONG_EVENT_SECONDS = 0.1
"""Time of an event at which a run still goes on when its request is sent again."""
_CALLS = {"a call that may be repeated": "/calls/a", "a call that may run once": "/charges/a"}
_PATHS = _CALLS | {
    "a stream": "/streams/a",
    "a stream that may be resumed": "/streams/a",
}
_BATCHED = ("an item", "an item's score")
_FAILED = 500
_NO_RESULT = (502, 504)
"""The statuses that leave open whether a request ran."""
_REFUSALS = (408, 421, 429, 503)
"""The statuses that promise that a request did not run."""


@behave.given("a front program with {count} server, whose first answer to {request} {fault}")
@behave.given("a front program with {count} servers, whose first answer to {request} {fault}")
def start_front(context, count, request, fault):
    request, kind = _split_request(f"{request} {fault}")
    fault = faulty_server.Fault(kind)
    site = context.site = front_site.FrontSite(_SEED, fronts=1, services=0, engines=0)
    context.add_cleanup(site.stop)
    configuration = platform_messages.describe_configuration(4)
    configuration["routes"].append(
        platform_messages.describe_route(
            "streams", "/streams/", "streaming", "engines", resumable=request.endswith("resumed")
        )
    )
    site.store.put("keyed.op", "config", configuration)
    is_service = request in ("an item's score", *_CALLS)
    site.services = [_build_server(f"desk-{n}", fault, is_service) for n in range(2)]
    site.engines = [_build_server(f"engine-{n}", fault, not is_service) for n in range(2)]
    context.fault = fault
    context.servers = site.services if is_service else site.engines
    firsts, seconds = zip(site.services, site.engines, strict=True)
    _register(site, firsts)
    if count == "two":
        _register(site, seconds)
    elif count.endswith("then two"):
        fault.on_late_answer = lambda: _register(site, seconds)


def _build_server(name, fault, is_faulty):
    server = faulty_server.FaultyServer(name, fault if is_faulty else faulty_server.Fault("", 0))
    if fault.kind.startswith("comes again"):
        server.event_seconds = _LONG_EVENT_SECONDS
    return server


def _register(site, servers):
    """Register servers and wait until the program knows them."""
    front = site.fronts[0]

    def count_known():
        return front.output.read_text().count('"server-seen"')

    expected = count_known() + len(servers)
    for server in servers:
        site.register(server)
    front_platform.wait_until(lambda: count_known() == expected, front.describe)


def _split_request(text):
    """Return the request that a text begins with, and the rest."""
    found = max((name for name in (*_PATHS, *_BATCHED) if text.startswith(name)), key=len)
    return found, text[len(found) + 1 :]


@behave.when("the front program is asked for {request}")
def ask(context, request):
    context.request = request
    context.outcome = _ask(context.site.fronts[0], request, "a")


def _ask(front, request, request_id):
    """Return the status and text of the answer; the text of an item has its score at the end."""
    if request in _PATHS:
        try:
            status, headers, body = front.ask("POST", _PATHS[request], b"body", request_id)
        except (OSError, http.client.HTTPException) as error:
            return None, repr(error)
        return status, f"{headers.get('X-Oleanderdeal-Server-Stamp')} {body.decode()}"
    batch = platform_messages.describe_batch([request_id])
    assert front.ask("POST", "/items/batch", batch, f"batch-{request_id}")[0] == 202
    listed = []

    def is_listed():
        answer = front.ask("GET", f"/api/lots/batch-{request_id}?after=0")
        listed.extend(json.loads(answer[2])["results"])
        return listed

    front_platform.wait_until(is_listed, front.describe)
    return listed[0]["state"], f"{listed[0].get('score')} {listed[0]['output']}"


def _describe_whole(request, request_id):
    """Return what a sound answer to a request is, as `_ask` does."""
    numbers = range(1, platform_standin.EVENTS + 1)
    if request in _CALLS:
        return 200, f"stamp-{request_id} answer to body"
    if request in _PATHS:
        events = "".join(f"id: {number}\ndata: {request_id}.{number}\n\n" for number in numbers)
        return 200, f"stamp-{request_id} {events}"
    text = "\n".join(f"{request_id}.{number}" for number in numbers)
    return "completed", f"stamp-score-{request_id} {text}"


@behave.then("it gets {outcome}, and the servers got it {sends}")
def check_outcome(context, outcome, sends):
    got = context.outcome
    if outcome == "no answer":
        may_break_off = context.request == "a stream"
        assert got[0] in _NO_RESULT or (may_break_off and got[0] is None), got
    else:
        assert got == _describe_whole(context.request, "a"), got
    sent = sum(len(server.faulty_ids) + len(server.seen) for server in context.servers)
    assert sent == {"once": 1, "twice": 2}[sends], sent


@behave.when("the program is asked for another")
def ask_another(context):
    context.another = _ask(context.site.fronts[0], context.request, "b")


@behave.then("each client gets its own answer or none, and nothing ran twice at once")
def check_answers(context):
    faulty_ids = [name for server in context.servers for name in server.faulty_ids]
    assert len(faulty_ids) == 1, faulty_ids
    assert context.fault.most_running <= 1, context.fault.most_running
    for request_id, got in (("a", context.outcome), ("b", context.another)):
        ran = request_id in context.fault.run_ids
        if got[0] == _FAILED:
            assert (request_id, ran) == (faulty_ids[0], False), (request_id, got)
        elif got[0] in _REFUSALS:
            assert not ran, (request_id, got)
        elif got[0] not in _NO_RESULT:
            assert got == _describe_whole(context.request, request_id), got
