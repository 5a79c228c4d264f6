"""The loads of the benchmark: request rates, callers' behaviour and faults."""

import collections.abc
import dataclasses

import sites
import traffic

_STRAGGLERS = ("--straggler-every", "5", "--straggler-tokens", "320")


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault injected, or ended, `at` seconds after the start of a load."""

    at: float
    act: collections.abc.Callable[[sites.Site], None]


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """A load, the same for the baseline and the product."""

    name: str
    site: str = "catania"
    times: float = 1.0
    """Factor on the usual request rates."""
    operation: str = ""
    """The only operation called; empty for all."""
    seconds: float = 5.0
    behaviour: traffic.Behaviour = traffic.Behaviour()
    faults: tuple[Fault, ...] = ()
    trainer_flags: tuple[str, ...] = ()
    compares: bool = True
    """Whether the baseline runs the load as well."""


def _set_log_outage(site: sites.Site) -> None:
    site.cluster.control("log", outage="refuse")


def _end_log_outage(site: sites.Site) -> None:
    site.cluster.control("log", outage="")


def _crash_engine(site: sites.Site) -> None:
    site.cluster.kill(site.engines[0].server_name)


def _restart_engine(site: sites.Site) -> None:
    site.restart_engine(site.engines[0])


def _slow_swaps(site: sites.Site) -> None:
    for host in site.engines[::2]:
        site.cluster.control(host.server_name, load_ms=1500)


def _end_slow_swaps(site: sites.Site) -> None:
    for host in site.engines[::2]:
        site.cluster.control(host.server_name, load_ms=50)


def _slow_service(site: sites.Site) -> None:
    site.cluster.control(site.services[0].server_name, service_ms=10 * sites.SERVICE_MS)


def _end_slow_service(site: sites.Site) -> None:
    site.cluster.control(site.services[0].server_name, service_ms=sites.SERVICE_MS)


_OUTAGE = (Fault(1.0, _set_log_outage), Fault(4.0, _end_log_outage))
_GREY = (Fault(0.0, _slow_service), Fault(5.0, _end_slow_service))

LOADS = (
    Load("catania"),
    Load("overload-2x", times=2.0),
    Load("overload-3x", times=3.0),
    Load("engines-busy", times=12.0, operation="suggestion"),
    Load("engines-overload", times=24.0, operation="suggestion"),
    Load("crash", faults=(Fault(1.5, _crash_engine), Fault(4.0, _restart_engine))),
    Load("swaps", faults=(Fault(0.0, _slow_swaps), Fault(5.0, _end_slow_swaps))),
    Load("log-outage-own-keys", faults=_OUTAGE),
    Load(
        "log-outage-tickets",
        faults=_OUTAGE,
        behaviour=traffic.Behaviour(tickets=True),
        compares=False,
    ),
    Load("grey", faults=_GREY),
    Load("retry-storm", times=3.0, behaviour=traffic.Behaviour(retries=3)),
    Load("stragglers", times=0.5, seconds=7.0, trainer_flags=_STRAGGLERS),
    Load("trinidad", site="trinidad"),
)


def find_loads(only: str) -> list[Load]:
    """Return the loads whose names start with a prefix; all for an empty one."""
    return [load for load in LOADS if load.name.startswith(only)]
