"""Steps for draining and stopping the HTTP server."""

import select
import socket
import threading
import time
import types
import unittest.mock

import behave
import waitress.wasyncore

from oleanderdeal import http_messages, http_server

_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
_WORK_SECONDS = 0.1
_READ_SECONDS = 5.0
_PAUSE_SECONDS = 0.1


class SlowHandler(http_server.Handler):
    """Handler that takes `_WORK_SECONDS` for each request."""

    def handle(self, request):
        time.sleep(_WORK_SECONDS)
        return http_messages.HttpAnswer(200, "text/plain", [b"whole"])


def _receive(client):
    """Return everything received until the server closes the connection."""
    received = b""
    while piece := client.recv(65536):
        received += piece
    return received


@behave.given("a draining server with {count:d} kept connections")
def create_server(context, count):
    leaving = threading.Event()
    context.server = http_server.HttpServer(SlowHandler(), "127.0.0.1", 0, 1, leaving.is_set)
    context.errors = []
    context.serving = threading.Thread(target=_serve, args=(context,), daemon=True)
    context.serving.start()
    context.add_cleanup(context.server.stop)
    context.clients = []
    for _ in range(count):
        client = socket.create_connection(("127.0.0.1", context.server.port), _READ_SECONDS)
        context.clients.append(client)
        client.sendall(_REQUEST)
        received = b""
        while not received.endswith(b"whole"):
            received += client.recv(65536)
    leaving.set()


def _serve(context):
    try:
        context.server.serve()
    except Exception as error:
        context.errors.append(error)


@behave.when("it is stopped right before its thread waits for its sockets")
def stop_before_wait(context):
    held, stopped = threading.Event(), threading.Event()

    def select_late(*sockets):
        if threading.current_thread() is context.serving:
            held.set()
            stopped.wait(_READ_SECONDS)
        return select.select(*sockets)

    patched = types.SimpleNamespace(select=select_late)
    with unittest.mock.patch.object(waitress.wasyncore, "select", patched):
        assert held.wait(_READ_SECONDS), "the server's thread doesn't wait"
        context.server.stop()
        stopped.set()
        context.serving.join(_READ_SECONDS)


@behave.when("a client's request arrives just before the server's thread closes idle connections")
def send_before_close(context):
    held, released = threading.Event(), threading.Event()

    def select_late(*sockets):
        if threading.current_thread() is context.serving and not released.is_set():
            held.set()
            released.wait(_READ_SECONDS)
        return select.select(*sockets)

    patched = types.SimpleNamespace(select=select_late)
    with unittest.mock.patch.object(waitress.wasyncore, "select", patched):
        assert held.wait(_READ_SECONDS), "the server's thread doesn't wait"
        context.server.close_idle()
        context.clients[0].sendall(_REQUEST)
        released.set()
        _close_idle(context)


@behave.then("its thread ends without an error within {seconds:d} s")
def check_serving(context, seconds):
    context.serving.join(seconds)
    assert not context.serving.is_alive() and not context.errors, context.errors


@behave.when("{sends:d} of the clients send a request and the server is told to close idle ones")
def send_and_close(context, sends):
    for client in context.clients[:sends]:
        client.sendall(_REQUEST)
    time.sleep(_PAUSE_SECONDS / 2)
    _close_idle(context)


def _close_idle(context):
    until = time.monotonic() + _READ_SECONDS
    while context.server.connections and time.monotonic() < until:
        context.server.close_idle()
        time.sleep(_PAUSE_SECONDS / 2)


@behave.when("a client sends half a request, the server closes what is idle, and the rest follows")
def send_half(context):
    context.clients[0].sendall(_REQUEST[:10])
    time.sleep(_PAUSE_SECONDS)
    context.server.close_idle()
    time.sleep(_PAUSE_SECONDS)
    context.clients[0].sendall(_REQUEST[10:])
    _close_idle(context)


@behave.then("{count:d} whole answers arrive that close their connections")
def check_answers(context, count):
    received = [_receive(client) for client in context.clients]
    whole = [item for item in received if item.endswith(b"whole")]
    assert len(whole) == count, received
    assert all(b"Connection: close" in item for item in whole), received


@behave.then("all connections are closed within {seconds:d} s")
def check_closed(context, seconds):
    until = time.monotonic() + seconds
    while context.server.connections:
        assert time.monotonic() < until
        time.sleep(_PAUSE_SECONDS)


@behave.when("a client asks for the head of an answer only")
def ask_for_head(context):
    context.clients[0].sendall(_REQUEST.replace(b"GET", b"HEAD"))


@behave.then("nothing arrives after the head")
def check_head(context):
    head, end, rest = _receive(context.clients[0]).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and end and not rest, (head, rest)
