"""Steps for the adapters to the platform and to backend servers."""

import json
import socket
import threading

import behave

import raw_server
import support
from oleander_backends import engine, http_engine, http_service
from oleander_base import clock
from oleander_platform import http_hostlist, http_logservice

_STREAM = "s"
_SECONDS = 10.0
_SLOW_ANSWER_TIMEOUT_SECONDS = 0.3
_FRAMINGS = ("Content-Length", "Transfer-Encoding", "Connection: close")
_BODIES = {
    "nested": b"[" * 200_000,
    "invalid UTF-8": b'{"first_offset": "\xff"}',
    "bad chunk": b"zz\r\n",
    "endless": b" " * 20_000_000,
}


def _generation():
    return engine.Generation("r", "prompt", "", 8, 0, "", 0)


def _read_stream(adapter, deadline):
    """Return the last item of a stream; assert that all items before it are chunks."""
    opened = adapter.generate(_generation(), deadline)
    if opened.is_error():
        return opened
    items = list(opened.ok)
    assert all(item.is_ok() for item in items[:-1]), items
    return items[-1]


_CALLS = {
    "append": lambda log, deadline: log.append(_STREAM, [{"n": 1}], deadline),
    "read": lambda log, deadline: log.read(_STREAM, 0, 0, deadline),
    "hosts": lambda hosts, deadline: hosts.read(deadline),
    "service": lambda service, deadline: service.call("book", "key", b"body", deadline),
    "load": lambda model, deadline: model.load_version(engine.LoadOrder("m", 7, 9), deadline),
    "version": lambda model, deadline: model.read_version(deadline),
    "report": lambda model, deadline: model.read_load(deadline),
    "generate": lambda model, deadline: model.generate(_generation(), deadline),
    "stream": _read_stream,
}
_ADAPTERS = {
    "append": http_logservice.HttpLogService,
    "read": http_logservice.HttpLogService,
    "hosts": http_hostlist.HttpHostList,
    "service": http_service.HttpService,
} | dict.fromkeys(("load", "version", "report", "generate", "stream"), http_engine.HttpEngine)
_GOOD_BODIES = {
    "append": '{"first_offset": 0, "count": 1}',
    "read": '{"records": [], "first_offset": 0, "next_offset": 0}',
    "hosts": '{"hosts": []}',
    "service": "{}",
    "load": '{"version": 7, "loading": false}',
    "version": '{"version": 7, "loading": false}',
    "report": '{"running": 0, "waiting": 0, "slots": 1}',
    "stream": '{"text": "a", "tokens": 1, "last": true}',
}


def _call(call, url, seconds=_SECONDS):
    """Make a call with a new adapter."""
    return _CALLS[call](_ADAPTERS[call](url), clock.start_deadline(seconds))


def _proves_no_effect(error):
    if hasattr(error, "may_have_effect"):
        return not error.may_have_effect
    return getattr(error, "not_run", False)


def _start_faulty(context, kind, fault):
    cluster = support.get_cluster(context)
    context.kind = kind
    cluster.start_stand_in(kind, kind)
    context.url = cluster.url(kind)
    if fault == "frozen":
        cluster.freeze(kind)
    else:
        cluster.control(kind, **fault)
    context.fault = fault


def _end_fault(context):
    if context.fault == "frozen":
        context.cluster.thaw(context.kind)
    else:
        context.cluster.control(context.kind, outage="", slow_ms=0)


@behave.given("a log stand-in with the adapter's fault {fault}")
def start_log(context, fault):
    _start_faulty(context, "logservice", json.loads(fault))


@behave.given("a service stand-in with the adapter's fault {fault}")
def start_service(context, fault):
    _start_faulty(context, "service", json.loads(fault))


@behave.when("one record is appended through the log adapter within {budget:d} ms")
def append_record(context, budget):
    context.result = _call("append", context.url, budget / 1000)


@behave.when("records are appended through the log adapter until one fails")
def append_until_failure(context):
    for _ in range(1000):
        context.result = _call("append", context.url)
        if context.result.is_error():
            return


@behave.then("the log adapter says that the append may have had an effect: {effect}")
def check_effect(context, effect):
    assert context.result.error.may_have_effect == (effect == "yes"), context.result


@behave.then("the log adapter says to retry after {milliseconds:d} ms")
@behave.then("the adapter's error says to retry after {milliseconds:d} ms")
def check_retry_after(context, milliseconds):
    assert context.result.error.retry_after_ms == milliseconds, context.result


@behave.then("after the fault the log stand-in holds {records:d} records")
def check_records(context, records):
    _end_fault(context)
    _append_marker(context)

    def count():
        found = context.cluster.read_control("logservice")["records"]
        return found.get(_STREAM, 0) == records

    support.wait_until(count, f"{records} records")


def _append_marker(context):
    """Append to another stream, which completes after the appends that were queued before."""
    log = http_logservice.HttpLogService(context.url)
    assert log.append("marker", [{}], clock.start_deadline(_SECONDS)).is_ok()


@behave.when("the operation book is called through the service adapter within {budget:d} ms")
def call_service(context, budget):
    context.result = _call("service", context.url, budget / 1000)


@behave.then("the service adapter says {result}")
def check_service(context, result):
    if context.result.is_ok():
        assert f"status {context.result.ok.status}" == result, context.result
    else:
        said = "not run" if context.result.error.not_run else "may have run"
        assert said == result, context.result


