"""Steps for weights that crash the servers loading them; time is simulated."""

import dataclasses
import unittest.mock

import behave
import expression

import keeper_fakes
import server_fakes
from oleander_base import clock
from oleander_direct import directory, routes, servers
from oleander_orders import load_guard
from oleander_routing import router

_BACKEND = "engines"
_MODEL = "m"
_FIRST_VERSION = 1
_START_SECONDS = 1000.0
_TICK_SECONDS = 0.1
_LOAD_SECONDS = 0.9
_RESTART_SECONDS = 3.0
_QUARANTINE_DELAY_SECONDS = 3.0
_CRASH_THRESHOLD = 3
_BURST_SECONDS = 4.0
_LATE_SECONDS = 9.0
_TABLE = routes.RouteTable(
    1, (), (routes.Backend(_BACKEND, (_MODEL,), 1),), routes.Limits(1, 1, 1)
)


@dataclasses.dataclass(slots=True)
class LoadingEngine:
    """A simulated engine that loads weights as ordered, and may end and restart."""

    name: str
    version: int = _FIRST_VERSION
    started_ms: int = 1
    accepted_orders: int = 0
    loading: int | None = None
    loaded_at: float = 0.0
    ends_at: float = float("inf")
    restarts_at: float | None = None

    def lose(self, now):
        self.version, self.loading, self.accepted_orders = _FIRST_VERSION, None, 0
        self.ends_at, self.restarts_at = float("inf"), now + _RESTART_SECONDS


class Fleet(server_fakes.FailingCaller):
    """The simulated engines, and the two processes that send them load orders."""

    def __init__(self, count):
        self.now = _START_SECONDS
        self.fatal_seconds = None
        self.engines = {f"s{n}": LoadingEngine(f"s{n}") for n in range(count)}
        self.ordered_at = []
        self.ended_at = []
        self.shared = keeper_fakes.SharedLedgers()
        with self.patch_clock():
            names = list(self.engines)
            self.processes = [self._create_process(set(names[n::2])) for n in range(2)]

    def patch_clock(self):
        return unittest.mock.patch.object(clock, "read_now", lambda: self.now)

    def read_state(self, server, deadline):
        engine = self._find(server)
        if engine is None:
            return expression.Error(servers.CallFailure("refused", False))
        models = (servers.ModelVersion(_MODEL, engine.version),)
        is_loading = engine.loading is not None
        return expression.Ok(servers.EngineState(models, is_loading, engine.accepted_orders))

    def order(self, server, order, deadline):
        engine = self._find(server)
        if engine is None:
            return servers.OrderUnknown("refused")
        self.ordered_at.append(self.now)
        engine.loading, engine.loaded_at = order.version, self.now + _LOAD_SECONDS
        engine.accepted_orders += 1
        if self.fatal_seconds is not None:
            engine.ends_at = self.now + self.fatal_seconds
        if self.fatal_seconds == 0.0:
            self._end(engine)
            return servers.OrderUnknown("reset")
        return servers.OrderTaken(is_done=False)

    def run(self, version, seconds, fatal_seconds):
        self.fatal_seconds = fatal_seconds
        with self.patch_clock():
            for known, _ in self.processes:
                known.set_target_version(_MODEL, version)
            until = self.now + seconds
            while self.now < until:
                self.now += _TICK_SECONDS
                self._advance()
                for known, keeper in self.processes:
                    known.record_list_read()
                    keeper.give_due_orders()

    def restart_all(self):
        for engine in self.engines.values():
            engine.started_ms += 2
            self.list_engine(engine)

    def lose(self, names):
        with self.patch_clock():
            for name in names:
                self._end(self.engines[name])

    def list_engine(self, engine):
        for known, _ in self.processes:
            known.update_server(self._describe(engine))

    def _advance(self):
        for engine in self.engines.values():
            if engine.restarts_at is not None:
                self._restart(engine)
            elif engine.ends_at <= self.now:
                self._end(engine)
            elif engine.loading is not None and engine.loaded_at <= self.now:
                engine.version, engine.loading = engine.loading, None
                self.list_engine(engine)

    def _end(self, engine):
        self.ended_at.append(self.now)
        engine.lose(self.now)
        for known, _ in self.processes:
            known.remove_server(engine.name)

    def _restart(self, engine):
        if engine.restarts_at <= self.now:
            engine.restarts_at = None
            engine.started_ms += 1
            self.list_engine(engine)

    def _find(self, server):
        engine = self.engines[server.server_id]
        is_there = engine.restarts_at is None and engine.started_ms == server.started_ms
        return engine if is_there else None

    def _describe(self, engine):
        models = (servers.ModelVersion(_MODEL, engine.version),)
        return servers.Server(
            engine.name, engine.started_ms, _BACKEND, f"{engine.name}:1", "z", 8, False, models
        )

    def _create_process(self, owned_ids):
        known = directory.Directory(router.Router(7), self)
        known.update_table(_TABLE)
        known.record_list_read()
        for engine in self.engines.values():
            known.update_server(self._describe(engine))
        return known, keeper_fakes.create_keeper(known, owned_ids, self, self.shared)


