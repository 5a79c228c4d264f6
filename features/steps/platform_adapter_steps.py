"""Steps for decoding the platform's messages in the adapter."""

import copy
import json
import pathlib
import re
import tempfile
import time
import tomllib
import unittest.mock

import behave
import expression

import ending_server
import raw_server
from oleander_adapter import (
    boot,
    event_streams,
    operator_records,
    server_calls,
    server_records,
    store,
)
from oleander_base import clock, http_pool
from oleander_direct import directory, servers
from oleander_platform import recordlog
from oleander_routing import router

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_PLATFORM_NAMES = re.compile(
    r"x-oleanderdeal-|/api/(log|lots|items|order|report|ready)|fencing_token|keyed\.(op|servers)"
    r"|OLEANDERDEAL_BOOT|path_prefix.*traffic_split",
    re.IGNORECASE,
)
_CALL_SECONDS = 5.0
_STORE_SECONDS = 2.0
_CLOSE_SECONDS = 0.1
"""Longest time that a server needs to close its connections."""
_REGISTRATION = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
}
_CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/a/",
            "kind": "idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 800,
            "priority": 2,
            "traffic_split": [{"service": "desk", "weight": 90}],
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "desk", "engine": {"stride": 49, "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "idle_timeout_ms": 3},
}
_SETTINGS = """
node_name = "front-1"
ip = "10.0.0.2"
zone = "z"
internal_ports = [7380, 7395]
listen = { front = "10.0.0.2:80", ready = "10.0.0.2:81" }
bounds = { grace_s = 8, lease_ms = 3000, status_s = 120 }
platform = { address = "10.0.0.3:80", parts = 24, retention_s = 300 }
"""


class FakeServerCaller:
    """Server caller without connections."""

    def close_idle(self, address):
        pass


class FakeAnswer:
    """Pooled answer that returns the given lines, then the end of the body."""

    def __init__(self, lines):
        self._lines = lines

    def find_header(self, name):
        return "3"

    def read_line(self):
        if not self._lines:
            return expression.Ok(b"")
        return expression.Ok(self._lines.pop(0))

    def close(self):
        pass


def _apply_change(content, change):
    """Return a copy with one change: `nothing`, `no NAME`, or PATH=JSON with a dotted path."""
    changed = copy.deepcopy(content)
    if change == "nothing":
        return changed
    if change.startswith("no "):
        del changed[change.removeprefix("no ")]
        return changed
    place, _, text = change.partition("=")
    *parents, last = place.split(".")
    target = changed
    for parent in parents:
        target = target[int(parent) if parent.isdigit() else parent]
    try:
        target[last] = json.loads(text)
    except ValueError:
        target[last] = text
    return changed


def _create_directory():
    return directory.Directory(router.Router(1), FakeServerCaller())


@behave.given("the registrations good and {key} with {change}")
def put_registrations(context, key, change):
    context.known = _create_directory()
    sink = server_records.ServerSink(context.known)
    sink.put("good", json.dumps(_REGISTRATION).encode())
    if change.startswith("bytes "):
        sink.put(key, change.removeprefix("bytes ").encode())
    else:
        sink.put(key, json.dumps(_apply_change(_REGISTRATION, change)).encode())


@behave.then("the servers in rotation are {names}")
def check_servers(context, names):
    listed = " ".join(sorted(s.server_id for s in context.known.list_servers("desk")))
    assert (listed or "none") == names, listed


@behave.then("the incarnation of {name} is {incarnation}")
def check_incarnation(context, name, incarnation):
    assert context.known.find_server(name).incarnation == incarnation


@behave.given("a list that was silent for {silent:f} s and then removes a server")
def remove_after_silence(context, silent):
    context.now = 1000.0
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        context.known = _create_directory()
        sink = server_records.ServerSink(context.known)
        sink.put("good", json.dumps(_REGISTRATION).encode())
        sink.mark_current()
        context.now += silent
        sink.delete("good")
        sink.mark_current()


@behave.then("after {seconds:f} s more the server is {state}")
def check_removed(context, seconds, state):
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        context.now += seconds
        context.known.record_list_read()
    is_in = context.known.find_server("good") is not None
    assert is_in == (state == "in rotation"), state


@behave.given("a configuration with {change}")
def put_configuration(context, change):
    context.known = _create_directory()
    value = json.dumps(_apply_change(_CONFIGURATION, change)).encode()
    operator_records.OperatorSink(context.known).put("config", value)


@behave.then("this configuration is {verdict}")
def check_configuration(context, verdict):
    assert (context.known.table is not None) == (verdict == "in force")


@behave.given("the configurations {first:d} and then {second:d}")
def put_two(context, first, second):
    context.known = _create_directory()
    sink = operator_records.OperatorSink(context.known)
    for version in (first, second):
        sink.put("config", json.dumps(_CONFIGURATION | {"version": version}).encode())


@behave.then("the version of the routes is {version:d}")
def check_version(context, version):
    assert context.known.table.version == version


