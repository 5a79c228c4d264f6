"""Steps for items under which servers ended although the items are sound."""

import json
import time
import types
import unittest.mock

import behave
import expression

import front_platform
import front_site
import platform_messages
import platform_standin
import server_fakes
from oleander_base import clock
from oleander_batches import batch_table, records, submission
from oleander_direct import crash_guard, directory, routes, servers
from oleander_quarantine import ledger
from oleander_routing import router
from oleanderdeal import batch_runner, item_task

_MODEL = "m"
_ITEM = "i0"
_CALM_SECONDS = 60.0
_TICK_SECONDS = 0.05
_START_SECONDS = 1e9
"""When simulated time starts: beyond the uptime of any machine, so that a time which is read from
the real clock makes the rows fail on each machine."""
_SEED = 11
_BURST_SECONDS = 45.0
_CRASHES = 10
_PAUSE_SECONDS = 0.05


class SilentPublisher(crash_guard.CrashPublisher):
    """Tells no other process."""

    def publish(self, crash):
        pass

    def withdraw(self, keys):
        pass


class EndingStream(servers.EventStream):
    """Sends some events, then ends with its server."""

    def __init__(self, first, events):
        self._events = [servers.GeneratedEvent(f"{first + n}", 1) for n in range(events)]

    def read_event(self):
        if self._events:
            return expression.Ok(self._events.pop(0))
        return expression.Error(servers.CallFailure("reset", True, server_ended=True))

    def close(self):
        pass


class EndingEngines(server_fakes.FailingCaller):
    """Engines that end under one item as often as stated, then reject it, which ends it."""

    def __init__(self, crashes, events, read_now, on_end):
        self.crashes = crashes
        self.sent_at = []
        self.ended = set()
        """The names of the engines that have ended."""
        self._events = events
        self._read_now = read_now
        self._on_end = on_end

    def generate(self, server, request, deadline, is_cancelled):
        if server.server_id in self.ended:
            return expression.Error(servers.CallFailure("refused", False))
        if request.call.request_id != _ITEM:
            answer = servers.CallAnswer(422, (), b"", False, False, "")
            return expression.Ok(answer)
        self.sent_at.append(self._read_now())
        if len(self.sent_at) > self.crashes:
            return expression.Ok(servers.CallAnswer(422, (), b"", False, False, ""))
        self.ended.add(server.server_id)
        self._on_end()
        return expression.Ok(EndingStream(request.resumed_events + 1, self._events))


class SimulatedRunner:
    """
    A batch runner on one thread in simulated time, whose engines end under an item.

    The instance also stands in for the runner's journal, index, ownership and result writer, the
    methods below `_add_engine`.
    """

    def __init__(self, items, crashes, events, pause):
        self.now = _START_SECONDS
        self.free_since = self.now
        self.waits = []
        self._pause = pause
        self._number = 0
        self._restart_at = 0.0
        self._items = tuple(
            submission.Item(f"i{n}", f"/b/{n}", (), b"", 50, f"g{n}", None) for n in range(items)
        )
        self._submitted = submission.Submission("b", "h", "/b/1", 0, _MODEL, 1, 1, self._items)
        accepted = records.Accepted("b", "h", "/b/1", _MODEL, 0, 1, 0, 1, items)
        self._batch = batch_table.Batch(accepted, self.now)
        self.engines = EndingEngines(crashes, events, lambda: self.now, self._end)
        self._group = types.SimpleNamespace(
            is_stopping=False, start=lambda task: task(), pause=lambda _: True
        )

    def run(self):
        """Run until the item's last attempt, or for a minute of calm."""
        with unittest.mock.patch.object(clock, "read_now", lambda: self.now):
            self._build().start_items()

    def _build(self):
        self._router = router.Router(1, lambda: self.now)
        self._known = directory.Directory(self._router, self.engines)
        share = (routes.Share("engines", 1),)
        kind = routes.RouteKind.BATCH
        route = routes.Route(
            "r", "h", "/b/", kind, 3000, 400, 0, share, 3, False, False, 60_000, 600_000
        )
        backends = (routes.Backend("engines", (_MODEL,), 1),)
        self._known.update_table(routes.RouteTable(1, (route,), backends, routes.Limits(1, 1, 1)))
        self._add_engine()
        guard = crash_guard.CrashGuard(
            self._known,
            ledger.CrashLedger(1, lambda: self.now),
            SilentPublisher(),
            lambda: self.now,
        )
        group = self._group
        items = item_task.ItemRunner(self._known, self._router, self.engines, None, group, guard)
        return batch_runner.BatchRunner(
            self._known, self, self, self._router, items, self, group, 8
        )

    def wait_for_change(self, seconds):
        """Advance the time, as the index that the runner waits for."""
        sent = len(self.engines.sent_at)
        since = max([self.free_since, *self.engines.sent_at[-1:]])
        self.now += _TICK_SECONDS
        self._known.record_list_read()
        for name in self.engines.ended:
            self._known.remove_server(name)
        if self._restart_at and self.now >= self._restart_at:
            self._restart_at = 0.0
            self._add_engine()
            self.free_since = self.now
        if sent > self.engines.crashes or self.now > since + _CALM_SECONDS:
            self._group.is_stopping = True

    def _end(self):
        """Note how long the item waited, and let the engine come back under a new name."""
        self.waits.append(self.now - self.free_since)
        self._restart_at = self.now + self._pause

    def _add_engine(self):
        self._number += 1
        versions = (servers.ModelVersion(_MODEL, 1),)
        self._known.update_server(
            servers.Server(f"e{self._number}", 1, "engines", "e:1", "z", 8, False, versions)
        )

    index = property(lambda self: self)
    """The runner reads the index of its journal; both are this object."""
    is_full = False

    def list_open(self):
        return [self._batch]

    def expect_updates(self, is_expected):
        pass

    def wake(self):
        pass

    def read_submission(self, batch, deadline):
        return expression.Ok(self._submitted)

    def must_stop(self, batch):
        return False

    def may_take(self, batch):
        return True

    def record_taken(self, batch):
        pass

    def list_unwritten(self, batch_id):
        return set()

    def add(self, batch_id, number, result):
        self._batch.finished_items.add(number)


