"""Compare the latency of at-most-once requests with a claim in the log and with a ticket."""

import concurrent.futures
import statistics
import time

from oleander_base import identifiers
from oleander_contracts import readers
from oleander_standins import deployment, processes

_REQUESTS = 200
_CALLERS = 4
_SLOW_MS = (0, 20)
_CONTRACT = """
customer: catania
share_percent: 100
retry_percent: 10
operations:
  - name: booking
    backend: desk
    priority: critical
    repeatable: false
    timeout_ms: 5000
    worth: 10
trainers: []
"""


def start(cluster: processes.Cluster) -> deployment.Deployment:
    """Start two services behind two entries and write a contract to the log."""
    deployed = deployment.Deployment(cluster)
    deployed.add_customer("catania")
    deployed.start_platform()
    deployed.start_hosts(
        [deployment.BackendHost(f"desk-{d}", "desk", "service", d, slots=8) for d in "ab"]
    )
    deployed.start_entries(2)
    document = readers.write_document(readers.read_contract(_CONTRACT, "bench").ok)
    value = {"kind": "contract", "customer": "catania", "base": -1, "document": document}
    value |= {"by": "bench", "nonce": "bench"}
    log_url = f"{cluster.url('log')}/streams/configuration/records"
    processes.call("POST", log_url, {"records": [value]})
    deployed.await_ready(2)
    time.sleep(1.0)
    return deployed


def call_once(deployed: deployment.Deployment, kind: str, number: int) -> tuple[float, int]:
    """Send a booking; return its latency in milliseconds and its status."""
    entry = deployed.entries[number % 2]
    key = f"{kind}-{number}"
    if kind == "ticket":
        key = deployed.issue_key(entry, "catania", "booking")
    started = time.perf_counter()
    response = deployed.call(entry, "catania", "booking", {"n": number}, key)
    return (time.perf_counter() - started) * 1000, response.status


def measure(deployed: deployment.Deployment, kind: str, label: str) -> None:
    """Print the latency quantiles and the number of successful bookings of a run."""
    offset = identifiers.hash_text(label) % 1_000_000 * 1000
    with concurrent.futures.ThreadPoolExecutor(_CALLERS) as pool:
        numbers = range(offset, offset + _REQUESTS)
        results = list(pool.map(lambda number: call_once(deployed, kind, number), numbers))
    times = [taken for taken, _ in results]
    done = sum(status == 200 for _, status in results)
    quantiles = statistics.quantiles(times, n=100)
    print(
        f"{label:28} {kind:7} p50 {quantiles[49]:7.1f} ms  p99 {quantiles[98]:7.1f} ms  "
        f"done {done}/{_REQUESTS}"
    )


def main() -> None:
    """Measure with a fast log, a slow log and a log that is down."""
    cluster = processes.Cluster()
    try:
        deployed = start(cluster)
        measure(deployed, "ticket", "warm-up")
        for slow_ms in _SLOW_MS:
            cluster.control("log", slow_ms=slow_ms)
            for kind in ("claim", "ticket"):
                measure(deployed, kind, f"log answers in {slow_ms} ms")
        cluster.control("log", slow_ms=0, outage="refuse")
        for kind in ("claim", "ticket"):
            measure(deployed, kind, "log down")
    finally:
        cluster.stop()


if __name__ == "__main__":
    main()
