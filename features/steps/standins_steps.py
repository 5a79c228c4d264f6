"""Steps that test the stand-ins and the relays that other tests use."""

import concurrent.futures
import contextlib
import errno
import hashlib
import http.client
import json
import socket

import behave

import deployments
import support
from oleander_standins import deployment, tokens

_TIMEOUT_SECONDS = 10.0
_STREAM = "/streams/s/records"
_CALL_ERRORS = (OSError, http.client.HTTPException)


def _run_async(context, task, *arguments):
    if getattr(context, "pool", None) is None:
        context.pool = concurrent.futures.ThreadPoolExecutor(8)
        context.add_cleanup(context.pool.shutdown)
    return context.pool.submit(task, *arguments)


def _call(context, method, path, body=None, headers=None):
    return support.call(method, context.cluster.url(context.kind) + path, body, headers)


def _read_counts(context):
    return context.cluster.read_control(context.kind)


@behave.given("a running stand-in {kind} with {flags}")
def start_stand_in(context, kind, flags):
    context.kind = kind
    support.get_cluster(context).start_stand_in(kind, kind, *flags.split())


@behave.when("the stand-in log is given the records {values}")
def append_records(context, values):
    for value in values.split():
        response = _call(context, "POST", _STREAM, {"records": [int(value)]})
        assert response.status == 200, response.body


@behave.then(
    "reading the stand-in log from offset {offset:d} gives offsets {found} "
    "out of {first:d} to {end:d}"
)
def check_page(context, offset, found, first, end):
    page = _call(context, "GET", f"{_STREAM}?offset={offset}").read_json()
    offsets = " ".join(str(record["offset"]) for record in page["records"])
    assert (offsets or "none") == found, page
    assert (page["first_offset"], page["next_offset"]) == (first, end), page
    assert all(record["value"] == record["offset"] for record in page["records"]), page


@behave.when("a read of the stand-in log waits while a record is appended")
def wait_for_record(context):
    reading = _run_async(context, _call, context, "GET", f"{_STREAM}?offset=0&wait_ms=9000")
    support.wait_until(lambda: _read_counts(context)["reads"] == 1, "the read arrived")
    append_records(context, "0")
    context.page = reading.result(_TIMEOUT_SECONDS).read_json()


@behave.then("the waiting read of the stand-in log has offset {offset:d}")
def check_waiting(context, offset):
    assert [record["offset"] for record in context.page["records"]] == [offset], context.page


@behave.when("the stand-in host list is told {content}")
@behave.when("the stand-in engine is told {content}")
@behave.when("the stand-in is told {content}")
def tell_stand_in(context, content):
    context.response = _call(context, "POST", "/control", json.loads(content))


@behave.then("the stand-in refuses, naming {place}, and its slow_ms is 0")
def check_refusal(context, place):
    assert context.response.status == 400
    assert place in str(context.response.body), context.response
    assert _read_counts(context)["settings"]["slow_ms"] == 0


@behave.then("the stand-in host list shows {shown}")
def check_hosts(context, shown):
    hosts = _call(context, "GET", "/hosts").read_json()["hosts"]
    found = ", ".join(f"{host['name']} {host['state']}" for host in hosts)
    assert (found or "nothing") == shown, hosts


@behave.given("weights of {count:d} bytes are stored in the stand-in store")
@behave.when("weights of {count:d} bytes are stored in the stand-in store")
def store_weights(context, count):
    assert _call(context, "PUT", "/weights/m/1", b"w" * count).status == 200


@behave.then("the stand-in store gives {count:d} bytes back")
def check_weights(context, count):
    assert _call(context, "GET", "/weights/m/1").body == b"w" * count


@behave.then("the stand-in store soon answers {status:d} with Retry-After")
def check_limit(context, status):
    def is_limited():
        response = _call(context, "GET", "/weights/m/1")
        return response.status == status and response.headers["retry-after"] == "1"

    support.wait_until(is_limited, f"status {status}")


@behave.when("{count:d} calls with the keys {keys} are made to the stand-in service")
def make_calls(context, count, keys):
    context.calls = [
        (key, _run_async(context, _call_service, context, key, str(number)))
        for number, key in enumerate(keys.split())
    ]
    assert len(context.calls) == count


def _call_service(context, key, text, url=None):
    url = url or context.cluster.url("service")
    return support.call("POST", f"{url}/call/book", text.encode(), {"Idempotency-Key": key})


@behave.then("the stand-in service holds {count:d} calls")
def check_held(context, count):
    support.wait_until(lambda: _read_counts(context)["holding"] == count, f"{count} held")
    assert not any(future.done() for _, future in context.calls)


@behave.when("the held calls of the stand-in service are released")
def release_calls(context):
    context.cluster.control("service", release=True)


