"""Steps for the pool of persistent connections."""

import itertools
import socket
import threading
import time
import unittest.mock

import behave

import ending_server
import raw_server
from oleander_base import clock, deadline_socket, http_connection, http_exchange, http_pool

_SECONDS = 5.0
_IDLE_SECONDS = 9.5
_EXTRA_PAUSE = 0.2
_FATAL_SECONDS = 1.0
_REQUEST_IDS = map(str, itertools.count())
"""An id for each request, as requests of callers have one."""


def _encode(text):
    return text.replace("~", "\r\n").replace("_", "\n").encode()


def _create(context, pieces, **options):
    context.raw = raw_server.RawServer(pieces, **options)
    context.add_cleanup(context.raw.stop)
    context.pool = http_pool.ConnectionPool()


def _open(context, is_cancelled=lambda: False):
    address = context.raw.url.removeprefix("http://")
    request = http_pool.PoolRequest(
        address, "GET", "/", (("Host", "h"),), request_id=next(_REQUEST_IDS)
    )
    return context.pool.open(request, clock.start_deadline(_SECONDS), is_cancelled)


@behave.given("a raw server that answers {text}")
def create_server(context, text):
    _create(context, [_encode(text)])


@behave.given("a raw server that keeps its connection and answers {text}")
def create_keeping(context, text):
    _create(context, [_encode(part) for part in text.split(" then ")], keeps_open=True)


@behave.given("a raw server that is silent")
def create_silent(context):
    _create(context, [], keeps_open=True)


@behave.when("its answer is read whole")
def read_whole(context):
    opened = _open(context)
    whole = opened.ok.read_whole() if opened.is_ok() else opened
    context.seen = "cut" if whole.is_error() else whole.ok.body.decode() or "empty"


@behave.then("the whole answer is {answer}")
def check_whole(context, answer):
    assert context.seen == answer, context.seen


@behave.when("its answer is read by lines")
def read_lines(context):
    opened = _open(context)
    context.lines = []
    while True:
        line = opened.ok.read_line()
        if line.is_error() or not line.ok:
            context.lines.append("cut" if line.is_error() else "end")
            return
        context.lines.append(line.ok.decode().strip())


@behave.then("the lines are {lines}")
def check_lines(context, lines):
    assert " ".join(context.lines) == lines, context.lines


@behave.when("a request is made to the address {address}")
def request_address(context, address):
    request = http_pool.PoolRequest(address, "GET", "/", (("Host", "h"),))
    deadline = clock.start_deadline(_SECONDS)
    context.opened = http_pool.ConnectionPool().open(request, deadline, lambda: False)


@behave.then("the failure says that no connection was opened")
def check_not_connected(context):
    assert context.opened.error.reach is http_exchange.Reach.NOT_CONNECTED, context.opened


@behave.when("two requests are made one after the other")
def make_two(context):
    assert _open(context).ok.read_whole().is_ok()
    time.sleep(_EXTRA_PAUSE)
    opened = _open(context)
    context.second = opened.ok.read_whole() if opened.is_ok() else opened


@behave.then("the second answer is {body} or a failure")
def check_second(context, body):
    assert context.second.is_error() or context.second.ok.body == body.encode()


@behave.then("the raw server saw {count:d} connections")
def check_connections(context, count):
    assert context.second.is_ok(), context.second
    assert context.raw.connections == count, context.raw.connections


@behave.when("a request to it is cancelled after {seconds:f} s")
def cancel_request(context, seconds):
    cancelled = threading.Event()
    threading.Timer(seconds, cancelled.set).start()
    started = time.monotonic()
    opened = _open(context, cancelled.is_set)
    assert opened.is_error()
    context.took = time.monotonic() - started


@behave.then("it ends within {seconds:f} s")
def check_end(context, seconds):
    assert context.took < seconds, context.took


@behave.when("{count:d} connections to a server are no longer in use")
def release_connections(context, count):
    pool = http_pool.ConnectionPool()
    context.connections = [unittest.mock.Mock() for _ in range(count)]
    for connection in context.connections:
        pool.release("127.0.0.1:1", connection, _IDLE_SECONDS)


@behave.then("{count:d} of them are closed at once")
def check_closed(context, count):
    closed = sum(connection.close.called for connection in context.connections)
    assert closed == count, closed


