"""Steps for a fleet of engines that load versions of three models; time is simulated."""

import collections
import dataclasses
import unittest.mock

import behave

import keeper_fakes
import server_fakes
from oleander_base import clock
from oleander_direct import directory, servers
from oleander_orders import load_guard, plan
from oleander_quarantine import ledger
from oleander_routing import router

_STEP_SECONDS = 0.05
_OBSERVED_VERSIONS = 4
_QUARANTINE_SECONDS = ledger.LOAD_QUARANTINE_SECONDS + 0.1


@behave.given(
    "{count:d} engines and 3 models whose versions come every {seconds:d} s"
    " and steps allow {lag:d} behind"
)
def create_fleet(context, count, seconds, lag):
    context.count = count
    context.seconds = seconds
    context.lag = lag
    context.versions = {(f"s{n}", model): 1 for n in range(count) for model in "abc"}


@behave.when("{versions:d} versions of each model were published and loaded")
def publish_versions(context, versions):
    context.loads = collections.Counter()
    context.usable = []
    planner = context.planner = plan.OrderPlanner()
    now = [1000.0]
    with unittest.mock.patch.object(clock, "read_now", lambda: now[0]):
        for model in "abc":
            planner.record_allowed_lag(model, context.lag)
        for version in range(2, versions + 2):
            targets = {model: directory.TargetVersion(version, now[0]) for model in "abc"}
            context.targets = targets
            has = [context.versions[key] for key in context.versions if key[1] == "a"]
            context.usable.append(sum(item >= version - context.lag for item in has))
            until = now[0] + context.seconds
            while now[0] < until:
                for order in _plan_orders(context, targets):
                    key = (order.server.server_id, order.model)
                    context.versions[key] = order.version
                    context.loads[key] += 1
                now[0] += 0.5


def _list_engines(context):
    return [
        servers.Server(
            f"s{n}",
            1,
            "engines",
            "127.0.0.1:1",
            "z",
            8,
            False,
            tuple(
                servers.ModelVersion(model, context.versions[f"s{n}", model]) for model in "abc"
            ),
        )
        for n in range(context.count)
    ]


def _plan_orders(context, targets):
    orders = context.planner.plan_orders(
        _list_engines(context),
        targets,
        tuple("abc"),
        keeper_fakes.allow_any_server,
        keeper_fakes.find_no_limit,
    )
    for order in orders:
        context.planner.record_outcome(order, 0, servers.OrderTaken(is_done=False))
    return orders


@behave.then("each server loaded {least:d} {most:d} of them")
def check_loads(context, least, most):
    assert all(least <= count <= most for count in context.loads.values()), context.loads


@behave.then(
    "each of {count:d} further versions of model a that ended servers is ordered to one server"
)
def check_trials(context, count):
    now = [max(target.read_at for target in context.targets.values())]
    newest = context.targets["a"].version
    for version in range(newest + 1, newest + count + 1):
        now[0] += context.seconds
        with unittest.mock.patch.object(clock, "read_now", lambda: now[0]):
            guard = _create_guard(context, version, lambda: now[0])
            targets = {model: directory.TargetVersion(version, now[0]) for model in "abc"}
            context.planner.plan_orders(
                _list_engines(context),
                targets,
                tuple("abc"),
                keeper_fakes.allow_any_server,
                guard.find_server_limit,
            )
            now[0] += _QUARANTINE_SECONDS
            orders = context.planner.plan_orders(
                _list_engines(context),
                targets,
                tuple("abc"),
                keeper_fakes.allow_any_server,
                guard.find_server_limit,
            )
        tried = [order.server.server_id for order in orders if order.model == "a"]
        assert len(tried) == 1, f"version {version} is ordered to {tried}"


def _create_guard(context, version, read_now):
    """Return a guard that has recorded enough crashes of a version of model a to quarantine it."""
    known = directory.Directory(router.Router(7), server_fakes.FailingCaller())
    crashes = ledger.CrashLedger(7, read_now)
    guard = load_guard.LoadGuard(known, crashes, keeper_fakes.SharedLedgers(), read_now)
    for number in range(ledger.CRASH_THRESHOLD):
        lost = dataclasses.replace(_list_engines(context)[0], server_id=f"lost-{number}")
        guard.register_load(lost, "a", version)
        guard.record_loss(lost)
    for engine in _list_engines(context):
        known.update_server(engine)
    return guard


@behave.then(
    "whenever a version was published, at least {usable:d} servers could serve the trainer"
)
def check_usable(context, usable):
    assert min(context.usable[2:]) >= usable, context.usable


@behave.given("{count:d} engines and 3 models whose versions come every {seconds:d} s")
def create_shared(context, count, seconds):
    context.count, context.seconds = count, seconds
    context.versions = {(f"s{n}", model): 1 for n in range(count) for model in "abc"}
    context.now, context.version = 1000.0, 1
    context.planner = plan.OrderPlanner()


@behave.when("loads are observed to take {seconds:g} s")
def observe_loads(context, seconds):
    """Publish versions; each engine reports its load as done `seconds` after the order."""
    loading = []
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        for _ in range(_OBSERVED_VERSIONS):
            context.version += 1
            targets = {m: directory.TargetVersion(context.version, context.now) for m in "abc"}
            until = context.now + context.seconds
            while context.now < until:
                loading += [
                    (context.now + seconds, order) for order in _plan_orders(context, targets)
                ]
                context.now += _STEP_SECONDS
                for item in [item for item in loading if item[0] <= context.now]:
                    loading.remove(item)
                    _report_loaded(context, item[1])


def _report_loaded(context, order):
    has = (servers.ModelVersion(order.model, order.version),)
    context.planner.record_state(order, servers.EngineState(has, False, 1))


@behave.then("at most {most:d} models share a server")
def check_shared(context, most):
    shares = [
        sum(context.planner.is_placed(server, model) for model in "abc")
        for server in _list_engines(context)
    ]
    assert max(shares) == most, shares