@behave.then("each call gets its own answer from the stand-in service")
def check_answers(context):
    for number, (key, future) in enumerate(context.calls):
        answer = future.result(_TIMEOUT_SECONDS).read_json()
        digest = hashlib.sha256(str(number).encode()).hexdigest()
        assert (answer["key"], answer["digest"]) == (key, digest), answer


@behave.then("the stand-in service ran {first} {once:d} time and {second} {twice:d} times")
def check_service_runs(context, first, once, second, twice):
    counts = _read_counts(context)
    assert counts["runs_by_key"] == {first: once, second: twice}, counts
    assert counts["runs_by_operation"] == {"book": once + twice}, counts


def _generate(context, request_id, priority=0, **fields):
    body = {"request_id": request_id, "prompt": request_id, "max_tokens": 8}
    body |= {"priority": priority} | fields
    response = _call(context, "POST", "/v1/generate", body)
    return [json.loads(line) for line in response.body.splitlines()]


@behave.given("stand-in generations {requests} have arrived in this order")
def start_generations(context, requests):
    for count, request in enumerate(requests.split(), start=1):
        name, priority = request.split(":")
        _run_async(context, _generate, context, name, int(priority))
        _wait_arrived(context, count)


def _wait_arrived(context, count):
    support.wait_until(
        lambda: len(_read_counts(context)["generations"]) == count, f"{count} arrived"
    )


@behave.when("the stand-in engine is made quick and the generation {name} is cancelled")
def cancel_first(context, name):
    context.cluster.control("engine", token_ms=0)
    assert _call(context, "POST", "/v1/cancel", {"request_id": name}).status == 200


@behave.then("the stand-in generations run in the order {names}")
def check_order(context, names):
    expected = names.split()

    def read_order():
        kept = _read_counts(context)["generations"]
        order = sorted(kept, key=lambda name: kept[name]["run"])
        finished = [item["outcome"] for item in kept.values()].count("finished")
        return order if finished == len(expected) - 1 else None

    assert support.wait_until(read_order, "all have run") == expected


@behave.when("the stand-in engine generates with the prefixes {prefixes}")
def generate_prefixes(context, prefixes):
    for number, prefix in enumerate(prefixes.split()):
        _generate(context, str(number), prefix=prefix)


@behave.then("the stand-in engine counts {hits:d} cache hits and {misses:d} misses")
def check_cache(context, hits, misses):
    counts = _read_counts(context)
    assert (counts["cache_hits"], counts["cache_misses"]) == (hits, misses), counts


@behave.when("the stand-in engine generates {prompt} of at most {most:d} tokens after {resumed:d}")
def generate_resumed(context, prompt, most, resumed):
    context.whole = tokens.make_text(prompt, 0, tokens.read_length(prompt, most))
    context.before = tokens.make_text(prompt, 0, resumed)
    fields = {"prompt": prompt, "max_tokens": most, "resumed_tokens": resumed}
    context.pieces = _generate(context, "r", **fields)


@behave.then("the stand-in engine's answer has {count:d} tokens, the same as without a break")
def check_answer(context, count):
    assert sum(piece["tokens"] for piece in context.pieces) == count, context.pieces
    text = "".join(piece["text"] for piece in context.pieces)
    assert context.before + text == context.whole, text
    assert [piece.get("last", False) for piece in context.pieces][-1], context.pieces


@behave.when("the stand-in engine loads version {version:d} with {fault} during a generation")
def load_midway(context, version, fault):
    context.cluster.control("engine", piece_tokens=1, pause_after=4)
    generation = _run_async(context, _generate, context, "r")
    support.wait_until(lambda: _read_made(context) == 4, "half is made")
    if fault == "a dead weight store":
        context.cluster.control("engine", weights_url="http://127.0.0.1:1")
    elif fault != "nothing":
        context.cluster.control("engine", **{fault: 1})
    context.load = _order_load(context, version, 9)
    context.cluster.control("engine", pause_after=0)
    context.pieces = generation.result(_TIMEOUT_SECONDS)


def _read_made(context):
    kept = _read_counts(context)["generations"]
    return kept["r"]["tokens"] if "r" in kept else 0


def _order_load(context, version, fencing):
    order = {"model": "m", "version": version, "fencing": fencing}
    try:
        return str(_call(context, "POST", "/v1/load", order).status)
    except _CALL_ERRORS:
        return "dropped"


@behave.then("the stand-in engine's load ends with {status} and version {version}")
def check_load(context, status, version):
    state = _call(context, "GET", "/v1/version").read_json()
    assert context.load == status, context.load
    assert str(state["version"] or "none") == version, state


@behave.then("the stand-in engine's pieces name the versions {stated}")
def check_stated(context, stated):
    found = dict.fromkeys(str(piece.get("version", "none")) for piece in context.pieces)
    assert list(found) == stated.split(), context.pieces


