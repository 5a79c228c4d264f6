"""Steps that run the front program as a process against the platform stand-in."""

import json
import pathlib
import signal
import tempfile
import threading
import time

import behave

import front_platform
import front_programs
import platform_messages
import platform_standin

_WAIT_SECONDS = 15.0
_PAUSE_SECONDS = 0.05


@behave.given("the platform's stand-in and the front program")
def start_platform(context):
    context.front = front_platform.Front()
    context.add_cleanup(context.front.stop)
    front_platform.wait_until(context.front.is_ready, context.front.describe)


@behave.then("a call is answered by the service, unchanged")
def check_call(context):
    status, headers, body = context.front.ask("POST", "/calls/a%2Fb?x=1&y=%20", b"body", "c1")
    assert (status, body) == (200, b"answer to body"), (status, body)
    assert headers["X-Oleanderdeal-Server-Stamp"] == "stamp-c1", headers
    request_id, path, _, sent = context.front.service.seen[-1]
    assert (request_id, path) == ("c1", "/calls/a%2Fb"), (request_id, path)
    assert 0 < int(sent["X-Oleanderdeal-Deadline-Ms"]) <= 3000, sent


def _build_batch(items):
    return platform_messages.describe_batch([f"item-{number}" for number in range(items)])


@behave.then("a batch of {items:d} items is accepted, listed with scores, read again, ended")
def check_batch(context, items):
    front = context.front
    for _ in range(2):
        assert front.ask("POST", "/items/batch", _build_batch(items), "batch-1")[0] == 202
    results = []
    until = time.monotonic() + _WAIT_SECONDS
    while len(results) < items:
        assert time.monotonic() < until, front.output.read_text()
        status, _, body = front.ask(
            "GET",
            f"/api/lots/batch-1?after={len(results)}",
            headers=[("X-Oleanderdeal-Wait-Ms", "500")],
        )
        assert status == 200, body
        results += json.loads(body)["results"]
    for result in results:
        events = range(1, platform_standin.EVENTS + 1)
        assert result["output"] == "\n".join(f"{result['id']}.{event}" for event in events)
        assert result["score"] == f"stamp-score-{result['id']}", result
        assert (result["state"], result["versions"]) == ("completed", [1]), result
    again = json.loads(front.ask("GET", "/api/lots/batch-1?after=0")[2])
    assert again == {"total": items, "next": items, "results": results}, again
    assert front.ask("GET", "/api/items/batch-1?id=item-0")[2] == b"prompt"
    for _ in range(2):
        assert front.ask("DELETE", "/api/lots/batch-1")[0] == 200


@behave.then("a version that is named is ordered once, with a fencing number")
def check_order(context):
    front = context.front
    front.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
    front_platform.wait_until(lambda: front.engine.orders, front.describe)
    time.sleep(1.5)
    assert len(front.engine.orders) == 1, front.engine.orders
    order = front.engine.orders[0]
    assert (order["version"], order["expected"]) == (2, 0), order
    assert isinstance(order["fencing_token"], int), order


@behave.then("the metrics address shows what was done")
def check_metrics(context):
    status, _, body = context.front.ask("GET", "/metrics", port=context.front.metrics)
    text = body.decode()
    assert status == 200, text
    for line in (
        "oleanderdeal_batches_results_total 3.0",
        "oleanderdeal_orders_given_total 1.0",
        'oleanderdeal_items_ms_bucket{le="+Inf"} 3.0',
    ):
        assert line in text, text


@behave.when("nothing happens")
def do_nothing(context):
    pass


@behave.when("the store is down 1 s")
def stop_store(context):
    context.front.store.is_down = True
    time.sleep(1.0)


@behave.when("the service goes away")
def stop_service(context):
    context.front.service.stop()


_REQUESTS = {
    "a call": ("POST", "/calls/a", b""),
    "a charge": ("POST", "/charges/a", b""),
    "a path without route": ("POST", "/nowhere/", b""),
    "an unknown batch": ("GET", "/api/lots/unknown", b""),
    "a batch": ("POST", "/items/b", _build_batch(1)),
    "a batch without JSON": ("POST", "/items/b", b"{"),
}


@behave.then("{request} is answered {status:d}")
def check_status(context, request, status):
    method, path, body = _REQUESTS[request]
    seen, headers, answer = context.front.ask(method, path, body)
    assert seen == status, (seen, answer)
    if status == 503:
        assert float(headers["Retry-After"]) > 0, headers


