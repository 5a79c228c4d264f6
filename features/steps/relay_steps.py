"""Steps for closing relays while their threads start late, as on a busy machine."""

import socket
import threading
import time
import unittest.mock

import behave

from oleander_standins import relay


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


@behave.then("closing the test relays raised nothing")
def check_closed(context):
    assert not context.raised, context.raised