class IdleTrial:
    """Uses and frees the connections of a pool in simulated time."""

    def __init__(self, timeout):
        self._now = 1000.0
        self._timeout = timeout
        self._pool = http_pool.ConnectionPool()
        self._used = []
        self.opened = []

    def run(self, script):
        answer = unittest.mock.Mock(status=200, is_framed=True, length=0, will_close=False)
        answer.getheaders.return_value = []
        answer.getheader.return_value = f"timeout={self._timeout}"
        answer.read1.return_value = b""
        answer.has_surplus.return_value = False
        with (
            unittest.mock.patch.object(clock, "read_now", lambda: self._now),
            unittest.mock.patch.object(http_connection, "Connection", lambda *_: self._open()),
        ):
            self._answer = answer
            for word in script.split():
                self._do(word)

    @property
    def closed(self):
        return sum(connection.close.called for connection in self.opened)

    def _do(self, word):
        if word.endswith("s"):
            self._now += float(word[:-1])
        for number in range(int(word[1:]) if word[0] in "-r" else 0):
            request_id = "order" if word[0] == "r" else f"{word} {number} {self._now}"
            request = http_pool.PoolRequest("127.0.0.1:1", "GET", "/", (), request_id=request_id)
            deadline = clock.start_deadline(_SECONDS)
            self._used.append(self._pool.open(request, deadline, lambda: False).ok)
            if word[0] == "r":
                assert self._used.pop().read_whole().is_ok()
        for _ in range(int(word[1:]) if word[0] == "+" else 0):
            assert self._used.pop().read_whole().is_ok()

    def _open(self):
        connection = unittest.mock.Mock(is_reusable=True, is_open=True, request_count=1)
        connection.getresponse.return_value = self._answer
        last = [""]
        connection.record_request.side_effect = lambda request_id: last.append(request_id)
        connection.can_carry.side_effect = lambda request_id: request_id != last[-1]
        self.opened.append(connection)
        return connection


@behave.given("a pool whose servers close connections that are idle for {seconds:d} s")
def create_idle_trial(context, seconds):
    context.idle_trial = IdleTrial(seconds)


@behave.when("the pool's connections are used as {script}")
def use_connections(context, script):
    context.idle_trial.run(script)


@behave.then("{opened:d} connections were opened and {closed:d} closed")
def check_opened(context, opened, closed):
    trial = context.idle_trial
    assert (len(trial.opened), trial.closed) == (opened, closed), (len(trial.opened), trial.closed)


@behave.given("a raw server that {does} on a {connection} connection")
def create_ending(context, does, connection):
    context.ending = ending_server.EndingServer(does)
    context.add_cleanup(context.ending.stop)
    context.pool = http_pool.ConnectionPool()
    if connection == "kept":
        assert _ask_ending(context, b"/").is_ok()


def _ask_ending(context, path, is_cancelled=lambda: False):
    request = http_pool.PoolRequest(
        context.ending.address,
        "GET",
        path.decode(),
        (("Host", "h"),),
        request_id=next(_REQUEST_IDS),
    )
    deadline = clock.start_deadline(_FATAL_SECONDS)
    return context.pool.call(request, deadline, is_cancelled)


@behave.when("a request to it fails")
def fail_request(context):
    context.broken = _ask_ending(context, ending_server.FATAL)
    assert context.broken.is_error(), context.broken


@behave.when("a request to it fails whose caller left before")
def fail_left(context):
    context.broken = _ask_ending(context, ending_server.FATAL, lambda: True)
    assert context.broken.is_error(), context.broken


@behave.then("the failure says that the server {state}")
def check_ended(context, state):
    assert context.broken.error.peer_ended == (state == "ended"), context.broken.error


@behave.then("the server began it, and the failure says that it may have")
def check_reach(context):
    assert context.ending.runs == 1, context.ending.runs
    reach = context.broken.error.reach
    assert reach is http_exchange.Reach.MAY_HAVE_ARRIVED, context.broken.error


@behave.when("a request with a body of {size:d} bytes is made by the {client}")
def make_counted(context, size, client):
    context.writes = []

    def count_write(sender, data, flags=0):
        context.writes.append(len(data))
        return socket.socket.sendall(sender, data, flags)

    body = b"b" * size
    deadline = clock.start_deadline(_SECONDS)
    with unittest.mock.patch.object(deadline_socket.DeadlineSocket, "sendall", count_write):
        if client == "pool":
            address = context.raw.url.removeprefix("http://")
            request = http_pool.PoolRequest(address, "POST", "/", (), body)
            context.pool.open(request, deadline, lambda: False)
        else:
            caller = http_exchange.HttpCaller(context.raw.url)
            caller.call_once(http_exchange.Request("POST", "/", body), deadline)


@behave.then("it leaves in {count:d} writes")
def check_writes(context, count):
    assert len(context.writes) == count, context.writes
