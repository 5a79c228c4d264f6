"""Steps for routing and retries, with simulated time and fixed seeds."""

import collections
import dataclasses
import random

import behave

from oleander_contracts import contract
from oleander_routing import peers, preferred, retries, router

_SEED = 30
_REPORT = {
    "failure_domain": "x",
    "backend": "engines",
    "incarnation": "1",
    "queued": 0,
    "running": 0,
    "slots": 4,
    "wait_ms": 0,
    "version": None,
    "in_rotation": True,
    "leaving": False,
}


def _read_fields(items):
    pairs = (item.split("=") for item in items)
    return {key: int(value) if value.isdigit() else value for key, value in pairs}


def _create_router(context, seed):
    created = router.Router(seed, lambda: context.routing_now)
    _report(created, context.peers_text)
    return created


def _report(target, text):
    for item in text.split():
        name, *fields = item.split(",")
        if name not in {"none", "nobody"}:
            changes = _read_fields(fields)
            changes["incarnation"] = str(changes.get("incarnation", 1))
            target.update(name, peers.PeerReport(**_REPORT | changes))


def build_request(text, affinity=""):
    changes = {} if text == "any" else _read_fields(text.split())
    changes["excluded"] = frozenset([changes["excluded"]] if "excluded" in changes else [])
    changes["may_probe"] = bool(changes.get("may_probe", True))
    defaults = {
        "backend": "engines",
        "affinity": affinity,
        "priority": contract.Priority.INTERACTIVE,
        "oldest_version": -1,
        "budget_ms": 1000,
    }
    return router.RouteRequest(**defaults | changes)


@behave.given("a router with the peers {text}")
def create_router(context, text):
    context.routing_now = 1000.0
    context.peers_text = text
    context.router = _create_router(context, _SEED)


@behave.when("routing {count:d} requests for {text}")
def route_requests(context, count, text):
    request = build_request(text)
    if "excluded" in context:
        request = dataclasses.replace(request, excluded=context.excluded)
    context.results = [context.router.choose(request) for _ in range(count)]


@behave.when("routing gets new reports from {text}")
def report_again(context, text):
    _report(context.router, text)


@behave.when("routing loses {name}")
def lose_peer(context, name):
    context.router.remove(name)


@behave.when("the host list that routing reads marks {names} as leaving")
def list_leaving(context, names):
    context.router.set_listed_leaving(frozenset(names.replace("nobody", "").split()))


@behave.when("routing time passes by {seconds:d} seconds")
def pass_time(context, seconds):
    context.routing_now += seconds


@behave.when("routing starts {started:d} and finishes {finished:d} requests at {name}")
def start_and_finish(context, started, finished, name):
    for _ in range(started):
        context.router.record_started(name)
    for _ in range(finished):
        context.router.record_finished(name, router.RouteOutcome.OK, 10)


@behave.when("routing ends {count:d} requests at each of {names} as {outcome} in {service:d} ms")
def end_requests(context, count, names, outcome, service):
    for _ in range(count):
        for name in names.split():
            context.router.record_started(name)
            context.router.record_finished(name, router.RouteOutcome(outcome), service)


@behave.then("routing chose only {names}")
def check_chosen(context, names):
    found = sorted({result.ok for result in context.results})
    assert found == names.split(), found


@behave.then("routing chose {name} for {minimum:g} to {maximum:g} percent")
def check_part(context, name, minimum, maximum):
    chosen = [result.ok for result in context.results]
    percent = chosen.count(name) / len(chosen) * 100
    assert minimum <= percent <= maximum, percent


@behave.then("routing refused with {reason} for at least {minimum:d} ms")
def check_refusal(context, reason, minimum):
    refusal = context.results[0].error
    assert refusal.reason == reason, refusal
    assert minimum <= refusal.retry_after_ms <= 2 * minimum, refusal


@behave.when("routing {count:d} prefixes")
def route_prefixes(context, count):
    context.earlier = getattr(context, "placed", {})
    context.placed = _place(context.router, count)


def _place(target, count):
    names = [f"prefix {number}" for number in range(count)]
    return {name: target.choose(build_request("any", name)).ok for name in names}


@behave.then("routing seeds do not matter for prefixes")
def check_seeds(context):
    assert _place(_create_router(context, _SEED + 1), len(context.placed)) == context.placed


@behave.then("routing gave each of {count:d} peers {minimum:d} to {maximum:d} prefixes")
def check_prefixes(context, count, minimum, maximum):
    found = collections.Counter(context.placed.values())
    assert len(found) == count, found
    assert all(minimum <= number <= maximum for number in found.values()), found


@behave.then("routing gave {name} {minimum:d} to {maximum:d} prefixes")
def check_peer_prefixes(context, name, minimum, maximum):
    found = list(context.placed.values()).count(name)
    assert minimum <= found <= maximum, found


@behave.then("routing moved only the prefixes of {name}")
def check_moved(context, name):
    for prefix, placed in context.earlier.items():
        assert (context.placed[prefix] != placed) == (placed == name), prefix


