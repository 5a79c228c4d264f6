"""Steps for odd records, answers and files of another writer."""

import json
import pathlib
import tempfile
import unittest.mock

import behave
import expression

import front_platform
import front_programs
import odd_readers
import odd_values
import platform_messages
import platform_standin
import raw_server
from oleander_adapter import batch_messages, boot, server_calls, store
from oleander_base import clock, http_pool, json_input, log, tasks
from oleander_batches import content, index_reader, manifests, submission
from oleander_direct import servers
from oleander_orders import order_leases
from oleander_platform import http_hostlist, keyed_follower, recordlog
from oleander_standins import recordlog as memory_log
from oleander_wire import codec
from oleanderdeal import usage_reporter

_ITEM = ["i", "/", [["a", "b"]], b"x", 9, "g", ["s", "h", "/", b"y"], 0]
_CBOR_INPUTS = {
    "submission": (["b", "h", "/", 0, "m", 1, 1, [_ITEM], ""], submission.decode_submission),
    "result": (["i", "done", "text", [1], "0.5"], submission.decode_result),
    "partial text": ([0, "text", 3, [[1, 3]]], submission.decode_partial),
    "manifest": ({"ranges": [[0, 2]], "bytes": 9}, manifests.decode_manifest),
    "frame": (
        {
            "type": "Hello",
            "protocol": 1,
            "name": "n",
            "incarnation": "i",
            "failure_domain": "z",
            "token": "",
        },
        codec.decode_message,
    ),
}
_HOST = {"name": "n", "address": "10.0.0.1:80", "failure_domain": "z", "state": "live"}
_ANSWERS = {
    "server's report": {
        "models": [{"name": "m", "version": 1}],
        "busy": False,
        "sequence": 1,
    },
    "membership": {"generation": 1, "parts": [["t", 0, 0]]},
    "append's answer": {"offset": 0, "end": 1},
    "list of keys": {"items": [], "has_more": False, "end": 0},
    "list of hosts": {"hosts": [_HOST]},
}
_BATCH = {
    "step": 1,
    "items": [{"id": "i", "path": "/", "headers": {"a": "b"}, "body": "eA==", "tokens": 9}],
}
_SETTINGS = {
    "node_name": "front-1",
    "ip": "10.0.0.2",
    "zone": "z",
    "internal_ports": [7380, 7395],
    "listen": {"front": "10.0.0.2:80", "ready": "10.0.0.2:81"},
    "bounds": {"grace_s": 8, "lease_ms": 3000, "status_s": 120},
    "platform": {"address": "10.0.0.3:80", "parts": 24, "retention_s": 300},
}
_TOPICS = (
    index_reader.TOPIC,
    content.CONTENT_TOPIC,
    order_leases.TOPIC,
    usage_reporter.USAGE_TOPIC,
    usage_reporter.LEASE_TOPIC,
)
_ODD_FIELDS = (
    ("address", '"10.0.0.9:0655359999"'),
    ("address", '"0.0.0.0:1"'),
    ("slots", "huge"),
    ("slots", "infinite"),
    ("models", "endlessly nested"),
    ("models.0.version", "huge"),
    ("born", "huge"),
)


@behave.given("a reader of {records}")
def create_reader(context, records):
    context.reader = odd_readers.READERS[records]()


@behave.when("another writer leaves one with {field} = {value} between two sound ones")
def read_records(context, field, value):
    context.followed = context.reader.read(field, value)


@behave.then("the reader has followed the sound ones only")
def check_followed(context):
    assert context.followed == {"1", "3"}, context.followed


def _ask(name, address):
    """Send the call whose answer has a name, and return its result."""
    deadline = clock.start_deadline(odd_readers.SECONDS)
    log_service = store.StoreRecordLog(address)
    match name:
        case "server's report":
            caller = server_calls.HttpServerCaller(http_pool.ConnectionPool())
            server = servers.Server("i-1", 1, "desk", address, "z", 8, False, ())
            return caller.read_state(server, deadline)
        case "membership":
            return log_service.join(recordlog.MemberRequest("g", "m", "t", 1000, 0), deadline)
        case "append's answer":
            return log_service.append("t", 0, [b"r"], deadline)
        case "list of keys":
            return log_service.read_newest("keyed.t", deadline)
        case "list of hosts":
            return http_hostlist.HttpHostList(f"http://{address}").read(deadline)


def _read_answer(name, body):
    server = raw_server.RawServer(
        [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)]
    )
    try:
        return _ask(name, server.url.removeprefix("http://"))
    finally:
        server.stop()


def _read_settings(content):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "local.toml"
        path.write_bytes(content)
        return boot.read_boot_settings(str(path))


def _read_batch(body):
    content = json_input.read_object("submission", body)
    read = batch_messages.read_submission("b", "h", "/", "", content)
    if not content.is_valid:
        return expression.Error(content.found)
    return expression.Ok(submission.encode_submission(read))


def _read_input(name, field="", value=""):
    if name in _CBOR_INPUTS:
        content, decode = _CBOR_INPUTS[name]
        return decode(odd_values.write_cbor(content, field, value))
    if name == "settings file":
        return _read_settings(odd_values.write_toml(_SETTINGS, field, value))
    if name == "trainer's batch":
        return _read_batch(odd_values.write_json(_BATCH, field, value))
    content = _ANSWERS[name] | ({"extra": 0} if field == "extra" else {})
    return _read_answer(name, odd_values.write_json(content, field, value))


