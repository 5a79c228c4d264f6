"""Steps for the planning of orders to load weights; time is simulated."""

import collections
import unittest.mock

import behave

import keeper_fakes
from oleander_base import clock
from oleander_direct import directory, servers
from oleander_orders import load_capacity, placement, plan


def _build_engine(name, version):
    models = (servers.ModelVersion("m", version),)
    return servers.Server(name, 1, "engines", "127.0.0.1:1", "z", 8, False, models)


@behave.given("the engines {engines} and the target versions {named}")
def create_engines(context, engines, named):
    pairs = (item.split("=") for item in engines.split())
    context.engines = [_build_engine(name, int(version)) for name, version in pairs]
    context.now = 1000.0
    context.targets = {
        model: directory.TargetVersion(int(version), context.now)
        for model, version in (item.split("=") for item in named.split())
    }
    context.planner = plan.OrderPlanner()
    context.planned = []


@behave.when(
    "orders are planned {times:d} times, {seconds:g} s after they were published, for {ids}"
)
def plan_orders(context, times, seconds, ids):
    context.now += seconds
    for _ in range(times):
        _plan_once(context, ids)


def _plan_once(context, ids):
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        chosen = context.planner.plan_orders(
            context.engines,
            context.targets,
            ("m",),
            lambda server: ids == "all" or server.server_id in ids.split(),
            keeper_fakes.find_no_limit,
        )
        for order in chosen:
            context.planned.append(order)
            context.planner.record_outcome(order, 0, servers.OrderTaken(is_done=False))


@behave.when("{name} reports that it has version {version:d} of m")
def record_state(context, name, version):
    order = next(item for item in context.planned if item.server.server_id == name)
    state = servers.EngineState((servers.ModelVersion("m", version),), False, 1)
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        context.planner.record_state(order, state)


@behave.when("version {version:d} is published")
def publish_version(context, version):
    context.targets = {"m": directory.TargetVersion(version, context.now)}
    _plan_once(context, "all")


@behave.then("the planned orders are {count:d} to {among}")
def check_orders(context, count, among):
    assert len(context.planned) == count, context.planned
    assert {order.server.server_id for order in context.planned} <= set(among.split())


@behave.given("an engine with the models {has} and the target versions {named}")
def create_models(context, has, named):
    pairs = [item.split("=") for item in has.split()]
    models = tuple(servers.ModelVersion(model, int(version)) for model, version in pairs)
    context.engine = servers.Server("s1", 1, "engines", "127.0.0.1:1", "z", 8, False, models)
    context.targets = {}
    for item in named.split():
        model, version, seen_at = item.replace("@", "=").split("=")
        context.targets[model] = directory.TargetVersion(int(version), 1000.0 + float(seen_at))


@behave.then("it is ordered to load {model} first")
def check_first(context, model):
    with unittest.mock.patch.object(clock, "read_now", lambda: 1100.0):
        orders = plan.OrderPlanner().plan_orders(
            [context.engine],
            context.targets,
            tuple("abc"),
            keeper_fakes.allow_any_server,
            keeper_fakes.find_no_limit,
        )
    assert [order.model for order in orders] == [model], orders


@behave.given("{servers_:d} servers that {models:d} models share")
def share_servers(context, servers_, models):
    context.server_ids = [f"i-{number}" for number in range(servers_)]
    context.models = [f"m{number}" for number in range(models)]
    context.placement = placement.choose_placement(context.server_ids, context.models)


@behave.then(
    "each model has {least:d} to {most:d} servers, and each server has at most {room:d} models"
)
def check_shares(context, least, most, room):
    sizes = [len(found) for found in context.placement.values()]
    assert len(sizes) == len(context.models)
    assert least == min(sizes) and max(sizes) == most, sizes
    of_server = collections.Counter(name for found in context.placement.values() for name in found)
    assert max(of_server.values()) <= room, of_server


@behave.then("when one server is lost, the others take over at most {count:d} models in all")
def check_moved(context, count):
    for lost in context.server_ids:
        staying = [name for name in context.server_ids if name != lost]
        after = placement.choose_placement(staying, context.models)
        moved = sum(len(after[model] - context.placement[model]) for model in context.models)
        assert moved <= count, (lost, moved)


@behave.given("an engine that reports {count:d} accepted orders")
def create_state(context, count):
    context.state = servers.EngineState((), False, count)


@behave.when("an order to it ends as {outcome}")
def record_outcome(context, outcome):
    outcomes = {
        "taken": servers.OrderTaken(is_done=False),
        "done": servers.OrderTaken(is_done=True),
        "refused": servers.OrderRefused("409"),
        "unknown": servers.OrderUnknown("no answer"),
    }
    context.server = _build_engine("s1", 1)
    context.planner = plan.OrderPlanner()
    order = plan.PlannedOrder(context.server, "m", 2)
    accepted = context.planner.count_accepted(context.server, context.state)
    context.planner.record_outcome(order, accepted, outcomes[outcome])


@behave.then("the next order to it states {count:d} accepted orders")
def check_accepted(context, count):
    assert context.planner.count_accepted(context.server, context.state) == count


@behave.given("versions of a model that come every {seconds:d} s")
def publish_versions(context, seconds):
    context.now = 1000.0
    context.capacity = load_capacity.LoadCapacity()
    for _ in range(3):
        context.now += seconds
        context.capacity.record_version("m", context.now)


@behave.when("{count:d} loads of {seconds:g} s each were observed")
def record_loads(context, count, seconds):
    for _ in range(count):
        context.capacity.record_load(seconds)


@behave.then("{count:d} servers of which {at_once:d} load at once {state}")
def check_capacity(context, count, at_once, state):
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        assert context.capacity.exceeds_capacity(count, at_once) == (state == "can't keep up")
