"""Steps for readers of answers that end early."""

import http.client
import types

import behave
import expression

import raw_server
from oleander_adapter import duties, store
from oleander_backends import engine, http_engine, http_service
from oleander_base import clock
from oleander_duties import platform
from oleander_platform import http_hostlist, http_logservice, recordlog
from oleander_standins import client
from oleanderdeal import entry_clients

_SECONDS = 5.0
_MEMBER = recordlog.MemberRequest("g", "m", "t", 1000, 0)
_HOST = b'{"name": "a", "address": "127.0.0.1:1", "failure_domain": "c", "state": "live"}'
_RECORD = b"\0\0\0\1r"
_HEAD = b"HTTP/1.1 200 OK\r\n%b\r\nContent-Type: application/json\r\n\r\n"


def _read_generation(url, deadline):
    generation = engine.Generation("r", "prompt", "", 8, 0, "", 0)
    opened = http_engine.HttpEngine(url).generate(generation, deadline)
    return opened if opened.is_error() else list(opened.ok)[-1]


def _report_usage(url, deadline):
    report = platform.UsageReport(1, {"red": 1})
    outcome = _open_duties(url).report_usage(report, platform.DutyHolder("n", 1), deadline)
    if isinstance(outcome, platform.DutyDone):
        return expression.Ok(outcome)
    return expression.Error(outcome)


def _open_duties(url):
    return duties.PlatformDuties(url.removeprefix("http://"))


def _open_store(url):
    return store.StoreRecordLog(url.removeprefix("http://"))


def _send_request(url, deadline):
    try:
        return expression.Ok(client.call("GET", url, None, {}, deadline.remaining))
    except (OSError, http.client.HTTPException) as error:
        return expression.Error(types.SimpleNamespace(detail=repr(error)))


def _call_service(url, deadline):
    return http_service.HttpService(url).call("book", "key", b"body", deadline)


_CALLS = {
    "an append to the log": (
        lambda url, deadline: http_logservice.HttpLogService(url).append("s", [{}], deadline),
        (b'{"first_offset": 0, ', b'"count": 1}'),
    ),
    "a read of the log": (
        lambda url, deadline: http_logservice.HttpLogService(url).read("s", 0, 0, deadline),
        (b'{"records": [], "first_offset": 0, ', b'"next_offset": 0}'),
    ),
    "a read of the hosts": (
        lambda url, deadline: http_hostlist.HttpHostList(url).read(deadline),
        (b'{"hosts": [', _HOST, b"]}"),
    ),
    "a call of a service": (_call_service, (b"one half,", b" the other")),
    "an empty call of a service": (_call_service, ()),
    "an order to load weights": (
        lambda url, deadline: http_engine.HttpEngine(url).load_version(
            engine.LoadOrder("m", 7, 9), deadline
        ),
        (b'{"version": 7, ', b'"loading": false}'),
    ),
    "a read of the version": (
        lambda url, deadline: http_engine.HttpEngine(url).read_version(deadline),
        (b'{"version": 7, ', b'"loading": false}'),
    ),
    "a read of the load": (
        lambda url, deadline: http_engine.HttpEngine(url).read_load(deadline),
        (b'{"running": 0, "waiting": 0, ', b'"slots": 1}'),
    ),
    "a generation": (
        _read_generation,
        (b'{"text": "a", "tokens": 1}\n', b'{"text": "b", "tokens": 1, "last": true}\n'),
    ),
    "a read of an entry": (
        lambda url, deadline: entry_clients.HttpEntryClient("").read_report(url, deadline),
        (b'{"counts": ', b'{"a": 1}}'),
    ),
    "a record for the store": (
        lambda url, deadline: _open_store(url).append("t", 0, [b"r"], deadline),
        (b'{"offset": 0, ', b'"end": 1}'),
    ),
    "a page of the store": (
        lambda url, deadline: _open_store(url).read("t", 0, 0, 0, deadline),
        (b"\0" * 7 + b"\2" + b"\0" * 8 + _RECORD, _RECORD),
    ),
    "the newest of the store": (
        lambda url, deadline: _open_store(url).read_newest("keyed.t", deadline),
        (b'{"items": [], ', b'"has_more": false, "end": 0}'),
    ),
    "a membership": (
        lambda url, deadline: _open_store(url).join(_MEMBER, deadline),
        (b'{"generation": 1, ', b'"parts": []}'),
    ),
    "an end of a membership": (
        lambda url, deadline: _open_store(url).leave(_MEMBER, deadline),
        (),
    ),
    "a usage report": (_report_usage, (b"{", b"}")),
    "a request of a stand-in": (_send_request, (b"one half,", b" the other")),
    "an empty request of a stand-in": (_send_request, ()),
}
"""How each call is made, and the parts of the body of its answer."""


@behave.when("{call} gets each beginning of an answer {framing}")
def send_beginnings(context, call, framing):
    make, parts = _CALLS[call]
    if framing == "in chunks":
        body = b"".join(b"%04x\r\n%b\r\n" % (len(part), part) for part in parts)
        answer = _HEAD % b"Transfer-Encoding: chunked" + body + b"0000\r\n\r\n"
        context.body_end = len(_HEAD % b"Transfer-Encoding: chunked") + len(body) - len("\r\n")
    else:
        body = b"".join(parts)
        answer = _HEAD % (b"Content-Length: %d" % len(body)) + body
        context.body_end = len(answer)
    pieces = [b""]
    server = raw_server.RawServer(pieces, max_answers=10_000)
    context.add_cleanup(server.stop)
    context.results = []
    for end in range(len(answer) + 1):
        pieces[0] = answer[:end]
        context.results.append(make(server.url, clock.start_deadline(_SECONDS)))
    context.answer = answer


@behave.then("it fails until the body is whole, and is never told that nothing was done")
def check_results(context):
    assert context.results[-1].is_ok(), context.results[-1]
    early = context.results[: context.body_end]
    taken = [end for end, result in enumerate(early) if result.is_ok()]
    seen = [(context.answer[max(0, end - 30) : end], early[end].ok) for end in taken]
    assert not taken, (len(taken), seen[:1], seen[-1:])
    untrue = [result.error for result in early if _proves_no_effect(result.error)]
    assert not untrue, untrue[0]


def _proves_no_effect(error):
    if hasattr(error, "may_have_effect"):
        return not error.may_have_effect
    return getattr(error, "not_run", False)