@behave.when("a sound {name} and one with {field} = {value} are read")
def read_input(context, name, field, value):
    context.sound = _read_input(name)
    context.odd = _read_input(name, field, value)


@behave.then("the sound one is accepted, and the other is an error")
def check_inputs(context):
    assert context.sound.is_ok(), context.sound
    assert context.odd.is_error(), str(context.odd)[:200]
    assert len(str(context.odd.error)) < 4000, len(str(context.odd.error))


@behave.given("a store whose list of keys contains {key} between two sound ones")
def list_keys(context, key):
    items = [{"key": name, "value": "eA==", "offset": 1} for name in ("a", "odd", "c")]
    content = {"items": items, "has_more": False, "end": 3}
    body = odd_values.write_json(content, "items.1.key", key)
    context.read = _read_answer("list of keys", body)


@behave.given("a store whose page of keys contains only half of a pair, and more follow")
def list_no_key(context):
    items = [{"key": "\ud800", "value": "eA==", "offset": 1}]
    body = json.dumps({"items": items, "has_more": True, "end": 3}).encode()
    context.read = _read_answer("list of keys", body)


@behave.then("the list of keys is an error")
def check_list(context):
    assert context.read.is_error(), context.read


@behave.then("both sound keys are read")
def check_keys(context):
    assert context.read.is_ok(), context.read
    assert [item.key for item in context.read.ok[0]] == ["a", "c"], context.read


@behave.given("a follower whose sink fails on the record of one key")
def create_follower(context):
    context.log_service = memory_log.MemoryRecordLog()
    context.sink = odd_readers.FailingSink()
    context.group = tasks.TaskGroup("odd", 1)
    context.add_cleanup(context.group.stop)
    context.follower = keyed_follower.KeyedFollower(
        context.log_service, "topic", context.sink, context.group, 0.01
    )


@behave.when("that record and later another one arrive")
def follow_records(context):
    with unittest.mock.patch.object(log, "warn_bounded") as context.warned:
        context.group.supervise(context.follower.follow)
        for key in (b"faulty", b"later"):
            content = odd_readers.encode_keyed(key, b"x")
            deadline = clock.start_deadline(odd_readers.SECONDS)
            assert context.log_service.append("topic", 0, [content], deadline).is_ok()
        odd_readers.wait_until(lambda: "put later" in context.sink.changes)
        context.group.stop()


@behave.then(
    "the later one is followed, the failure is logged, and the failed key counts as deleted"
)
def check_failure(context):
    assert context.sink.changes == ["delete faulty", "put later"], context.sink.changes
    events = [call.args[0] for call in context.warned.call_args_list]
    assert events == ["record-failed-topic"], events


@behave.when("another writer leaves an odd record in each topic of the front")
def put_odd_records(context):
    store_standin = context.front.store
    odd = odd_values.write_cbor(["odd", "odd", "held", 0], "0", "decimal")
    for topic in _TOPICS:
        for partition in range(store_standin.partitions):
            store_standin.append(topic, partition, odd)
    store_standin.put_bytes("keyed.oleander.crashes", b"odd/run", odd)


@behave.then("no task of the front has failed")
def check_tasks(context):
    assert "task-failed" not in context.front.output.read_text(), context.front.describe()


def _put_odd_entries(front, sound):
    content = platform_messages.describe_server(sound, "desk") | {"born": 1}
    for number, (field, value) in enumerate(_ODD_FIELDS):
        odd = odd_values.write_json(content, field, value)
        front.store.put_bytes("keyed.servers", f"odd-{sound.name}-{number}".encode(), odd)
    plain = json.dumps(content).encode()
    for key in (b"", b"\xff\xfe", b"odd\r\nX-A: b", "\u03b1".encode()):
        front.store.put_bytes("keyed.servers", key, plain)


@behave.when("another writer leaves odd entries among those of the servers, beside each sound one")
def put_odd_entries(context):
    context.pid = context.front.process.pid
    _put_odd_entries(context.front, context.front.service)
    _put_odd_entries(context.front, context.front.engine)


@behave.when("a sound server registers later and the earlier one leaves")
def register_later(context):
    front = context.front
    context.later = platform_standin.BackendServer("desk-2")
    context.add_cleanup(context.later.stop)
    front.store.put(
        "keyed.servers", "desk-2", platform_messages.describe_server(context.later, "desk")
    )
    _put_odd_entries(front, context.later)
    front.store.put_bytes("keyed.servers", front.service.name.encode(), b"")
    front.service.end()


def _is_served(front, later, request_id):
    status, _, _ = front.ask("POST", "/calls/a", b"x", request_id)
    return status == 200 and request_id in [seen[0] for seen in later.seen]


@behave.then("calls are answered by the later server, and the front has run all the time")
def check_served(context):
    front = context.front
    front_platform.wait_until(
        lambda: _is_served(front, context.later, "c1"), context.front.describe
    )
    results = [_is_served(front, context.later, f"d{number}") for number in range(20)]
    assert all(results), (results, front.describe())
    assert front.is_ready(), front.describe()
    assert (front.process.poll(), front.process.pid) == (None, context.pid), front.describe()


@behave.then("a front that starts now serves too")
def check_new_front(context):
    with tempfile.TemporaryDirectory() as folder:
        front = front_programs.FrontProgram("front-2", folder, context.front.store.address)
        context.add_cleanup(front.end)
        front_platform.wait_until(front.is_ready, front.describe)
        assert _is_served(front, context.later, "e1"), front.describe()
        front.end()
