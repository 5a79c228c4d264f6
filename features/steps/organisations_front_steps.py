"""Steps for organisations and their API keys, with the front program as a process."""

import json
import signal
import time

import behave

import front_platform
import platform_messages

_UNKNOWN = "unheard-of-key"
_MAX_PROPAGATION_SECONDS = 3.0
_PAUSE_SECONDS = 0.05


def _describe_organisations(**keys):
    return [{"name": name, "api_keys": held, "priority": 1} for name, held in keys.items()]


@behave.given("the platform's stand-in with the organisations red and blue, and the front program")
def start_front(context):
    context.front = front_platform.Front()
    context.add_cleanup(context.front.stop)
    _publish(context, 4, red=["r1", "r2"], blue=["b1"])
    front_platform.wait_until(context.front.is_ready, context.front.describe)
    front_platform.wait_until(lambda: _call(context, "r1")[0] == 200, context.front.describe)


def _publish(context, version, **keys):
    content = platform_messages.describe_configuration(version)
    content["routes"].append(
        platform_messages.describe_route("open", "/open/", "idempotent", "desk", public=True)
    )
    for route in content["routes"]:
        route.setdefault("public", False)
    context.front.store.put(
        "keyed.op", "config", content | {"tenants": _describe_organisations(**keys)}
    )


def _call(context, key, path="/calls/a", request_id="c1", headers=()):
    sent = [("Authorization", f"Bearer {key}")] if key else []
    return context.front.ask("POST", path, b"x", request_id, headers=[*sent, *headers])


@behave.then(
    "a call with key r1 is run for red, without the key and whatever name the client sent"
)
def check_run_for(context):
    made_up = [("X-Oleanderdeal-Tenant", "blue"), ("X-Oleanderdeal-Duty-Holder", "me")]
    status, _, _ = _call(context, "r1", request_id="mine", headers=made_up)
    assert status == 200, status
    headers = _find_seen_headers(context.front.service, "mine")
    assert headers.get("X-Oleanderdeal-Tenant") == "red", headers
    assert "Authorization" not in headers, headers
    assert "X-Oleanderdeal-Duty-Holder" not in headers, headers


def _find_seen_headers(server, request_id):
    """Return the headers of a request that a server received, with names in title case."""
    headers = next(seen[3] for seen in server.seen if seen[0] == request_id)
    return {name.title(): value for name, value in headers.items()}


@behave.then("a call with an unknown key is answered 401 and runs nowhere")
def check_unknown(context):
    status, headers, _ = _call(context, _UNKNOWN, request_id="stranger")
    assert status == 401, status
    challenge = {name.title(): value for name, value in headers.items()}["Www-Authenticate"]
    assert challenge == "Bearer", headers
    assert "stranger" not in [seen[0] for seen in context.front.service.seen]


@behave.then("a call without a key is answered 200 on the public route, for nobody")
def check_public(context):
    assert _call(context, "", "/open/a", "visitor")[0] == 200
    assert "X-Oleanderdeal-Tenant" not in _find_seen_headers(context.front.service, "visitor")


def _submit(context, key, batch_id, items):
    body = platform_messages.describe_batch([f"{batch_id}-{n}" for n in range(items)])
    sent = [("Authorization", f"Bearer {key}")]
    return context.front.ask("POST", "/items/batch", body, batch_id, headers=sent)[0]


def _ask_batch(context, key, method, path):
    status, _, body = context.front.ask(method, path, headers=[("Authorization", f"Bearer {key}")])
    return status, body


def _wait_results(context, key, batch_id, items):
    def is_whole():
        status, body = _ask_batch(context, key, "GET", f"/api/lots/{batch_id}?after=0")
        assert status in {200, 503}, (status, body)
        return status == 200 and len(json.loads(body)["results"]) == items

    front_platform.wait_until(is_whole, context.front.describe)


@behave.then("a batch of red is run for red, and its scorings for nobody")
def check_batch_run(context):
    assert _submit(context, "r1", "batch-1", 2) == 202
    _wait_results(context, "r1", "batch-1", 2)
    headers = _find_seen_headers(context.front.engine, "batch-1-0")
    assert headers.get("X-Oleanderdeal-Tenant") == "red", headers
    assert "Authorization" not in headers, headers
    scoring = _find_seen_headers(context.front.service, "score-batch-1-0")
    assert "X-Oleanderdeal-Tenant" not in scoring, scoring


