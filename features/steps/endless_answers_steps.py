"""Steps for callers of servers that send bytes without end."""

import concurrent.futures
import pathlib
import resource
import time

import behave

import endless_server
import front_platform
from oleander_adapter import duties, server_calls, store
from oleander_base import clock, http_pool
from oleander_direct import servers
from oleander_duties import platform

_CALL_SECONDS = 3.0
_MEGABYTE = 1_000_000
_SOCKET_BUFFERS_MB = 6
"""What the kernel buffers of one connection hold at most, sent and not received."""
_MANY = 96
_SAMPLE_SECONDS = 0.005
_LINES_READ = 5
"""Fewer than arrive in half a second, more than are left over from before."""
_ORDER = servers.VersionOrder("m", 2, True, "holder", 7, 4)
_CALL = servers.CallRequest("r-1", "h", "POST", "/calls/a", (), b"b", True)


def _read_resident_bytes():
    resident_pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return resident_pages * resource.getpagesize()


class _Callers:
    """Calls one server in each way that a front program does; tells whether it may have run."""

    def __init__(self, address, wanted_until):
        self._pool = http_pool.ConnectionPool()
        self._caller = server_calls.HttpServerCaller(self._pool)
        self._server = servers.Server("i-1", 1, "desk", address, "z", 8, False, ())
        self._store = store.StoreRecordLog(address)
        self._duties = duties.PlatformDuties(address)
        self._wanted_until = wanted_until

    def send(self, request):
        """Send one kind of request; return whether its outcome says that it may have run."""
        deadline = clock.start_deadline(_CALL_SECONDS)
        is_cancelled = self._is_cancelled
        if request == "a call":
            result = self._caller.call(self._server, _CALL, deadline, is_cancelled)
            return result.is_error() and result.error.was_sent
        if request == "an item":
            return self._read_item(deadline)
        if request == "an order":
            outcome = self._caller.order(self._server, _ORDER, deadline)
            return isinstance(outcome, servers.OrderUnknown)
        if request == "a report":
            result = self._caller.read_state(self._server, deadline)
            return result.is_error() and result.error.was_sent
        return self._call_platform(request, deadline)

    def _is_cancelled(self):
        return time.monotonic() > self._wanted_until

    def _read_item(self, deadline):
        generated = servers.GenerateRequest(_CALL, 0, 5)
        opened = self._caller.generate(self._server, generated, deadline, self._is_cancelled)
        if opened.is_error():
            return opened.error.was_sent
        while not (read := opened.ok.read_event()).is_error():
            assert not read.ok.is_end, read
        opened.ok.close()
        return read.error.was_sent

    def _call_platform(self, request, deadline):
        if request == "a usage report":
            report = platform.UsageReport(1, {"red": 1})
            outcome = self._duties.report_usage(report, platform.DutyHolder("n", 1), deadline)
            return isinstance(outcome, platform.DutyUnknown)
        if request == "a read of the store":
            return self._store.read("topic", 0, 0, 0, deadline).is_error()
        appended = self._store.append("topic", 0, [b"record"], deadline)
        return appended.is_error() and appended.error.may_have_effect


@behave.given("a server that sends {kind} without end")
def start_server(context, kind):
    context.endless = endless_server.EndlessServer(kind)
    context.add_cleanup(context.endless.stop)


@behave.given("a server that sends {kind} without end, a few every 20 ms")
def start_slow_server(context, kind):
    context.endless = endless_server.EndlessServer(kind, is_slow=True)
    context.add_cleanup(context.endless.stop)


@behave.when("it is sent {request}")
def send_request(context, request):
    request, _, wanted = request.partition(", no longer wanted after ")
    until = time.monotonic() + float(wanted.removesuffix(" s") or 60)
    callers = _Callers(context.endless.address, until)
    started_at = time.monotonic()
    context.may_have_run = callers.send(request)
    context.seconds = time.monotonic() - started_at


@behave.when(
    "the reader of a stream, which allows a silence of {silence:g} s, is suspended for {pause:g} s"
)
def suspend_reader(context, silence, pause):
    pool = http_pool.ConnectionPool()
    request = http_pool.PoolRequest(context.endless.address, "GET", "/", (("Host", "h"),))
    silent_at = time.monotonic() + silence

    def is_silent():
        return time.monotonic() > silent_at

    deadline = clock.start_deadline(_CALL_SECONDS)
    stream = pool.open(request, deadline, is_silent).ok
    context.add_cleanup(stream.close)
    stream.read_line()
    time.sleep(pause)
    context.lines = [stream.read_line() for _ in range(_LINES_READ)]


@behave.then("the lines that arrived meanwhile are read")
def check_lines(context):
    assert all(line.is_ok() for line in context.lines), context.lines


@behave.then(
    "within {seconds:d} s the call has ended as one that may have run,"
    " and at most {most:d} MB were received"
)
def check_call(context, seconds, most):
    assert context.may_have_run
    assert context.seconds <= seconds, context.seconds
    front_platform.wait_until(
        lambda: context.endless.open_connections == 0, lambda: "a connection is still open"
    )
    received = context.endless.sent_bytes / _MEGABYTE
    assert received <= most + _SOCKET_BUFFERS_MB, received


@behave.then("the server has seen its connection close")
def check_closed(context):
    assert context.endless.open_connections == 0, context.endless.open_connections


@behave.when("96 threads send it {request} at once")
def send_many(context, request):
    callers = _Callers(context.endless.address, time.monotonic() + 60)
    peak = _read_resident_bytes()
    started_at = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(_MANY) as pool:
        sent = [pool.submit(callers.send, request) for _ in range(_MANY)]
        while not all(item.done() for item in sent):
            peak = max(peak, _read_resident_bytes())
            time.sleep(_SAMPLE_SECONDS)
    context.results = [item.result() for item in sent]
    context.seconds = time.monotonic() - started_at
    context.peak = peak


@behave.then(
    "the process never has more than {most:d} MB, and all have ended within {seconds:d} s"
)
def check_memory(context, most, seconds):
    assert context.peak <= most * _MEGABYTE, context.peak / _MEGABYTE
    assert context.seconds <= seconds, context.seconds
    assert all(context.results), context.results
