"""Compare routing policies: herding, prefix caches and servers with grey failures."""

import collections.abc
import dataclasses
import random

import policy_choosers
import policy_fleet
import policy_simulation

CreateChooser = collections.abc.Callable[
    [policy_simulation.Simulation, int], policy_choosers.Chooser
]

_HERD = policy_fleet.Traffic(
    servers=20, entries=10, rate=600.0, service_ms=100.0, report_seconds=1.0
)
"""Uses three quarters of the capacity of 80 slots."""
_PREFIXES = policy_fleet.Traffic(
    servers=10,
    entries=5,
    rate=115.0,
    service_ms=200.0,
    report_seconds=0.5,
    prefixes=400,
    prefill_ms=200.0,
    cached_prefixes=60,
)
"""Uses three fifths of the capacity of 40 slots if every prefix is cached; too much if none is."""
_GREY = policy_fleet.Traffic(
    servers=10, entries=3, rate=120.0, service_ms=100.0, report_seconds=0.5
)
"""Uses three tenths of the capacity of 40 slots."""
_HERD_SAMPLES_FROM = 2.0
_HERD_SECONDS = 22.0
_FAULT_FROM = 5.0
_FAULT_UNTIL = 25.0
_AFTER_FROM = 45.0
_AFTER_UNTIL = 60.0


def _create_least(_: policy_simulation.Simulation, seed: int) -> policy_choosers.Chooser:
    return policy_choosers.LeastReported(random.Random(seed))


def _create_two(_: policy_simulation.Simulation, seed: int) -> policy_choosers.Chooser:
    return policy_choosers.TwoReported(random.Random(seed))


def _create_with_own(_: policy_simulation.Simulation, seed: int) -> policy_choosers.Chooser:
    return policy_choosers.TwoWithOwn(random.Random(seed))


def _create_hash(_: policy_simulation.Simulation, seed: int) -> policy_choosers.Chooser:
    return policy_choosers.PureHash(random.Random(seed))


def _create_by_load(
    simulation: policy_simulation.Simulation, seed: int
) -> policy_choosers.Chooser:
    return policy_choosers.OurRouter(simulation, seed, by_prefix=False, judges=True)


def _create_unjudging(
    simulation: policy_simulation.Simulation, seed: int
) -> policy_choosers.Chooser:
    return policy_choosers.OurRouter(simulation, seed, by_prefix=False, judges=False)


def _create_ours(simulation: policy_simulation.Simulation, seed: int) -> policy_choosers.Chooser:
    return policy_choosers.OurRouter(simulation, seed, by_prefix=True, judges=True)


def _build(
    create: CreateChooser, traffic: policy_fleet.Traffic, seed: int
) -> tuple[policy_simulation.Simulation, policy_fleet.Fleet]:
    simulation = policy_simulation.Simulation()
    choosers = [create(simulation, seed + number) for number in range(traffic.entries)]
    return simulation, policy_fleet.Fleet(simulation, traffic, choosers, seed)


@dataclasses.dataclass(slots=True, frozen=True)
class _Herding:
    """How unevenly the servers were loaded, and the waits."""

    peak: float
    """Ratio of the highest load to the mean load of the servers, averaged over time."""
    wait_ms: float
    slowest_ms: float


def _run_herd(create: CreateChooser) -> _Herding:
    simulation, fleet = _build(create, _HERD, 4)
    peaks: list[float] = []

    def sample() -> None:
        loads = [server.outstanding for server in fleet.servers.values()]
        peaks.append(max(loads) / max(1.0, sum(loads) / len(loads)))
        simulation.schedule(0.1, sample)

    simulation.schedule(_HERD_SAMPLES_FROM, sample)
    simulation.run(_HERD_SECONDS)
    waits = [item.latency_ms - item.service_ms for item in fleet.ended]
    return _Herding(
        policy_simulation.find_mean(peaks),
        policy_simulation.find_mean(waits),
        policy_simulation.find_quantile(waits, 0.99),
    )


