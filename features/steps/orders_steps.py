"""Steps for what servers are ordered to load; time is simulated."""

import collections
import dataclasses
import unittest.mock

import behave

import keeper_fakes
import server_fakes
from oleander_base import clock
from oleander_direct import directory, servers
from oleander_orders import load_guard, pace, placement, plan
from oleander_quarantine import ledger
from oleander_routing import router

_LOOK_SECONDS = 0.05
_SEEN_VERSIONS = 4
_QUARANTINE_SECONDS = ledger.BATCH_QUARANTINE_SECONDS + 0.1


def _any_server(server):
    return True


def _any_number(listed, model, version):
    return None


def _engine(name, version):
    models = (servers.ModelVersion("m", version),)
    return servers.Server(name, 1, "engines", "127.0.0.1:1", "z", 8, False, models)


@behave.given("the engines {engines} and the named versions {named}")
def create_engines(context, engines, named):
    pairs = (item.split("=") for item in engines.split())
    context.engines = [_engine(name, int(version)) for name, version in pairs]
    context.now = 1000.0
    context.named = {
        model: directory.NamedVersion(int(version), context.now)
        for model, version in (item.split("=") for item in named.split())
    }
    context.planner = plan.OrderPlan()
    context.planned = []


@behave.when("orders are planned {times:d} times, {seconds:g} s after they were named, for {ids}")
def plan_orders(context, times, seconds, ids):
    context.now += seconds
    for _ in range(times):
        _plan_once(context, ids)


def _plan_once(context, ids):
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        chosen = context.planner.choose(
            context.engines,
            context.named,
            ("m",),
            lambda server: ids == "all" or server.server_id in ids.split(),
            _any_number,
        )
        for order in chosen:
            context.planned.append(order)
            context.planner.record_outcome(order, 0, servers.OrderTaken(is_done=False))


@behave.when("{name} says that it has version {version:d} of m")
def record_state(context, name, version):
    order = next(item for item in context.planned if item.server.server_id == name)
    state = servers.EngineState((servers.ModelVersion("m", version),), False, 1)
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        context.planner.record_state(order, state)


@behave.when("the engines are named version {version:d}")
def name_version(context, version):
    context.named = {"m": directory.NamedVersion(version, context.now)}
    _plan_once(context, "all")


@behave.then("the planned orders are {count:d} to {among}")
def check_orders(context, count, among):
    assert len(context.planned) == count, context.planned
    assert {order.server.server_id for order in context.planned} <= set(among.split())


@behave.given("an engine with the models {has} and the named models {named}")
def create_models(context, has, named):
    pairs = [item.split("=") for item in has.split()]
    models = tuple(servers.ModelVersion(model, int(version)) for model, version in pairs)
    context.engine = servers.Server("s1", 1, "engines", "127.0.0.1:1", "z", 8, False, models)
    context.named = {}
    for item in named.split():
        model, version, seen_at = item.replace("@", "=").split("=")
        context.named[model] = directory.NamedVersion(int(version), 1000.0 + float(seen_at))


@behave.then("it is ordered to load {model} first")
def check_first(context, model):
    with unittest.mock.patch.object(clock, "read_now", lambda: 1100.0):
        orders = plan.OrderPlan().choose(
            [context.engine], context.named, tuple("abc"), _any_server, _any_number
        )
    assert [order.model for order in orders] == [model], orders


@behave.given(
    "{count:d} engines and 3 models whose versions come every {seconds:d} s"
    " and steps allow {lag:d} behind"
)
def create_fleet(context, count, seconds, lag):
    context.count = count
    context.seconds = seconds
    context.lag = lag
    context.versions = {(f"s{n}", model): 1 for n in range(count) for model in "abc"}


@behave.when("{versions:d} versions of each model were named and loaded")
def name_versions(context, versions):
    context.loads = collections.Counter()
    context.usable = []
    planner = context.planner = plan.OrderPlan()
    now = [1000.0]
    with unittest.mock.patch.object(clock, "read_now", lambda: now[0]):
        for model in "abc":
            planner.record_lag(model, context.lag)
        for version in range(2, versions + 2):
            named = {model: directory.NamedVersion(version, now[0]) for model in "abc"}
            context.named = named
            has = [context.versions[key] for key in context.versions if key[1] == "a"]
            context.usable.append(sum(item >= version - context.lag for item in has))
            until = now[0] + context.seconds
            while now[0] < until:
                for order in _load_planned(context, named):
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