@behave.given("{count:d} servers that two processes order")
def create_fleet(context, count):
    context.fleet = Fleet(count)


@behave.given("{count:d} servers that two processes order, of which {done:d} runs version 2")
def create_partly_loaded_fleet(context, count, done):
    context.fleet = Fleet(count)
    with context.fleet.patch_clock():
        for engine in list(context.fleet.engines.values())[:done]:
            engine.version = 2
            context.fleet.list_engine(engine)


@behave.when(
    "version {version:d}, which ends a server {fatal:g} s into a load,"
    " is the target for {length:g} s"
)
def publish_fatal_version(context, version, fatal, length):
    context.fleet.run(version, length, fatal)


@behave.when("version {version:d}, which ends no server, is the target for {length:g} s")
def publish_sound_version(context, version, length):
    context.fleet.run(version, length, None)


@behave.when("the other servers are lost")
def lose_others(context):
    fleet = context.fleet
    fleet.lose([item.name for item in fleet.engines.values() if item.version == _FIRST_VERSION])


@behave.then(
    "at most {most:d} servers were ordered to load it later than 3 s after it ended the third"
)
def check_orders(context, most):
    fleet = context.fleet
    assert len(fleet.ended_at) >= _CRASH_THRESHOLD, fleet.ended_at
    known_at = fleet.ended_at[_CRASH_THRESHOLD - 1] + _QUARANTINE_DELAY_SECONDS
    later = [at for at in fleet.ordered_at if at > known_at]
    assert len(later) <= most, f"{len(later)} later, {len(fleet.ended_at)} ended in all"


@behave.then("never more than {most:d} servers ended within 4 s, but at first")
def check_bursts(context, most):
    ended = context.fleet.ended_at
    later = [at for at in ended if at > ended[_CRASH_THRESHOLD - 1] + _QUARANTINE_DELAY_SECONDS]
    for begin in later:
        burst = [at for at in later if begin <= at < begin + _BURST_SECONDS]
        assert len(burst) <= most, burst


@behave.then("every server runs version {version:d}")
def check_versions(context, version):
    has = {name: engine.version for name, engine in context.fleet.engines.items()}
    assert set(has.values()) == {version}, has


@behave.when("each server was ordered to load version {version:d} and {end}")
def order_and_end_load(context, version, end):
    fleet = context.fleet
    known, _ = fleet.processes[0]
    crashes = fleet.shared.ledgers[0]
    with fleet.patch_clock():
        guard = load_guard.LoadGuard(known, crashes, fleet.shared, lambda: fleet.now)
        for server in known.list_servers(_BACKEND):
            guard.register_load(server, _MODEL, version)
            _LOAD_ENDS[end](fleet, guard, server, version)
        fleet.restart_all()
        context.limit = guard.find_server_limit(known.list_servers(_BACKEND), _MODEL, version)


def _lose(fleet, guard, server, version):
    fleet.processes[0][0].remove_server(server.server_id)


def _replace(fleet, guard, server, version):
    fleet.processes[0][0].update_server(
        dataclasses.replace(server, started_ms=server.started_ms + 1)
    )


def _leave(fleet, guard, server, version):
    fleet.processes[0][0].update_server(dataclasses.replace(server, is_leaving=True))
    _lose(fleet, guard, server, version)


def _refuse(fleet, guard, server, version):
    guard.record_refused(server)
    _lose(fleet, guard, server, version)


def _refuse_repeated(fleet, guard, server, version):
    guard.register_load(server, _MODEL, version)
    _refuse(fleet, guard, server, version)


def _load(fleet, guard, server, version):
    guard.record_loaded(server, _MODEL, version)
    _lose(fleet, guard, server, version)


def _list_loaded(fleet, guard, server, version):
    models = (servers.ModelVersion(_MODEL, version),)
    fleet.processes[0][0].update_server(dataclasses.replace(server, models=models))
    _lose(fleet, guard, server, version)


def _lose_late(fleet, guard, server, version):
    fleet.now += _LATE_SECONDS
    fleet.processes[0][0].record_list_read()
    _lose(fleet, guard, server, version)


_LOAD_ENDS = {
    "is lost": _lose,
    "is replaced at its address": _replace,
    "leaves and is gone": _leave,
    "refuses, and is lost": _refuse,
    "refuses it when it is repeated, and is lost": _refuse_repeated,
    "has loaded it, and is lost": _load,
    "lists it, and is lost": _list_loaded,
    "is lost 9 s later": _lose_late,
}


@behave.then("version 2 is {state}")
def check_quarantine(context, state):
    assert context.limit == {"quarantined": 0, "allowed": None}[state], context.limit
