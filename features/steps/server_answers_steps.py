"""Steps for what the answers of backend servers prove about their requests."""

import dataclasses

import behave

import ending_server
import stuttering_server
from oleander_adapter import http_names, server_calls
from oleander_base import clock, http_pool
from oleander_direct import servers

_SECONDS = 2.0
_ID = "r-1"
_OTHER_ID = "r-0"
_NAMED = f"{http_names.REQUEST_ID}: {_ID}\r\n"
_STAMPED = f"{_NAMED}{http_names.SERVER_STAMP}: stamp\r\n"
_HEADERS = {
    "none": "",
    "not-run": f"{http_names.NOT_RUN}: 1\r\n{http_names.REQUEST_ID}: {_ID}\r\n",
    "another": f"{http_names.REQUEST_ID}: {_OTHER_ID}\r\n",
    "another, not-run": f"{http_names.NOT_RUN}: 1\r\n{http_names.REQUEST_ID}: {_OTHER_ID}\r\n",
    "unknown": f"{http_names.REQUEST_ID}: never-sent\r\n",
    "nameless": f"{http_names.NOT_RUN}: 1\r\n",
    "named": _NAMED,
    "named, empty stamp": f"{_NAMED}{http_names.SERVER_STAMP}: \r\n",
    "stamped": _STAMPED,
    "stamped, encoded": f"{_STAMPED}Content-Encoding: gzip\r\n",
}
_CALL = servers.CallRequest(_ID, "h", "POST", ending_server.FATAL.decode(), (), b"b", True)
_OTHER_CALL = dataclasses.replace(_CALL, request_id=_OTHER_ID, target="other")
_ORDER = servers.VersionOrder("m", 2, True, "holder", 7, 4)


def _is_never_cancelled():
    return False


def _send(caller, server, request):
    deadline = clock.start_deadline(_SECONDS)
    if request in {"a call", "another call"}:
        return caller.call(server, _CALL, deadline, _is_never_cancelled)
    if request == "an item":
        sent = servers.GenerateRequest(_CALL, 0, 5)
        return caller.generate(server, sent, deadline, _is_never_cancelled)
    if request == "a report":
        return caller.read_state(server, deadline)
    return caller.order(server, _ORDER, deadline)


def _describe(outcome):
    """Return what an outcome says about whether the request ran."""
    if isinstance(outcome, servers.OrderOutcome):
        names = {servers.OrderTaken: "ran", servers.OrderRefused: "did not run"}
        return names.get(type(outcome), "may have run")
    if outcome.is_error():
        return "may have run" if outcome.error.was_sent else "did not run"
    if isinstance(outcome.ok, servers.EventStream):
        return "ran"
    answer = outcome.ok
    return "did not run" if answer.did_not_run or answer.is_wrong_server else "ran"


@behave.given("a backend server that {does} with the headers {headers}")
def start_server(context, does, headers):
    is_broken = does.startswith("breaks off")
    does = does if is_broken else f"breaks off, then {does.removeprefix('answers ')}"
    context.ending = ending_server.EndingServer(does, b" /")
    context.add_cleanup(context.ending.stop)
    context.ending.headers = _HEADERS[headers]
    context.ending.runs = 0 if is_broken else 1
    context.first_runs = context.ending.runs


@behave.when("an entry sends it {request} on a kept connection")
def send_request(context, request):
    pool = http_pool.ConnectionPool()
    address = context.ending.address
    context.add_cleanup(pool.close_idle, address)
    server = servers.Server("i-1", 1, "desk", address, "z", 8, False, ())
    caller = server_calls.HttpServerCaller(pool)
    caller.call(server, _OTHER_CALL, clock.start_deadline(_SECONDS), _is_never_cancelled)
    context.pool = pool
    _use_connection(context, "warm-up")
    context.opened_before = pool.opened_count
    context.outcome = _send(caller, server, request)


@behave.when("an entry sends it a call on a new connection")
def send_first(context):
    server = servers.Server("i-1", 1, "desk", context.ending.address, "z", 8, False, ())
    caller = server_calls.HttpServerCaller(http_pool.ConnectionPool())
    context.outcome = _send(caller, server, "a call")


def _use_connection(context, request_id):
    headers = (("Host", "h"),)
    target = context.ending.address
    request = http_pool.PoolRequest(target, "GET", "warm-up", headers, request_id=request_id)
    deadline = clock.start_deadline(_SECONDS)
    assert context.pool.call(request, deadline, _is_never_cancelled).is_ok()


@behave.then("the connection is {left}")
def check_connection(context, left):
    _use_connection(context, "check")
    opened = context.pool.opened_count - context.opened_before
    assert opened == (1 if left == "closed" else 0), opened


@behave.then("after {sends:d} sends the request {outcome}")
def check_outcome(context, sends, outcome):
    assert context.ending.runs - context.first_runs == sends, context.ending.runs
    assert _describe(context.outcome) == outcome, context.outcome


def _build_answer(status, headers, body=b""):
    head = f"HTTP/1.1 {status} Answer\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


_ANSWERS = {
    "500": _build_answer(500, _STAMPED),
    "503 not run": _build_answer(503, _HEADERS["not-run"]),
    "503 not run without id": _build_answer(503, f"{http_names.NOT_RUN}: 1\r\n"),
    "409": _build_answer(409, ""),
    "a report": _build_answer(200, "", b'{"stage": "both", "busy": true, "sequence": 3}'),
}
_LAST_ANSWERS = {
    "order": _build_answer(202, ""),
    "report": _build_answer(200, "", b'{"models": [], "busy": false, "sequence": 4}'),
}


@behave.given(
    "a backend server that answers {first}, then a success, and repeats each answer late"
)
def start_stuttering(context, first):
    context.first_answer = _ANSWERS[first]


@behave.when("an entry sends it {one}, then {another}")
def send_two(context, one, another):
    last = _LAST_ANSWERS.get(another.split()[-1], _build_answer(200, _STAMPED, b"ab"))
    server = stuttering_server.StutteringServer([context.first_answer, last])
    context.add_cleanup(server.stop)
    pool = http_pool.ConnectionPool()
    context.add_cleanup(pool.close_idle, server.address)
    caller = server_calls.HttpServerCaller(pool)
    target = servers.Server("i-1", 1, "desk", server.address, "z", 8, False, ())
    if another == "another call":
        deadline = clock.start_deadline(_SECONDS)
        caller.call(target, _OTHER_CALL, deadline, _is_never_cancelled)
    else:
        _send(caller, target, one)
    context.outcome = _send(
        caller, target, another.replace("the same", one.split()[0]).replace("another", "a")
    )
    context.send = lambda request: _send(caller, target, request)


@behave.when("it sends {request} once more")
def send_again(context, request):
    context.outcome = context.send(request)


@behave.then("the last of them got {answer}")
def check_last(context, answer):
    outcome = context.outcome
    if answer == "none" and isinstance(outcome, servers.OrderOutcome):
        assert isinstance(outcome, servers.OrderUnknown), outcome
        return
    if answer == "none":
        assert outcome.is_error() and outcome.error.was_sent, outcome
        return
    if isinstance(outcome, servers.OrderOutcome):
        assert outcome == servers.OrderTaken(is_done=False), outcome
        return
    assert outcome.is_ok(), outcome
    if isinstance(outcome.ok, servers.EngineState):
        assert outcome.ok.accepted_orders == 4, outcome
    elif isinstance(outcome.ok, servers.CallAnswer):
        assert outcome.ok.status == 200, outcome
