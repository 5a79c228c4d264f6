"""Steps for the items of a batch at engines that fail."""

import collections
import threading
import time

import behave
import expression

from oleander_base import clock, tasks
from oleander_batches import journal, submission
from oleander_direct import calls, directory, routes, servers
from oleander_routing import router
from oleander_standins import recordlog
from oleanderdeal import batch_runner, batch_tenures, item_task, ownership, result_writer

_ITEMS = 4
_EVENTS = 6
_MODEL = "m"
_EVENT_SECONDS = 0.005
_SECONDS = {"slow": 0.3, "crawls": 1.0}
"""From one event to the next, where an engine takes longer than usual."""
_TICK_SECONDS = 0.02


class FakeStream(servers.EventStream):
    """Sends the events of one item, as its engine was told to."""

    def __init__(self, engines, behaviour, request, is_cancelled):
        self._engines = engines
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
        if self._next > _EVENTS:
            self.close()
            return expression.Ok(servers.GeneratedEvent("", None, is_end=True))
        number, self._next = self._next, self._next + 1
        self._sent += 1
        version = 1 if self._behaviour == "old" else 2
        self._engines.made[self._item_id, number, version] += 1
        return expression.Ok(servers.GeneratedEvent(f"{self._item_id}.{number}", version))

    def close(self):
        if self._is_open:
            self._is_open = False
            self._engines.running -= 1

    def _breaks(self):
        if self._behaviour != "cut" or self._sent < 3:
            return False
        self._engines.cuts[self._item_id] += 1
        return self._engines.cuts[self._item_id] == 1


class FakeEngines(servers.ServerCaller):
    """Engines and the scorer."""

    def __init__(self, behaviours, scorer="answers"):
        self._behaviours = behaviours
        self._scorer = scorer
        self._refused = collections.Counter()
        self._scored = collections.Counter()
        self.made = collections.Counter()
        self.cuts = collections.Counter()
        self.running = 0
        self.attempts = 0

    def generate(self, server, request, deadline, is_cancelled):
        behaviour = self._behaviours[server.server_id]
        if behaviour == "gone":
            return expression.Error(servers.CallFailure("refused", False))
        if behaviour == "raises":
            raise RuntimeError("a fault of our own")
        if behaviour == "other":
            return expression.Ok(_answer(421, is_other=True))
        if behaviour == "full" and self._refused[server.server_id] < 3:
            self._refused[server.server_id] += 1
            return expression.Ok(_answer(503, did_not_run=True))
        if behaviour in {"fails", "bad"}:
            return expression.Ok(_answer(500 if behaviour == "fails" else 422))
        return expression.Ok(FakeStream(self, behaviour, request, is_cancelled))

    def call(self, server, request, deadline, is_cancelled):
        self._scored[request.request_id] += 1
        first = self._scored[request.request_id] == 1
        if self._scorer == "is full at first" and first:
            return expression.Ok(_answer(503, did_not_run=True))
        if self._scorer == "always fails" or (self._scorer == "fails once" and first):
            return expression.Ok(_answer(500))
        return expression.Ok(_answer(200, stamp=f"score-{request.request_id}"))

    def read_state(self, server, deadline):
        raise AssertionError

    def order(self, server, order, deadline):
        raise AssertionError

    def forget(self, address):
        pass


def _answer(status, did_not_run=False, is_other=False, stamp=""):
    return servers.CallAnswer(status, (), b"", did_not_run, is_other, stamp)


def _route(name, path, kind, backend):
    share = (routes.Share(backend, 1),)
    return routes.Route(name, "h", path, kind, 3000, 400, 0, share, 3, False, False, 7500, 60000)


_TABLE = routes.RouteTable(
    1,
    (
        _route("batches", "/b/", routes.RouteKind.BATCH, "engines"),
        _route("scores", "/s/", routes.RouteKind.IDEMPOTENT, "scorers"),
    ),
    (routes.Backend("engines", (_MODEL,), 1), routes.Backend("scorers", (), 1)),
    routes.Limits(1, 1, 1),
)


class RunnerProcess:
    """One process that runs batches."""

    def __init__(self, log_service, engines, names, member="runner"):
        self.group = tasks.TaskGroup("runner", 64)
        chooser = router.Router(3)
        self._known = directory.Directory(chooser, engines)
        self._known.put_table(_TABLE)
        for name in names:
            self._put_server(name, "engines", (servers.ModelVersion(_MODEL, 2),))
        self._put_server("s1", "scorers", ())
        self.journal = journal.BatchJournal(log_service, self.group, 4, 100.0)
        self.owned = ownership.Ownership(log_service, member, self.group)
        tenures = batch_tenures.BatchTenures(self.journal, self.owned, member)
        dispatcher = calls.CallDispatcher(self._known, chooser, engines)
        items = item_task.ItemRunner(self._known, chooser, engines, dispatcher, self.group)
        writer = result_writer.ResultWriter(self.journal, self.group)
        self.runner = batch_runner.BatchRunner(
            self._known, self.journal, tenures, chooser, items, writer, self.group, 32
        )
        for task in (
            self.journal.follow,
            self.owned.keep,
            writer.write,
            self.runner.feed,
            self.runner.keep_partials,
        ):
            self.group.keep(task)

    def _put_server(self, name, backend, models):
        self._known.put_server(
            servers.Server(name, 1, backend, "127.0.0.1:1", "z", 8, False, models)
        )

    def stop(self):
        self.group.stop()
        self.group.join(clock.start_deadline(10.0))


def _start(context, listed, scorer="answers"):
    behaviours = dict(item.split("=") for item in listed.split())
    context.engines = FakeEngines(behaviours, scorer)
    context.log_service = recordlog.MemoryRecordLog()
    context.process = RunnerProcess(context.log_service, context.engines, list(behaviours))
    context.add_cleanup(lambda: context.process.stop())