@behave.when("the service answers {status:d} with {header}")
def set_answer(context, status, header):
    name, _, value = header.partition(": ")
    context.front.service.call_status = status
    context.front.service.call_headers = ((name, value),) if value else ()


@behave.then("a call is answered {status:d} with the server's stamp and without these headers")
def check_unusual(context, status):
    seen, headers, body = context.front.ask("POST", "/calls/a", b"x", "c1")
    assert (seen, body) == (status, b"answer to x"), (seen, body)
    assert headers["X-Oleanderdeal-Server-Stamp"] == "stamp-c1", headers
    assert not set(headers) & {name for name, _ in context.front.service.call_headers}, headers


@behave.then("it ends with code 0 within {seconds:d} s of a SIGTERM")
def check_stop(context, seconds):
    context.front.process.send_signal(signal.SIGTERM)
    assert context.front.process.wait(seconds) == 0, context.front.output.read_text()


@behave.when("it is told to stop while a call of {seconds:g} s runs")
def stop_during_call(context, seconds):
    front = context.front
    front.service.event_seconds = seconds
    context.answers = []
    call = threading.Thread(
        target=lambda: context.answers.append(front.ask("POST", "/calls/slow", b"x"))
    )
    call.start()
    front_platform.wait_until(lambda: front.service.seen, front.describe)
    front.process.send_signal(signal.SIGTERM)
    front_platform.wait_until(lambda: not front.is_ready(), front.describe)
    context.was_running = front.process.poll() is None
    call.join()


@behave.then("the call is answered whole")
def check_slow_call(context):
    status, headers, body = context.answers[0]
    assert (status, body) == (200, b"answer to x"), context.answers
    assert headers["Connection"] == "close", headers


@behave.then("it is not ready while it stops")
def check_stopping(context):
    assert context.was_running


@behave.then("it ends with exit code {code:d} within {seconds:d} s")
def check_exit(context, code, seconds):
    assert context.front.process.wait(seconds) == code, context.front.output.read_text()


@behave.when("it gets SIGHUP")
def hang_up(context):
    context.front.process.send_signal(signal.SIGHUP)
    time.sleep(_PAUSE_SECONDS)


@behave.when("the front program is started with a settings file that lacks ip and listen.ready")
def start_faulty(context):
    settings = 'node_name = "f"\nzone = "z"\ninternal_ports = [1, 2]\n'
    settings += 'listen = { front = "127.0.0.1:1" }\n'
    settings += "bounds = { grace_s = 8, lease_ms = 300, status_s = 120 }\n"
    settings += 'platform = { address = "127.0.0.1:1", parts = 4, retention_s = 300 }\n'
    with tempfile.TemporaryDirectory() as folder:
        output = pathlib.Path(folder) / "output"
        context.code = front_programs.start_front(folder, settings, output, 0).wait(_WAIT_SECONDS)
        context.printed = output.read_text()


@behave.then("it ends with exit code {code:d} and names ip and listen.ready")
def check_faulty(context, code):
    assert context.code == code, context.printed
    places = [line.split(":")[1].strip() for line in context.printed.splitlines()]
    assert places == ["ip", "listen.ready"], context.printed


_LOADING = "loading"
_SLOW_MODULE = f"""import time
print("{_LOADING}", flush=True)
time.sleep(30)
"""


@behave.given("a front program that is still loading its libraries")
def start_loading(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    library = pathlib.Path(folder.name) / "loguru.py"
    library.write_text(_SLOW_MODULE)
    output = pathlib.Path(folder.name) / "output"
    context.loading = front_programs.start_front(
        folder.name, "", output, 0, {"PYTHONPATH": folder.name}
    )
    context.add_cleanup(context.loading.kill)
    front_platform.wait_until(lambda: _LOADING in output.read_text(), output.read_text)


@behave.when("it gets {name} meanwhile")
def signal_loading(context, name):
    context.loading.send_signal(signal.Signals[name])
    time.sleep(0.5)


@behave.then("it goes on")
def check_goes_on(context):
    assert context.loading.poll() is None, context.loading.poll()


@behave.then("it ends with code {code:d}")
def check_ended(context, code):
    assert context.loading.wait(_WAIT_SECONDS) == code