def _load_planned(context, named):
    orders = context.planner.choose(
        _list_engines(context), named, tuple("abc"), _any_server, _any_number
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
    now = [max(target.seen_at for target in context.named.values())]
    newest = context.named["a"].version
    for version in range(newest + 1, newest + count + 1):
        now[0] += context.seconds
        with unittest.mock.patch.object(clock, "read_now", lambda: now[0]):
            guard = _guard_against(context, version, lambda: now[0])
            named = {model: directory.NamedVersion(version, now[0]) for model in "abc"}
            context.planner.choose(
                _list_engines(context),
                named,
                tuple("abc"),
                _any_server,
                guard.find_limit,
            )
            now[0] += _QUARANTINE_SECONDS
            orders = context.planner.choose(
                _list_engines(context),
                named,
                tuple("abc"),
                _any_server,
                guard.find_limit,
            )
        tried = [order.server.server_id for order in orders if order.model == "a"]
        assert len(tried) == 1, f"version {version} is ordered to {tried}"


def _guard_against(context, version, read_now):
    """Return a guard that saw servers end while they loaded a version of model a."""
    known = directory.Directory(router.Router(7), server_fakes.UnusedCaller())
    crashes = ledger.CrashLedger(7, read_now)
    guard = load_guard.LoadGuard(known, crashes, keeper_fakes.SharedCrashes(), read_now)
    for number in range(ledger.MOST_CRASHES):
        lost = dataclasses.replace(_engine(f"lost-{number}", 1), born_ms=version)
        guard.begin(lost, "a", version)
        guard.record_loss(lost)
    for engine in _list_engines(context):
        known.put_server(engine)
    return guard


@behave.given("{servers_:d} servers that {models:d} models share")
def share_servers(context, servers_, models):
    context.server_ids = [f"i-{number}" for number in range(servers_)]
    context.models = [f"m{number}" for number in range(models)]
    context.placement = placement.choose_placement(context.server_ids, context.models)


@behave.then(
    "each model has {least:d} to {most:d} servers, and each server {room:d} models at most"
)
def check_shares(context, least, most, room):
    sizes = [len(found) for found in context.placement.values()]
    assert len(sizes) == len(context.models)
    assert least == min(sizes) and max(sizes) == most, sizes
    of_server = collections.Counter(name for found in context.placement.values() for name in found)
    assert max(of_server.values()) <= room, of_server


@behave.then("of those that stay, {count:d} at most change a model when one server is lost")
def check_moved(context, count):
    for lost in context.server_ids:
        staying = [name for name in context.server_ids if name != lost]
        after = placement.choose_placement(staying, context.models)
        moved = sum(len(after[model] - context.placement[model]) for model in context.models)
        assert moved <= count, (lost, moved)


@behave.then("whenever a version was named, {usable:d} servers or more could go on at once")
def check_usable(context, usable):
    assert min(context.usable[2:]) >= usable, context.usable


@behave.given("an engine that reports {count:d} accepted orders")
def create_state(context, count):
    context.state = servers.EngineState((), False, count)


@behave.when("an order to it ends as {outcome}")
def note_outcome(context, outcome):
    outcomes = {
        "taken": servers.OrderTaken(is_done=False),
        "done": servers.OrderTaken(is_done=True),
        "refused": servers.OrderRefused("409"),
        "unknown": servers.OrderUnknown("no answer"),
    }
    context.server = _engine("s1", 1)
    context.planner = plan.OrderPlan()
    order = plan.PlannedOrder(context.server, "m", 2)
    accepted = context.planner.count_accepted(context.server, context.state)
    context.planner.record_outcome(order, accepted, outcomes[outcome])


@behave.then("the next order to it states {count:d} accepted orders")
def check_accepted(context, count):
    assert context.planner.count_accepted(context.server, context.state) == count


@behave.given("versions of a model that come every {seconds:d} s")
def start_pace(context, seconds):
    context.now = 1000.0
    context.pace = pace.LoadPace()
    for _ in range(3):
        context.now += seconds
        context.pace.record_named("m", context.now)


@behave.when("{count:d} loads of {seconds:g} s each were seen")
def record_loads(context, count, seconds):
    for _ in range(count):
        context.pace.record_load(seconds)


@behave.then("{count:d} servers of which {at_once:d} load at once {state}")
def check_pace(context, count, at_once, state):
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        assert context.pace.is_crowded(count, at_once) == (state == "can't keep up")


@behave.given("{count:d} engines and 3 models whose versions come every {seconds:d} s")
def create_shared(context, count, seconds):
    context.count, context.seconds = count, seconds
    context.versions = {(f"s{n}", model): 1 for n in range(count) for model in "abc"}
    context.now, context.version = 1000.0, 1
    context.planner = plan.OrderPlan()


@behave.when("loads are seen to take {seconds:g} s")
def see_loads(context, seconds):
    """Name versions, and let each engine say that it has loaded so long after its order."""
    loading = []
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        for _ in range(_SEEN_VERSIONS):
            context.version += 1
            named = {m: directory.NamedVersion(context.version, context.now) for m in "abc"}
            until = context.now + context.seconds
            while context.now < until:
                loading += [
                    (context.now + seconds, order) for order in _load_planned(context, named)
                ]
                context.now += _LOOK_SECONDS
                for item in [item for item in loading if item[0] <= context.now]:
                    loading.remove(item)
                    _say_loaded(context, item[1])


def _say_loaded(context, order):
    has = (servers.ModelVersion(order.model, order.version),)
    context.planner.record_state(order, servers.EngineState(has, False, 1))


@behave.then("{most:d} models share a server at most")
def check_shared(context, most):
    shares = [
        sum(context.planner.is_placed(server, model) for model in "abc")
        for server in _list_engines(context)
    ]
    assert max(shares) == most, shares