@behave.then(
    "a batch of red is read, asked for bodies and ended with key r2, and is unknown with key b1"
)
def check_batch_access(context):
    asked = [
        ("GET", "/api/lots/batch-1?after=0"),
        ("GET", "/api/items/batch-1?id=batch-1-0"),
        ("DELETE", "/api/lots/batch-1"),
    ]
    for method, path in asked:
        assert _ask_batch(context, "b1", method, path)[0] == 404, path
        assert _ask_batch(context, _UNKNOWN, method, path)[0] == 401, path
    for method, path in asked:
        assert _ask_batch(context, "r2", method, path)[0] == 200, path


@behave.then("a name that red's batch has is not accepted from blue")
def check_taken_name(context):
    assert _submit(context, "b1", "batch-1", 2) == 404


@behave.when("{trouble} while the operator takes r1 away, adds r3 and gives r2 to blue")
def change_keys(context, trouble):
    assert _submit(context, "r1", "batch-2", 2) == 202
    store, process = context.front.store, context.front.process
    words = trouble.split()
    seconds = next((float(word) for word in words if word[0].isdigit()), 0.0)
    if "down" in words or "silent" in words:
        name = "is_down" if "down" in words else "is_silent"
        _switch_during(
            seconds, lambda on: setattr(store, name, on), lambda: _change_keys(context, 5)
        )
    elif "answer" in words:
        store.slow_seconds = seconds
        _change_keys(context, 5)
    elif "suspended" in words:
        signals = {True: signal.SIGSTOP, False: signal.SIGCONT}
        _switch_during(
            seconds, lambda on: process.send_signal(signals[on]), lambda: _change_keys(context, 5)
        )
    else:
        if "another" in words:
            _publish(context, 5, red=["r1"], blue=["b1"])
        _change_keys(context, 6)


def _switch_during(seconds, switch, action):
    switch(True)
    try:
        action()
        time.sleep(seconds)
    finally:
        switch(False)


def _change_keys(context, version):
    _publish(context, version, red=["r3"], blue=["b1", "r2"])


@behave.then(
    "within 3 s a call with key r1 is answered 401, with r3 run for red and with r2 for blue"
)
def check_changed(context):
    until = time.monotonic() + _MAX_PROPAGATION_SECONDS
    expected = [(401, None), (200, "red"), (200, "blue")]
    while (seen := [_run_for(context, key) for key in ("r1", "r3", "r2")]) != expected:
        assert time.monotonic() < until, (seen, context.front.describe())
        time.sleep(_PAUSE_SECONDS)


def _run_for(context, key):
    """Return the status of a call and the organisation header that the server received."""
    request_id = f"{key}-{time.monotonic_ns()}"
    status = _call(context, key, request_id=request_id)[0]
    ran = [seen[0] for seen in context.front.service.seen]
    if request_id not in ran:
        return status, None
    return status, _find_seen_headers(context.front.service, request_id).get(
        "X-Oleanderdeal-Tenant"
    )


@behave.when("the store {is_away} for {seconds:d} s")
def stop_store(context, is_away, seconds):
    setattr(context.front.store, is_away.replace(" ", "_"), True)
    time.sleep(seconds)


@behave.then("a call with key r3 is answered 503 with when to come back, and runs nowhere")
def check_unsure(context):
    status, headers, _ = _call(context, "r3", request_id="early")
    assert status == 503, status
    assert float(headers["Retry-After"]) > 0, headers
    assert "early" not in [seen[0] for seen in context.front.service.seen]


@behave.then("a batch that was handed in with r1 is still run, and read with r3")
def check_kept(context):
    _wait_results(context, "r3", "batch-2", 2)


@behave.then("no log line has a key")
def check_logs(context):
    front_platform.wait_until(
        lambda: '"event": "unauthorized"' in context.front.output.read_text(),
        context.front.describe,
    )
    text = context.front.output.read_text()
    for key in ("r1", "r2", "b1", _UNKNOWN):
        assert f'"{key}"' not in text, key
        assert f"Bearer {key}" not in text, key