def measure_herding() -> list[policy_simulation.Figure]:
    """Route from ten entries to twenty servers whose reports are up to a second old."""
    ours = _run_herd(_create_by_load)
    figures = []
    baselines = (
        ("least reported", _create_least),
        ("two reported", _create_two),
        ("two, own added", _create_with_own),
    )
    for name, create in baselines:
        found = _run_herd(create)
        case = f"c herding, {name}"
        figures += [
            policy_simulation.Figure(case, "most to mean load", found.peak, ours.peak),
            policy_simulation.Figure(case, "mean wait, ms", found.wait_ms, ours.wait_ms),
            policy_simulation.Figure(case, "99th wait, ms", found.slowest_ms, ours.slowest_ms),
        ]
    return figures


@dataclasses.dataclass(slots=True, frozen=True)
class _Caching:
    """Cache hits and latencies of a run."""

    hit_percent: float
    latency_ms: float
    slowest_ms: float


def _run_prefixes(create: CreateChooser) -> _Caching:
    simulation, fleet = _build(create, _PREFIXES, 5)
    simulation.run(45.0)
    late = [item for item in fleet.ended if item.started_at > 10.0]
    latencies = [item.latency_ms for item in late]
    hits = sum(1 for item in late if item.was_cached)
    return _Caching(
        hits / len(late) * 100,
        policy_simulation.find_mean(latencies),
        policy_simulation.find_quantile(latencies, 0.99),
    )


def measure_prefixes() -> list[policy_simulation.Figure]:
    """Route prompts with 400 prefixes of Zipf popularity to servers that cache 60 each."""
    ours = _run_prefixes(_create_ours)
    figures = []
    for name, create in (("load only", _create_by_load), ("hash only", _create_hash)):
        found = _run_prefixes(create)
        case = f"d prefixes, {name}"
        figures += [
            policy_simulation.Figure(case, "cache hits, %", found.hit_percent, ours.hit_percent),
            policy_simulation.Figure(case, "mean latency, ms", found.latency_ms, ours.latency_ms),
            policy_simulation.Figure(case, "99th latency, ms", found.slowest_ms, ours.slowest_ms),
        ]
    return figures


def _run_grey(create: CreateChooser, failing_part: float, slowdown: float) -> tuple[float, float]:
    """Return the faulty server's percentage of requests during the fault and after it."""
    simulation, fleet = _build(create, _GREY, 6)
    grey = fleet.servers["server-0"]
    simulation.run(_FAULT_FROM)
    grey.failing_part = failing_part
    grey.slowdown = slowdown
    simulation.run(_FAULT_UNTIL)
    grey.failing_part = 0.0
    grey.slowdown = 1.0
    simulation.run(_AFTER_UNTIL)
    everything = fleet.ended + fleet.failed
    return (
        _find_part(everything, grey.name, _FAULT_FROM, _FAULT_UNTIL),
        _find_part(everything, grey.name, _AFTER_FROM, _AFTER_UNTIL),
    )


def _find_part(
    requests: list[policy_fleet.Request], name: str, since: float, until: float
) -> float:
    inside = [item for item in requests if since <= item.started_at < until]
    return sum(1 for item in inside if item.peer == name) / len(inside) * 100


def measure_grey_peer() -> list[policy_simulation.Figure]:
    """For 20 s, one of ten servers fails all or half of its requests or is ten times slower."""
    figures = []
    for name, failing_part, slowdown in (
        ("fails", 1.0, 1.0),
        ("fails half", 0.5, 1.0),
        ("slow", 0.0, 10.0),
    ):
        baseline, baseline_after = _run_grey(_create_unjudging, failing_part, slowdown)
        ours, ours_after = _run_grey(_create_by_load, failing_part, slowdown)
        case = f"e {name}, no ejection"
        figures += [
            policy_simulation.Figure(case, "requests at it, %", baseline, ours),
            policy_simulation.Figure(
                case, "20 to 35 s after the end, %", baseline_after, ours_after
            ),
        ]
    return figures