@behave.when("routing starts {count:d} requests of one prefix")
def start_prefix(context, count):
    context.sent = collections.Counter()
    for _ in range(count):
        name = context.router.choose(build_request("any", "popular")).ok
        context.router.record_started(name)
        context.sent[name] += 1


@behave.then("routing sent {first:d} to the first, {second:d} to the second in its rank")
def check_spill(context, first, second):
    found = [number for _, number in context.sent.most_common()]
    assert found == [number for number in (first, second) if number], found


@behave.given("a retry budget of {percent:d} percent and at most {maximum:d} tokens")
def create_budget(context, percent, maximum):
    context.budgets = retries.RetryBudgets(maximum)
    context.percent = percent


def _find_budget(context):
    return context.budgets.find_budget("a", context.percent)


@behave.when("{fresh:d} fresh requests each want {wanted:d} retries")
def use_budget(context, fresh, wanted):
    context.allowed = 0
    for _ in range(fresh):
        _find_budget(context).record_first_attempt()
        context.allowed += sum(_find_budget(context).try_spend() for _ in range(wanted))


@behave.when("{fresh:d} fresh requests want no retries")
def save_retries(context, fresh):
    for _ in range(fresh):
        _find_budget(context).record_first_attempt()


@behave.when("{count:d} other customers get a retry budget")
def add_budgets(context, count):
    _find_budget(context)
    for number in range(count):
        context.budgets.find_budget(f"other-{number}", 10)


@behave.then("the retry budget allowed {allowed:d}")
def check_allowed(context, allowed):
    assert context.allowed == allowed, context.allowed


@behave.then("the retry budget has {left:d} retries left")
def check_left(context, left):
    found = sum(_find_budget(context).try_spend() for _ in range(100))
    assert found == left, found


@behave.when(
    "backoff is drawn {count:d} times for attempt {attempt:d} from {base:d} ms up to {maximum:d} "
    "ms"
)
def draw_backoff(context, count, attempt, base, maximum):
    source = random.Random(_SEED)
    context.drawn = [retries.compute_backoff(attempt, base, maximum, source) for _ in range(count)]


@behave.then("backoff was between 0 and {maximum:d} ms, on average near the middle")
def check_backoff(context, maximum):
    assert min(context.drawn) >= 0 and max(context.drawn) <= maximum
    mean = sum(context.drawn) / len(context.drawn)
    assert 0.45 * maximum <= mean <= 0.55 * maximum, mean


@behave.given("a router that prefers {maximum:d} peers, with the peers {text}")
def create_preferring_router(context, maximum, text):
    context.routing_now = 1000.0
    context.peers_text = text
    context.router = router.Router(
        _SEED, lambda: context.routing_now, preferred.PreferredPeers("entry", maximum)
    )
    _report(context.router, text)


@behave.when("the preferred peers are {state}")
def change_preferred(context, state):
    context.preferred = {context.router.choose(build_request("any")).ok for _ in range(200)}
    context.excluded = frozenset()
    for name in context.preferred:
        if state == "excluded":
            context.excluded = context.excluded | {name}
        elif state == "full":
            for _ in range(_REPORT["slots"]):
                context.router.record_started(name)
        elif state == "leaving":
            _report(context.router, f"{name},leaving=1")
        elif state == "failing":
            for _ in range(20):
                context.router.record_started(name)
                context.router.record_finished(name, router.RouteOutcome.FAILED, 5)


@behave.when("routing {count:d} windowed requests")
def route_windowed(context, count):
    request = dataclasses.replace(build_request("any"), is_windowed=True)
    context.results = [context.router.choose(request) for _ in range(count)]


@behave.then("routing chose {count:d} peers, {which}")
def check_preferred(context, count, which):
    chosen = {result.ok for result in context.results}
    assert len(chosen) == count, chosen
    if which == "the preferred":
        assert chosen == context.preferred, (chosen, context.preferred)
    elif which == "none preferred":
        assert not chosen & context.preferred, (chosen, context.preferred)
    elif which == "of both domains":
        domains = {peer.failure_domain for peer in context.router.list_peers()}
        seen = {p.failure_domain for p in context.router.list_peers() if p.name in chosen}
        assert seen == domains, chosen


@behave.given("{count:d} routers that prefer {maximum:d} of {total:d} peers")
def count_preferred(context, count, maximum, total):
    context.preferred_by = collections.Counter()
    text = " ".join(f"p{number}" for number in range(total))
    for number in range(count):
        chooser = router.Router(
            number, lambda: 0.0, preferred.PreferredPeers(f"entry-{number}", maximum)
        )
        _report(chooser, text)
        context.preferred_by.update({chooser.choose(build_request("any")).ok for _ in range(300)})


@behave.then("each peer is preferred by {minimum:d} to {maximum:d} of them")
def check_preferred_by(context, minimum, maximum):
    counts = context.preferred_by.values()
    assert minimum <= min(counts) and max(counts) <= maximum, context.preferred_by
