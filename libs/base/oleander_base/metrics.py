"""Counters, gauges and timers, named in one table, sent by statsd and kept for reports."""

import collections
import dataclasses
import threading

import statsd


@dataclasses.dataclass(slots=True, frozen=True)
class Metric:
    """A named measurement and what to do when it moves."""

    name: str
    kind: str
    unit: str
    meaning: str
    action: str


_METRICS: list[Metric] = []


def _declare(name: str, kind: str, unit: str, meaning: str, action: str) -> str:
    _METRICS.append(Metric(name, kind, unit, meaning, action))
    return name


INVARIANT_BROKEN = _declare(
    "invariant.broken",
    "counter",
    "count",
    "A check inside the program failed.",
    "Page someone: keep the logs and open an issue.",
)
REQUESTS = _declare(
    "requests.received", "counter", "count", "Requests that reached an entry.", "None."
)
ANSWERED = _declare("requests.answered", "counter", "count", "Requests answered in time.", "None.")
REFUSED = _declare(
    "requests.refused",
    "counter",
    "count",
    "Requests refused as not run.",
    "Compare with load; add backend servers or lower a share.",
)
UNKNOWN = _declare(
    "requests.unknown",
    "counter",
    "count",
    "Requests whose outcome can't be known.",
    "Look for killed sidecars and cut connections.",
)
RETRIES = _declare(
    "requests.retried",
    "counter",
    "count",
    "Requests sent to a second backend server.",
    "A steady rise points to a backend server that fails.",
)
HEDGES = _declare(
    "requests.hedged",
    "counter",
    "count",
    "Requests sent to a second backend server beside a slow first.",
    "A steady rise points to a backend server that is slow or silent.",
)
LOG_OUTAGES = _declare(
    "log.failed_calls",
    "counter",
    "count",
    "Calls to the platform's log that failed.",
    "Check the log service; non-repeatable requests are refused meanwhile.",
)
SAMPLES_DELIVERED = _declare(
    "samples.delivered", "counter", "count", "Samples delivered to trainers.", "None."
)
SAMPLES_STALE = _declare(
    "samples.stale",
    "counter",
    "count",
    "Samples dropped as older than the bound.",
    "Shorten steps or raise the bound in the contract.",
)
SAMPLES_REMADE = _declare(
    "samples.remade", "counter", "count", "Samples generated anew.", "As for samples.stale."
)
QUEUE_DEPTH = _declare(
    "queue.depth", "gauge", "requests", "Requests waiting at a sidecar.", "Add servers."
)

RUNNING = _declare(
    "queue.running",
    "gauge",
    "requests",
    "Requests that run at a sidecar's backend server.",
    "None.",
)
REQUEST_MS = _declare(
    "requests.ms",
    "timer",
    "ms",
    "How long an entry took to answer a caller.",
    "Compare p99 with the timeouts of the contracts.",
)
SAMPLES_RUNNING = _declare(
    "samples.running", "gauge", "samples", "Samples that an entry has in the making.", "None."
)
CONFIGURATION_OFFSET = _declare(
    "configuration.offset",
    "gauge",
    "offset",
    "The newest configuration record applied.",
    "Hosts that stay behind are cut off from the log and from their peers.",
)
WEIGHT_VERSION = _declare(
    "weights.version",
    "gauge",
    "version",
    "The version that the engine confirmed; -1 in doubt.",
    "An engine that stays at -1 or behind gets no work: see the orders in the audit trail.",
)

_lock = threading.Lock()
_counts: collections.Counter[str] = collections.Counter()
_client: statsd.StatsClient | None = None


def configure_metrics(host: str, port: int, prefix: str) -> None:
    """Send metrics by UDP to a statsd server; an empty host keeps them in memory only."""
    global _client
    _client = statsd.StatsClient(host, port, prefix=prefix) if host else None


def count(name: str, amount: int = 1) -> None:
    """Add to a counter."""
    with _lock:
        _counts[name] += amount
    if _client is not None:
        _client.incr(name, amount)


def count_invariant(name: str) -> None:
    """Count one broken invariant under its own name."""
    count(f"invariant.broken.{name}")


def record_gauge(name: str, value: float) -> None:
    """Set a gauge."""
    if _client is not None:
        _client.gauge(name, value)


def record_timing(name: str, milliseconds: float) -> None:
    """Record one duration."""
    if _client is not None:
        _client.timing(name, milliseconds)


def read_counts() -> dict[str, int]:
    """Return every counter of this process by name."""
    with _lock:
        return dict(_counts)


def list_metrics() -> list[Metric]:
    """Return the table of metrics, for the page that describes them."""
    return list(_METRICS)
