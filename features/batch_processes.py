"""Processes that run batches in memory, with fake engines of configurable behaviour."""

import collections
import threading
import time

import expression

import server_fakes
from oleander_base import clock, tasks
from oleander_batches import journal
from oleander_direct import calls, directory, routes, servers
from oleander_routing import router
from oleanderdeal import batch_ownership, batch_runner, item_task, ownership, result_writer

ITEMS = 4
EVENTS = 6
MODEL = "m"
_EVENT_SECONDS = 0.005
_SECONDS = {"slow": 0.3, "crawls": 1.0}
"""The seconds between two events of an engine, by the engine's behaviour."""
_TICK_SECONDS = 0.02
_SCORING_SECONDS = 0.2


class FakeStream(servers.EventStream):
    """Sends the events of one item according to its engine's behaviour."""

    def __init__(self, engines, name, request, is_cancelled):
        behaviour = engines.behaviours[name]
        self._engines = engines
        self._name = name
        self._version = engines.versions.get(name, 1 if behaviour == "old" else 2)
        self._behaviour = behaviour
        self._item_id = request.call.request_id
        self._next = request.resumed_events + 1
        self._sent = 0
        self._is_cancelled = is_cancelled
        engines.running += 1
        engines.attempts += 1
        self._is_open = True

    def read_event(self):
        if self._breaks():
            self.close()
            return expression.Error(servers.CallFailure("reset", True))
        seconds = _SECONDS.get(self._behaviour, _EVENT_SECONDS)
        stuck = self._behaviour == "stuck" and self._sent
        until = time.monotonic() + (60.0 if stuck else seconds)
        while time.monotonic() < until:
            if self._is_cancelled():
                self.close()
                return expression.Error(servers.CallFailure("cancelled", True, True))
            time.sleep(_EVENT_SECONDS)
        if self._next > EVENTS:
            self.close()
            return expression.Ok(servers.GeneratedEvent("", None, is_end=True))
        number, self._next = self._next, self._next + 1
        self._sent += 1
        self._engines.generated[self._item_id, number, self._version] += 1
        return expression.Ok(servers.GeneratedEvent(f"{self._item_id}.{number}", self._version))

    def close(self):
        if self._is_open:
            self._is_open = False
            self._engines.running -= 1

    def _breaks(self):
        if self._name in self._engines.crashed:
            return True
        if self._behaviour != "cut" or self._sent < 3:
            return False
        self._engines.cuts[self._item_id] += 1
        return self._engines.cuts[self._item_id] == 1


class FakeEngines(server_fakes.FailingCaller):
    """Fake engines and a fake scorer, which count events, attempts and running streams."""

    def __init__(self, behaviours, scorer="answers"):
        self.behaviours = behaviours
        self.versions = {}
        """The weight version that an engine generates with, if not that of its behaviour."""
        self.crashed = set()
        """The names of the engines that break off their streams and refuse connections."""
        self.wrap_items = lambda items: items
        """Replaces the item runner of a process that is started."""
        self._scorer = scorer
        self._refused = collections.Counter()
        self._scored = collections.Counter()
        self.generated = collections.Counter()
        self.asked = collections.Counter()
        self.cuts = collections.Counter()
        self.running = 0
        self.attempts = 0
        self.sent = []
        """The item and the class of each request that an engine got."""
        self.scoring = collections.Counter()
        """The scorings that run now, and the most that ran at once."""
        self._scoring_lock = threading.Lock()

    def generate(self, server, request, deadline, is_cancelled):
        self.sent.append((request.call.request_id, request.urgency))
        behaviour = self.behaviours[server.server_id]
        self.asked[request.call.request_id] += 1
        if behaviour == "gone" or server.server_id in self.crashed:
            return expression.Error(servers.CallFailure("refused", False))
        if behaviour == "raises":
            raise RuntimeError("a fault of our own")
        if behaviour == "other":
            return expression.Ok(_answer(421, is_other=True))
        if behaviour == "busy" or (behaviour == "full" and self._refused[server.server_id] < 3):
            self._refused[server.server_id] += 1
            return expression.Ok(_answer(503, did_not_run=True))
        if behaviour == "late" and self._refused[request.call.request_id] < 3:
            self._refused[request.call.request_id] += 1
            return expression.Ok(_answer(504))
        if behaviour in {"fails", "bad"}:
            return expression.Ok(_answer(500 if behaviour == "fails" else 422))
        return expression.Ok(FakeStream(self, server.server_id, request, is_cancelled))

    def call(self, server, request, deadline, is_cancelled):
        if self._scorer == "takes 200 ms":
            self._score_slowly()
        self._scored[request.request_id] += 1
        first = self._scored[request.request_id] == 1
        if self._scorer == "is full at first" and first:
            return expression.Ok(_answer(503, did_not_run=True))
        if self._scorer == "is late 3 times" and self._scored[request.request_id] <= 3:
            return expression.Ok(_answer(504))
        if self._scorer == "always fails" or (self._scorer == "fails once" and first):
            return expression.Ok(_answer(500))
        return expression.Ok(_answer(200, stamp=f"score-{request.request_id}"))

    def _score_slowly(self):
        with self._scoring_lock:
            self.scoring["now"] += 1
            self.scoring["most"] = max(self.scoring["most"], self.scoring["now"])
        time.sleep(_SCORING_SECONDS)
        with self._scoring_lock:
            self.scoring["now"] -= 1