@behave.given("a runner with a free engine and an item in a step of {items:d} items")
def note_items(context, items):
    context.items = items


@behave.when("{crashes:d} engines end under it after {events:d} events each, every {pause:g} s")
def run_burst(context, crashes, events, pause):
    context.simulated = SimulatedRunner(context.items, crashes, events, pause)
    context.simulated.run()
    context.expected = crashes + 1


@behave.then("it was never at no engine for more than {seconds:d} s while one was free")
def check_waits(context, seconds):
    simulated = context.simulated
    sent = simulated.engines.sent_at
    assert len(sent) == context.expected, (len(sent), simulated.waits)
    waits = [*simulated.waits, sent[-1] - simulated.free_since]
    assert max(waits) <= seconds, waits


class CrashCount:
    """The servers that still end under the unlucky item of a site."""

    def __init__(self, left):
        self._left = left

    @property
    def is_over(self):
        return self._left <= 0

    def take(self):
        if self.is_over:
            return False
        self._left -= 1
        return True


@behave.given("three programs, and ten {servers} that end under an item's {part}")
def start_unlucky(context, servers, part):
    context.site = front_site.FrontSite(_SEED, **{servers: 4})
    context.add_cleanup(context.site.stop)
    context.crashes = CrashCount(_CRASHES)
    for server in (*context.site.engines, *context.site.services):
        server.take_crash = context.crashes.take


@behave.when("a batch of {count:d} items is submitted, one of them unlucky in its {part}")
def submit_unlucky(context, count, part):
    names = [f"item-{number}" for number in range(count)]
    chosen = {"fatal" if part == "prompt" else "fatal_scores": names[:1]}
    context.body = platform_messages.describe_batch(
        names, crash_body=platform_standin.UNLUCKY_BODY, **chosen
    )
    _submit(context, context.site.fronts[0], "batch-1")


def _submit(context, front, batch_id):
    context.batch_id = batch_id
    answer = front.try_ask("POST", "/items/batch", context.body, batch_id)
    assert answer and answer[0] == 202, answer


@behave.when("ten servers have ended, and {then}")
def wait_burst(context, then):
    until = time.monotonic() + _BURST_SECONDS
    while not context.crashes.is_over:
        assert time.monotonic() < until, context.site.read_logs()[-4000:]
        time.sleep(_PAUSE_SECONDS)
    context.calm_at = time.monotonic()
    if then == "the program that runs it is killed":
        running = [
            front for front in context.site.fronts if '"batch-taken"' in front.output.read_text()
        ]
        running[-1].end()
    elif then == "its step is submitted again":
        front = context.site.fronts[1]
        assert front.ask("DELETE", f"/api/lots/{context.batch_id}")[0] == 200
        _submit(context, front, "batch-2")


@behave.then("within {seconds:d} seconds of that the item is completed")
def check_completed(context, seconds):
    def is_completed():
        fronts = [front for front in context.site.fronts if front.process.poll() is None]
        answer = fronts[-1].try_ask("GET", f"/api/lots/{context.batch_id}?after=0")
        listed = json.loads(answer[2])["results"] if answer and answer[0] == 200 else []
        return any((item["id"], item["state"]) == ("item-0", "completed") for item in listed)

    front_platform.wait_until(is_completed, lambda: context.site.read_logs()[-4000:])
    assert time.monotonic() - context.calm_at <= seconds, time.monotonic() - context.calm_at
