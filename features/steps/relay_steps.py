"""Steps for closing relays while their threads start late, as on a busy machine."""

import socket
import threading
import time
import unittest.mock

import behave

import support
from oleander_standins import relay

_WAIT_SECONDS = 5.0


@behave.given("threads that start {seconds:f} s late")
def delay_threads(context, seconds):
    start = threading.Thread.start

    def start_late(thread):
        time.sleep(seconds)
        start(thread)

    patched = unittest.mock.patch.object(threading.Thread, "start", start_late)
    patched.start()
    context.add_cleanup(patched.stop)


def _close_relay(seconds):
    late = relay.Relay("127.0.0.1:1")
    host, _, port = late.address.rpartition(":")
    with socket.create_connection((host, int(port))):
        time.sleep(seconds)
        late.close()


@behave.when(
    "clients connect to {count:d} test relays, each of which is closed {seconds:f} s later"
)
def close_relays(context, count, seconds):
    context.raised = []
    for _ in range(count):
        try:
            _close_relay(seconds)
        except RuntimeError as error:
            context.raised.append(error)


@behave.given("a test relay whose client's request is {state}")
def hold_request(context, state):
    target = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(target.close)
    context.relay = relay.Relay(f"127.0.0.1:{target.getsockname()[1]}")
    context.add_cleanup(context.relay.close)
    sent, passed = threading.Event(), threading.Event()
    context.add_cleanup(passed.set)

    def send_late(*arguments):
        sent.set()
        passed.wait(_WAIT_SECONDS)

    patched = unittest.mock.patch.object(context.relay, "_send", send_late)
    patched.start()
    context.add_cleanup(patched.stop)
    if state == "held back":
        context.relay.hold_requests("POST /order", relay.TO_SERVER)
    host, _, port = context.relay.address.rpartition(":")
    client = socket.create_connection((host, int(port)))
    context.add_cleanup(client.close)
    client.sendall(b"POST /order")
    if state == "on its way":
        assert sent.wait(_WAIT_SECONDS)
    else:
        support.wait_until(lambda: context.relay.count_held(relay.TO_SERVER), "it is held")


@behave.then("the test relay says that it holds {count:d} requests")
def check_held(context, count):
    assert context.relay.count_held(relay.TO_SERVER) == count
    assert context.relay.holds(relay.TO_SERVER, "order") == bool(count)


@behave.then("closing the test relays raised nothing")
def check_closed(context):
    assert not context.raised, context.raised