@behave.then("the stand-in engine knows the true versions {true}")
def check_true(context, true):
    label = _read_counts(context)["generations"]["r"]["label"]
    assert [str(run["version"] or "none") for run in label] == true.split(), label
    assert sum(run["tokens"] for run in label) == 8, label


@behave.given("a stand-in engine that fetches from the stand-in store")
def start_fetching_engine(context):
    context.kind = "engine"
    store = context.cluster.url("weightstore")
    context.cluster.start_stand_in("engine", "engine", "--load-ms", 0, "--weights-url", store)


@behave.when("the stand-in store is told {content}")
def tell_store(context, content):
    context.cluster.control("weightstore", **json.loads(content))


@behave.when("the stand-in engine is ordered to load versions {orders}")
def order_loads(context, orders):
    pairs = [order.split(":") for order in orders.split()]
    context.statuses = [_order_load(context, int(item), int(fence)) for item, fence in pairs]


@behave.then("the stand-in engine answered {statuses} and has version {version:d}")
def check_loads(context, statuses, version):
    assert context.statuses == statuses.split(), context.statuses
    assert _call(context, "GET", "/v1/version").read_json()["version"] == version
    loads = _read_counts(context)["loads"][-len(context.statuses) :]
    assert [str(load["status"]) for load in loads] == context.statuses, loads


@behave.then("the stand-in engine reports {running:d} running")
def check_report(context, running):
    assert _call(context, "GET", "/v1/load").read_json()["running"] == running


@behave.given("a test relay before the stand-in service that blocks {direction}")
def start_blocking_relay(context, direction):
    start_relay(context)
    context.relay.block(direction)


@behave.given("a test relay before the stand-in service")
def start_relay(context):
    context.relay = context.cluster.start_relay("relay", "service")


@behave.when("the stand-in service is called through the test relay on another thread")
def call_through(context):
    url = context.relay.url
    context.called = _run_async(context, _call_service, context, "k", "b", url)
    support.wait_until(lambda: context.relay.connections == 1, "the relay has one connection")


@behave.then("the stand-in service has {runs:d} runs before the test relay is healed")
def check_runs_before(context, runs):
    support.wait_until(lambda: _read_counts(context)["runs"] == runs, f"{runs} runs")
    assert not context.called.done()


@behave.then("the call through the test relay is answered after it is healed")
def check_healed(context):
    context.relay.heal()
    assert context.called.result(_TIMEOUT_SECONDS).read_json()["key"] == "k"
    assert _read_counts(context)["runs"] == 1


@behave.when("the test relay is cut once the stand-in service holds the call")
def cut_relay(context):
    support.wait_until(lambda: _read_counts(context)["holding"] == 1, "the call is held")
    context.relay.cut()


@behave.then("the call through the test relay fails, and so do new ones until it is healed")
def check_cut(context):
    assert isinstance(context.called.exception(_TIMEOUT_SECONDS), _CALL_ERRORS)
    context.cluster.control("service", release=True)
    try:
        _call_service(context, "k", "b", context.relay.url)
    except _CALL_ERRORS:
        pass
    else:
        raise AssertionError("a call passed through a relay after cut()")
    context.relay.heal()
    assert _call_service(context, "k", "b", context.relay.url).status == 200


@behave.given("a stand-in service that is {state}, and its port")
def reserve_port(context, state):
    cluster = support.get_cluster(context)
    context.deployed = deployment.Deployment(cluster)
    context.host = deployments.DESKS[0]
    context.deployed.add_host(context.host)
    if state == "about to start":
        context.port = cluster.reserve_port()
        return
    name = context.host.server_name
    context.deployed.start_backend_server(context.host.name)
    context.port = int(cluster.address(name).rpartition(":")[2])
    if state == "killed in calls":
        cluster.control(name, hold=True)
        calls = [_run_async(context, _try_call, cluster.url(name)) for _ in range(3)]
        support.wait_until(
            lambda: cluster.read_control(name)["holding"] == len(calls), "held calls"
        )
    cluster.kill(name)


def _try_call(url):
    with contextlib.suppress(*_CALL_ERRORS):
        support.call("POST", f"{url}/call/x", {})


@behave.when("another program wants to listen on the port of the stand-in service")
def listen_elsewhere(context):
    try:
        context.taken = socket.create_server(("127.0.0.1", context.port))
        context.add_cleanup(context.taken.close)
    except OSError as error:
        context.taken = error


@behave.then(
    "the other program can't, connections are refused, and the stand-in service starts on its port"
)
def check_port(context):
    assert getattr(context.taken, "errno", 0) == errno.EADDRINUSE, context.taken
    with socket.socket() as client:
        assert client.connect_ex(("127.0.0.1", context.port)) == errno.ECONNREFUSED
    context.deployed.start_backend_server(context.host.name, context.port)
    assert context.cluster.address(context.host.server_name) == f"127.0.0.1:{context.port}"