@behave.given("a runner with the engines {listed}")
def start_runner(context, listed):
    listed, _, scorer = listed.partition(" and a scorer that ")
    _start(context, listed, scorer or "answers")


@behave.when("a batch that allows versions from {oldest:d} on is accepted")
def accept(context, oldest):
    items = tuple(
        submission.Item(
            str(number),
            "/b/i",
            (),
            b"",
            _EVENTS,
            f"g{number}",
            submission.Scoring(f"s{number}", "h", "/s/x", b""),
        )
        for number in range(_ITEMS)
    )
    submitted = submission.Submission("batch", "h", "/b/1", 0, _MODEL, oldest, 1, items)
    assert context.process.journal.accept(submitted, clock.start_deadline(1.0)).is_ok()


def _wait(seconds, condition, describe):
    until = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until, describe()
        time.sleep(_TICK_SECONDS)


def _read_results(context):
    batch = context.process.journal.find("batch")
    results = []
    while batch is not None and len(results) < len(batch.listed):
        read = context.process.journal.read_results(batch, len(results), clock.start_deadline(1.0))
        results += read.ok.results
    return results


@behave.then("within {seconds:d} s its results are {state}")
def check_results(context, seconds, state):
    _wait(seconds, lambda: len(_read_results(context)) == _ITEMS, lambda: _read_results(context))
    for result in _read_results(context):
        assert result.state.value == state, result
        if state == "done":
            whole = "\n".join(f"{result.item_id}.{number}" for number in range(1, _EVENTS + 1))
            assert result.text == whole, result
            assert result.score == f"score-s{result.item_id}", result
            assert result.versions == (2,), result


@behave.then("no event was made twice from the start where it could go on")
def check_made(context):
    again = {key: count for key, count in context.engines.made.items() if count > 1}
    assert not again, again


@behave.when("the batch is ended")
def end_batch(context):
    _wait(2, lambda: context.engines.running > 0, lambda: "nothing began")
    assert context.process.journal.end("batch", clock.start_deadline(1.0)).is_ok()


@behave.then("within {seconds:d} s nothing runs at the engines")
def check_idle(context, seconds):
    _wait(seconds, lambda: context.engines.running == 0, lambda: context.engines.running)


@behave.when("its items have {events:d} events each")
def wait_events(context, events):
    made = context.engines.made
    _wait(
        10,
        lambda: all(made[str(number), events, 2] for number in range(_ITEMS)),
        lambda: dict(made),
    )


@behave.when("the runner is drained while the log is down")
def drain_in_vain(context):
    context.log_service.faults.is_down = True
    context.process.runner.drain()
    context.log_service.faults.is_down = False


@behave.when("the runner is drained and another takes over with the engines {listed}")
def take_over(context, listed):
    context.process.runner.drain()
    old = context.process
    stopper = threading.Thread(target=old.stop)
    stopper.start()
    behaviours = dict(item.split("=") for item in listed.split())
    context.engines._behaviours = behaviours
    context.process = RunnerProcess(context.log_service, context.engines, list(behaviours))
    stopper.join()


@behave.given("runners a and b with the engines {listed}, all partitions dealt to a")
def start_two_runners(context, listed):
    context.log_service = recordlog.MemoryRecordLog()
    _deal(context, "a")
    behaviours = dict(item.split("=") for item in listed.split())
    context.engines = FakeEngines(behaviours)
    context.clients = {name: context.log_service.create_client() for name in "ab"}
    context.processes = {
        name: RunnerProcess(client, context.engines, list(behaviours), name)
        for name, client in context.clients.items()
    }
    context.process = context.processes["a"]
    for process in context.processes.values():
        context.add_cleanup(process.stop)
    _wait(2, lambda: all(p.journal.is_caught_up for p in context.processes.values()), str)


def _deal(context, name):
    for member in "ab":
        is_dealt = member == name
        context.log_service.dealt[member] = frozenset(range(64) if is_dealt else ())


@behave.when("all partitions are dealt to {name}")
def deal(context, name):
    _deal(context, name)


@behave.when("runner a ends without a word")
def end_abruptly(context):
    context.processes["a"].stop()
    context.process = context.processes["b"]


@behave.when("runner {name} is drained")
def drain(context, name):
    context.processes[name].runner.drain()


@behave.when("the log is {state} for runner {name}")
def break_log(context, state, name):
    context.clients[name].faults.is_down = state == "down"


@behave.when("after {seconds:g} s")
def let_pass(context, seconds):
    time.sleep(seconds)


@behave.then("each item was begun once")
def check_attempts(context):
    assert context.engines.attempts == _ITEMS, context.engines.attempts


@behave.step("within {seconds:g} s runner {name} runs {items:d} items")
def check_running(context, seconds, name, items):
    runner = context.processes[name].runner
    _wait(seconds, lambda: runner.running == items, lambda: runner.running)


@behave.then("runner {name} goes on with its {items:d} items")
def check_still_running(context, name, items):
    assert context.processes[name].runner.running == items, context.processes[name].runner.running


@behave.when("runner a has lost its partitions")
def wait_lost(context):
    owned = context.processes["a"].owned
    _wait(2, lambda: not owned.partitions, lambda: owned.partitions)


@behave.when("runner b is started anew with all partitions")
def start_anew(context):
    context.processes["b"].stop()
    _deal(context, "b")
    engines = context.engines
    context.processes["b"] = RunnerProcess(context.clients["b"], engines, ["e1", "e2"], "b")
    context.add_cleanup(context.processes["b"].stop)