@behave.then("the service stand-in ran the call {runs:d} times")
def check_runs(context, runs):
    _end_fault(context)

    def count():
        found = context.cluster.read_control("service")["runs_by_key"]
        return found.get("key", 0) == runs

    support.wait_until(count, f"{runs} runs")


@behave.when("{call} is made through the adapter to a port where nothing listens")
def call_closed_port(context, call):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    context.result = _call(call, url)


def _create_answer(head, body):
    if head == "nothing":
        return b""
    content = _BODIES.get(body, body.encode())
    lines = head.split(";")
    if not any(framing in head for framing in _FRAMINGS):
        content += b"\n"
        lines.append(f"Content-Length: {len(content)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + content


def _serve(context, pieces, **options):
    if getattr(context, "server", None) is not None:
        context.server.stop()
    context.server = raw_server.RawServer(pieces, **options)
    context.add_cleanup(context.server.stop)


@behave.when("{call} is made through the adapter and answered with {head} and {body}")
def call_raw(context, call, head, body):
    _serve(context, [_create_answer(head, body)])
    context.result = _call(call, context.server.url)


@behave.when(
    "{call} is made through the adapter and its answer arrives byte by byte past the deadline"
)
def call_slow_server(context, call):
    answer = _create_answer("HTTP/1.1 200", _GOOD_BODIES[call])
    _serve(context, [answer[at : at + 1] for at in range(len(answer))], pause=0.02)
    context.result = _call(call, context.server.url, _SLOW_ANSWER_TIMEOUT_SECONDS)


@behave.when("{call} is made twice through one adapter and answered only the first time")
def call_twice(context, call):
    answer = _create_answer("HTTP/1.1 200", _GOOD_BODIES[call])
    _serve(context, [answer], keeps_open=True, max_answers=1)
    adapter = _ADAPTERS[call](context.server.url)
    first = _CALLS[call](adapter, clock.start_deadline(_SECONDS))
    assert first.is_ok(), first
    context.result = _CALLS[call](adapter, clock.start_deadline(_SECONDS))


@behave.then("the adapter's error names {detail} and says that something may have been done")
def check_uncertain(context, detail):
    assert detail in context.result.error.detail, context.result
    assert not _proves_no_effect(context.result.error), context.result


@behave.then("the adapter's error says that something may have been done")
def check_uncertain_unnamed(context):
    check_uncertain(context, "")


@behave.then("the adapter's error names {detail} and says that nothing was done")
def check_certain(context, detail):
    assert detail in context.result.error.detail, context.result
    assert _proves_no_effect(context.result.error), context.result


@behave.then("the adapter's error says that nothing was done")
def check_certain_unnamed(context):
    check_certain(context, "")


@behave.then("the adapter reports an error and its server received {requests:d} requests")
def check_requests(context, requests):
    assert context.result.is_error(), context.result
    assert len(context.server.requests) == requests, context.server.requests


@behave.given("a server for the adapter that {closes} after each answer")
def start_host_server(context, closes):
    answer = _create_answer("HTTP/1.1 200", '{"hosts": []}')
    _serve(context, [answer], keeps_open=closes == "keeps connections open")


@behave.when("the host list is read {times:d} times through the adapter")
def read_hosts(context, times):
    hosts = http_hostlist.HttpHostList(context.server.url)
    for _ in range(times):
        assert hosts.read(clock.start_deadline(_SECONDS)).is_ok()


@behave.then("the adapter's server received {requests:d} requests on {connections:d} connections")
def check_connections(context, requests, connections):
    assert len(context.server.requests) == requests, context.server.requests
    assert context.server.connections == connections, context.server.connections


@behave.given("an engine stand-in for the adapter that takes {token_ms:d} ms for a token")
def start_engine(context, token_ms):
    cluster = support.get_cluster(context)
    cluster.start_stand_in("engine", "engine", "--token-ms", token_ms, "--prefill-ms", 0)


@behave.given("a generation that another thread reads through the engine adapter")
def start_reader(context):
    model = http_engine.HttpEngine(context.cluster.url("engine"))
    context.generation = model.generate(_generation(), clock.start_deadline(60.0)).ok
    context.items = []
    context.reader = threading.Thread(
        target=lambda: context.items.extend(context.generation), daemon=True
    )
    context.reader.start()
    support.wait_until(
        lambda: context.cluster.read_control("engine")["running"] == 1, "the generation runs"
    )


@behave.when("the generation is cancelled through the engine adapter")
def cancel_generation(context):
    context.generation.cancel()


@behave.given("the engine stand-in for the adapter is {state}")
def change_engine(context, state):
    if state == "frozen":
        context.cluster.freeze("engine")


@behave.then("the engine adapter's reader ends with one error that names {detail}")
def check_reader(context, detail):
    context.reader.join(_SECONDS)
    assert not context.reader.is_alive()
    assert [item.is_error() for item in context.items] == [True], context.items
    assert detail in context.items[0].error.detail, context.items


@behave.then("the engine stand-in has {running:d} generations running and {cancelled:d} cancelled")
def check_engine(context, running, cancelled):
    context.cluster.thaw("engine")

    def matches():
        counts = context.cluster.read_control("engine")
        outcomes = [item["outcome"] for item in counts["generations"].values()]
        return counts["running"] == running and outcomes.count("cancelled") == cancelled

    support.wait_until(matches, f"{running} running, {cancelled} cancelled")