@behave.given("a stream after event {last:d} of {lines}")
def read_events(context, last, lines):
    pieces = [f"{line}\n".encode() for line in lines.split(",")]
    stream = event_streams.ServerSentEventStream(FakeAnswer(pieces), last, lambda: False)
    context.events = []
    while True:
        read = stream.read_event()
        if read.is_error() or read.ok.is_end:
            context.events.append("broken" if read.is_error() else "end")
            return
        context.events.append(read.ok.text.replace("\n", "_") + f"@{read.ok.version}")


@behave.then("its events are {events}")
def check_events(context, events):
    assert " ".join(context.events) == events, context.events


@behave.given("a settings file with {change}")
def write_settings(context, change):
    changed = _apply_change(tomllib.loads(_SETTINGS), change)
    lines = [f"{name} = {_format_toml(value)}" for name, value in changed.items()]
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write("\n".join(lines))
        file.flush()
        context.boot = boot.read_boot_settings(file.name)


def _format_toml(value):
    if isinstance(value, dict):
        inner = ", ".join(f"{key} = {_format_toml(item)}" for key, item in value.items())
        return "{ " + inner + " }"
    return json.dumps(value)


@behave.then("the settings are {verdict}")
def check_settings(context, verdict):
    seen = "sound"
    if context.boot.is_error():
        seen = "faulty in " + " ".join(item.place for item in context.boot.error.items)
    assert seen == verdict, seen


@behave.then("no file of the product, its stand-ins or its bench has a name of the platform")
def check_names(context):
    found = [
        f"{path.relative_to(_ROOT)}:{number}"
        for folder in ("libs", "programs", "standins", "bench")
        for path in (_ROOT / folder).rglob("*.py")
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if _PLATFORM_NAMES.search(line)
    ]
    assert not found, found


@behave.given("a server that {keeps} its connections")
def start_engine(context, keeps):
    body = json.dumps({"models": [{"name": "m", "version": 1}], "busy": False, "sequence": 4})
    answer = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    context.engine = raw_server.RawServer([answer.encode()], keeps == "keeps open")
    context.add_cleanup(context.engine.stop)


@behave.when("an entry asks for its state and orders it to load weights, {times:d} times")
def order_engine(context, times):
    caller = server_calls.HttpServerCaller(http_pool.ConnectionPool())
    address = context.engine.url.removeprefix("http://")
    engine = servers.Server("i-1", 1, "desk", address, "z", 8, False, ())
    order = servers.VersionOrder("m", 2, True, "holder", 7, 4)
    context.outcomes = []
    for _ in range(times):
        assert caller.read_state(engine, clock.start_deadline(_CALL_SECONDS)).is_ok()
        time.sleep(_CLOSE_SECONDS)
        outcome = caller.order(engine, order, clock.start_deadline(_CALL_SECONDS))
        context.outcomes.append(outcome)
        time.sleep(_CLOSE_SECONDS)


@behave.then(
    "the server saw {requests:d} requests on {connections:d} connections, and took each order"
)
def check_connections(context, requests, connections):
    assert len(context.engine.requests) == requests, context.engine.requests
    assert context.engine.connections == connections, context.engine.connections
    assert context.outcomes == [servers.OrderTaken(True)] * (requests // 2), context.outcomes


@behave.given("a store that {does} while it reads an append on a {connection} connection")
def create_ending_store(context, does, connection):
    context.ending = ending_server.EndingServer(does, b"log-append")
    context.add_cleanup(context.ending.stop)
    context.record_log = store.StoreRecordLog(context.ending.address)
    if connection == "kept":
        context.record_log.read("t", 0, 0, 0, clock.start_deadline(_STORE_SECONDS))


@behave.when("a record is appended there")
def append_there(context):
    deadline = clock.start_deadline(_STORE_SECONDS)
    context.appended = context.record_log.append("t", 0, [b"record"], deadline)


@behave.then("the append says that it may have had effect")
def check_append(context):
    assert context.ending.runs == 1, context.ending.runs
    assert context.appended.error.may_have_effect, context.appended


@behave.given("a store that answers an append on a {connection} connection with {status}")
def create_refusing_store(context, connection, status):
    create_ending_store(context, f"breaks off, then {status}", connection)
    context.ending.runs = 1


@behave.when("a record is appended there {how}")
def append_how(context, how):
    context.first_runs = context.ending.runs
    if how == "anywhere":
        append_there(context)
        return
    end_offset = int(how.removeprefix("at "))
    deadline = clock.start_deadline(_STORE_SECONDS)
    context.appended = context.record_log.append_at("t", 0, [b"record"], end_offset, deadline)


@behave.then("after {sends:d} sends it is reported as {outcome}")
def check_sends(context, sends, outcome):
    assert context.ending.runs - context.first_runs == sends, context.ending.runs
    error = context.appended.error
    if isinstance(error, recordlog.EndMoved):
        seen = "end moved"
    else:
        seen = "doubtful" if error.may_have_effect else "no effect"
    assert seen == outcome, error
