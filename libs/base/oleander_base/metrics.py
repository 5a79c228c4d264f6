"""Counters, gauges and timers, declared in one table, sent to statsd and kept for reports."""

import bisect
import collections
import dataclasses
import threading

import statsd


@dataclasses.dataclass(slots=True, frozen=True)
class Metric:
    """A metric and what the operator should do when it changes."""

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
SERVERS_ENDED = _declare(
    "servers.ended",
    "counter",
    "count",
    "Attempts that a backend server broke off by ending.",
    "Group the log lines of event attempt by request: one that recurs ends its servers.",
)
CRASHES = _declare(
    "crashes.recorded",
    "counter",
    "count",
    "Backend servers that ended under a request that had not been answered before.",
    "See the log lines of event crash: they name the request and the server.",
)
LOAD_CRASHES = _declare(
    "crashes.loads",
    "counter",
    "count",
    "Backend servers that ended while they loaded weights that no server was known to run.",
    "See the log lines of event load-crash: they name the model, the version and the server.",
)
QUARANTINED = _declare(
    "requests.quarantined",
    "counter",
    "count",
    "Requests kept from backend servers because servers ended under them.",
    "Find the request by its digest in the log lines of event crash, and whoever sends it.",
)
CONNECTIONS_OPENED = _declare(
    "connections.opened",
    "counter",
    "count",
    "Connections opened to backend servers.",
    "A steady rise against requests points to servers that close idle connections early.",
)
LOG_FAILED_CALLS = _declare(
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
SAMPLES_JOINED = _declare(
    "samples.joined",
    "counter",
    "count",
    "Samples that an entry took over from another entry, which a trainer had given up on.",
    "A steady rise points to entries that answer trainers late.",
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

ITEMS_STARTED = _declare(
    "items.started", "counter", "count", "Attempts at items of batches.", "Compare with results."
)
ITEMS_REFUSED = _declare(
    "items.refused",
    "counter",
    "count",
    "Attempts that an engine refused as not run.",
    "A steady rise: engines are full or load weights all the time.",
)
ITEMS_BROKEN = _declare(
    "items.broken",
    "counter",
    "count",
    "Attempts that broke off or failed.",
    "Look for the engine in the log lines of event item.",
)
ITEMS_RESTARTED = _declare(
    "items.restarted",
    "counter",
    "count",
    "Items begun again because no engine had the weight version of their text any more.",
    "Only on routes with a single version; a steady rise: engines fail while weights change.",
)
ITEMS_MOVED = _declare(
    "items.moved",
    "counter",
    "count",
    "Texts that were moved to another engine because they end sooner there.",
    "A steady rise: find the engines in the log lines of event item-moved.",
)
SLOW_PERIODS = _declare(
    "servers.slow_periods",
    "counter",
    "count",
    "Slow periods of servers that have ended, as seen by this process.",
    "See the log lines of event server-slow-NAME for those that last.",
)
ITEMS_YIELDED = _declare(
    "items.yielded",
    "counter",
    "count",
    "Attempts that started without urgency, as their step was late or their group not needed.",
    "See the log lines of event step-late; a steady rise: engines lack capacity.",
)
ITEMS_BY_CLASS = tuple(
    _declare(
        f"items.class_{number}",
        "counter",
        "count",
        f"Attempts at items of batches with urgency class {number}; 1 is the most urgent.",
        "Many in classes 1 and 2: steps have little slack; compare with step-late in the log.",
    )
    for number in range(1, 6)
)
"""Counters of the urgency classes from 1 on."""
ITEM_MS = _declare(
    "items.ms", "timer", "ms", "How long an attempt at an item took.", "Compare with due times."
)
STEPS_LATE = _declare(
    "steps.late",
    "counter",
    "count",
    "Times that a batch was found unable to meet its due time.",
    "See the log lines of event step-late: waiting items, or one long text.",
)
SCORINGS_HELD = _declare(
    "scorings.held",
    "counter",
    "count",
    "Scorings that waited because this process had as many at each server as it runs at once.",
    "A steady rise: plain servers lack capacity, or are slow.",
)
BATCHES_ACCEPTED = _declare(
    "batches.accepted", "counter", "count", "Batches that were accepted.", "None."
)
RESULTS_WRITTEN = _declare(
    "batches.results", "counter", "count", "Results that were written to the log.", "None."
)
RESULTS_MIXED = _declare(
    "batches.results_mixed",
    "counter",
    "count",
    "Results with several weight versions that were not listed, as their route allows only one.",
    "Keep the logs and open an issue: an earlier check should have started the item again.",
)
RESULTS_ABANDONED = _declare(
    "batches.abandoned",
    "counter",
    "count",
    "Results that the log can never accept; their items are listed as lost.",
    "Find the event `result-abandoned` in the log: it has the size and the log's answer.",
)
ORDERS = _declare(
    "orders.given", "counter", "count", "Orders to load weights that were given.", "None."
)
ORDERS_HELD = _declare(
    "orders.held",
    "gauge",
    "partitions",
    "Partitions of backend servers that this process may order.",
    "Over all processes the sum is the number of partitions; less for long: nobody claims.",
)
USAGE_REPORTS = _declare(
    "usage.reports",
    "counter",
    "count",
    "Reports of use that were sent, repeats among them.",
    "Over all processes one for each window; none for long: nobody holds the lease.",
)
LOG_CALL_MS = _declare(
    "log.ms", "timer", "ms", "How long a call to the platform's log took.", "As log.failed_calls."
)

BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000)
"""Upper bounds of the histogram buckets, in milliseconds."""


@dataclasses.dataclass(slots=True)
class Histogram:
    """The number of durations per bucket; the last bucket has no upper bound."""

    counts: list[int] = dataclasses.field(default_factory=lambda: [0] * (len(BUCKETS_MS) + 1))
    total_ms: float = 0.0


_lock = threading.Lock()
_gauges: dict[str, float] = {}
_histograms: dict[str, Histogram] = {}
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
    """Count a failed invariant in the counter of its name."""
    count(f"invariant.broken.{name}")


def record_gauge(name: str, value: float) -> None:
    """Set a gauge."""
    with _lock:
        _gauges[name] = value
    if _client is not None:
        _client.gauge(name, value)


def record_timing(name: str, milliseconds: float) -> None:
    """Record one duration."""
    with _lock:
        histogram = _histograms.setdefault(name, Histogram())
        histogram.counts[bisect.bisect_left(BUCKETS_MS, milliseconds)] += 1
        histogram.total_ms += milliseconds
    if _client is not None:
        _client.timing(name, milliseconds)


def read_counts() -> dict[str, int]:
    """Return all counters of this process by name."""
    with _lock:
        return dict(_counts)


def read_gauges() -> dict[str, float]:
    """Return all gauges of this process by name."""
    with _lock:
        return dict(_gauges)


def read_histograms() -> dict[str, Histogram]:
    """Return copies of the histograms of this process by name."""
    with _lock:
        return {
            name: Histogram(list(item.counts), item.total_ms) for name, item in _histograms.items()
        }


def list_metrics() -> list[Metric]:
    """Return all declared metrics, for the generated page that documents them."""
    return list(_METRICS)
