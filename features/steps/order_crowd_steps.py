"""Steps for weight loads that are ordered by several processes; time is simulated."""

import dataclasses
import types
import unittest.mock

import behave
import expression

import keeper_fakes
import server_fakes
import virtual_time
from oleander_base import clock
from oleander_direct import directory, routes, servers

_MODEL = "m"
_TICK_SECONDS = 0.1
_LIST_SECONDS = 1.0
"""Seconds from the end of a load until the server list shows the new version."""
_FIRST_VERSION = 1
_START = 1000.0


@dataclasses.dataclass(slots=True)
class LoadingEngine:
    """A simulated engine that loads weights as ordered."""

    name: str
    version: int = _FIRST_VERSION
    loading_version: int = 0
    remaining_seconds: float = 0.0
    accepted_orders: int = 0
    changed_at: float = 0.0
    listed_version: int = _FIRST_VERSION

    @property
    def is_loading(self):
        return self.remaining_seconds > 0.0


class Fleet(server_fakes.FailingCaller):
    """The simulated engines, each of which gets load orders from a process of its own."""

    def __init__(self, count, seconds):
        self.now = _START
        self.seconds = seconds
        self.engines = {f"s{n}": LoadingEngine(f"s{n}") for n in range(count)}
        self.targets = {}
        self.max_loading = 0
        self.asked_count = 0
        self.ordering_id = ""
        self.shared = keeper_fakes.SharedLedgers()
        self.keepers = {name: self._create_keeper(name) for name in self.engines}

    def read_state(self, server, deadline):
        self.asked_count += self.ordering_id != server.server_id
        engine = self.engines[server.server_id]
        models = (servers.ModelVersion(_MODEL, engine.version),)
        return expression.Ok(
            servers.EngineState(models, engine.is_loading, engine.accepted_orders)
        )

    def order(self, server, order, deadline):
        engine = self.engines[server.server_id]
        assert not engine.is_loading, order
        engine.loading_version = order.version
        engine.remaining_seconds = self.seconds
        engine.accepted_orders += 1
        return servers.OrderTaken(is_done=False)

    def run(self, until):
        with unittest.mock.patch.object(clock, "read_now", lambda: self.now):
            while self.now < until:
                self._advance()
                for name, keeper in self.keepers.items():
                    self.ordering_id = name
                    keeper.give_due_orders()

    def list_servers(self, backend):
        return [
            _build_server(engine.name, backend, engine.listed_version)
            for engine in self.engines.values()
        ]

    def _advance(self):
        self.now += _TICK_SECONDS
        loading = [engine for engine in self.engines.values() if engine.is_loading]
        self.max_loading = max(self.max_loading, len(loading))
        slower = max(1.0, len(loading) / max(2, len(self.engines) / 3))
        for engine in loading:
            engine.remaining_seconds -= _TICK_SECONDS / slower
            if not engine.is_loading:
                engine.version, engine.changed_at = engine.loading_version, self.now
        for engine in self.engines.values():
            if self.now - engine.changed_at >= _LIST_SECONDS:
                engine.listed_version = engine.version

    def _create_keeper(self, name):
        known = _create_directory(self.list_servers, lambda: self.targets)
        return keeper_fakes.create_keeper(known, {name}, self, self.shared)


class SilentServers(server_fakes.FailingCaller):
    """Servers of one process, some of which don't answer; calls take virtual time."""

    def __init__(self, count, silent):
        self.time = virtual_time.VirtualTime()
        self.ids = [f"s{n}" for n in range(count)]
        self.silent = set(self.ids[:silent])
        self.targets = {}
        self.ordered = []
        known = _create_directory(self.list_servers, lambda: self.targets)
        self.keeper = keeper_fakes.create_keeper(
            known, set(self.ids), self, keeper_fakes.SharedLedgers(), self.time.start
        )

    def list_servers(self, backend):
        return [_build_server(name, backend, _FIRST_VERSION) for name in self.ids]

    def read_state(self, server, deadline):
        if server.server_id in self.silent:
            self.time.sleep(deadline.remaining)
            return expression.Error(servers.CallFailure("timeout", True))
        models = (servers.ModelVersion(_MODEL, _FIRST_VERSION),)
        return expression.Ok(servers.EngineState(models, False, 0))

    def order(self, server, order, deadline):
        self.ordered.append((clock.read_now(), server.server_id))
        return servers.OrderTaken(is_done=False)

    def run(self, seconds):
        self.targets = {_MODEL: directory.TargetVersion(_FIRST_VERSION + 1, clock.read_now())}
        deadline = clock.start_deadline(seconds)
        while not deadline.is_past:
            self.keeper.give_due_orders()
            self.time.sleep(_TICK_SECONDS)


def _create_directory(list_servers, list_targets):
    table = routes.RouteTable(
        1, (), (routes.Backend("engines", (_MODEL,), 1),), routes.Limits(1, 1, 1)
    )
    return types.SimpleNamespace(
        table=table,
        list_servers=list_servers,
        list_target_versions=list_targets,
        add_loss_callback=lambda on_lost: None,
    )


def _build_server(name, backend, version):
    models = (servers.ModelVersion(_MODEL, version),)
    return servers.Server(name, 1, backend, "127.0.0.1:1", "z", 8, False, models)


@behave.given("{count:d} servers, each ordered by its own process, whose loads take {seconds:g} s")
def create_fleet(context, count, seconds):
    context.fleet = Fleet(count, seconds)
    context.stuck = set()


@behave.when("{count:d} of them never finish loading")
def block_loads(context, count):
    context.stuck = set(list(context.fleet.engines)[:count])
    for name in context.stuck:
        context.fleet.engines[name].remaining_seconds = float("inf")


@behave.when("{count:d} versions are published, one every {seconds:d} s")
def publish_versions(context, count, seconds):
    fleet = context.fleet
    for version in range(_FIRST_VERSION + 1, _FIRST_VERSION + 1 + count):
        fleet.targets = {_MODEL: directory.TargetVersion(version, fleet.now)}
        context.last_published_at = fleet.now
        context.last_version = version
        if version < _FIRST_VERSION + count:
            fleet.run(fleet.now + seconds)


@behave.then("never more than {most:d} servers load at once")
def check_most(context, most):
    assert context.fleet.max_loading <= most, context.fleet.max_loading


@behave.then("after the last is published, every {kind} has it within {seconds:d} s")
def check_loaded(context, kind, seconds):
    context.fleet.run(context.last_published_at + seconds)
    has = {
        name: engine.version
        for name, engine in context.fleet.engines.items()
        if name not in context.stuck
    }
    assert set(has.values()) == {context.last_version}, has


@behave.then("the processes asked other servers at most {most:d} times")
def check_asked(context, most):
    assert context.fleet.asked_count <= most, context.fleet.asked_count


@behave.given(
    "a process that holds the leases of {count:d} servers, {silent:d} of which don't answer"
)
def create_silent_servers(context, count, silent):
    context.silent_servers = SilentServers(count, silent)


@behave.when("it gives orders for {seconds:g} s after a version was published")
def give_orders(context, seconds):
    time = context.silent_servers.time
    context.published_at = time.read_now()
    with unittest.mock.patch.object(clock, "read_now", time.read_now):
        time.run(context.silent_servers.run, seconds)


@behave.then("each server that answers was ordered once, the last within {seconds:g} s")
def check_ordered(context, seconds):
    fleet = context.silent_servers
    ordered = sorted(name for _, name in fleet.ordered)
    assert ordered == sorted(set(fleet.ids) - fleet.silent), ordered
    last = max(at for at, _ in fleet.ordered) - context.published_at
    assert last <= seconds, last