def _answer(status, did_not_run=False, is_other=False, stamp=""):
    return servers.CallAnswer(status, (), b"", did_not_run, is_other, stamp)


def _route(name, path, kind, backend, is_single_version=False):
    share = (routes.Share(backend, 1),)
    return routes.Route(
        name, "h", path, kind, 3000, 400, 0, share, 3, False, is_single_version, 7500, 60000
    )


_TABLE = routes.RouteTable(
    1,
    (
        _route("batches", "/b/", routes.RouteKind.BATCH, "engines"),
        _route("single", "/u/", routes.RouteKind.BATCH, "engines", is_single_version=True),
        _route("scores", "/s/", routes.RouteKind.IDEMPOTENT, "scorers"),
    ),
    (routes.Backend("engines", (MODEL,), 1), routes.Backend("scorers", (), 1)),
    routes.Limits(1, 1, 1),
)


class RunnerProcess:
    """The parts of a process that run batches, connected to a log in memory and fake engines."""

    def __init__(self, log_service, engines, names, member="runner", listed_versions=None):
        self.group = tasks.TaskGroup("runner", 64)
        self.router = chooser = router.Router(3)
        self._known = directory.Directory(chooser, engines)
        self._known.update_table(_TABLE)
        for name in names:
            self.put_engine(name, (listed_versions or {}).get(name, 2))
        self._put_server("s1", "scorers", ())
        self.journal = journal.BatchJournal(log_service, self.group, 4, 100.0)
        self.owned = ownership.PartitionOwnership(log_service, member, self.group)
        tenures = batch_ownership.BatchOwnership(self.journal, self.owned, member)
        dispatcher = calls.CallDispatcher(self._known, chooser, engines)
        items = engines.wrap_items(
            item_task.ItemRunner(self._known, chooser, engines, dispatcher, self.group)
        )
        writer = result_writer.ResultWriter(self.journal, self.group)
        self.runner = batch_runner.BatchRunner(
            self._known, self.journal, tenures, chooser, items, writer, self.group, 32
        )
        for task in (
            self.journal.index.follow,
            self.owned.maintain_membership,
            writer.write,
            self.runner.start_items,
            self.runner.checkpoint_partials,
        ):
            self.group.supervise(task)

    def put_engine(self, name, version):
        self._put_server(name, "engines", (servers.ModelVersion(MODEL, version),))

    def _put_server(self, name, backend, models):
        self._known.update_server(
            servers.Server(name, 1, backend, "127.0.0.1:1", "z", 8, False, models)
        )

    def stop(self):
        self.group.stop()
        self.group.join(clock.start_deadline(10.0))


def wait_until(seconds, condition, describe):
    until = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until, describe()
        time.sleep(_TICK_SECONDS)
