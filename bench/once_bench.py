"""Measure what the claim of a non-repeatable request costs, and what a log outage does to it."""

import collections.abc
import concurrent.futures
import pathlib
import statistics
import time

from oleander_contracts import in_force, readers, records
from oleander_standins import deployment, processes

_EXAMPLES = pathlib.Path(__file__).resolve().parents[1] / "docs" / "examples"
_HOSTS = (
    deployment.BackendHost("desk-a", "desk", "service", "a"),
    deployment.BackendHost("desk-b", "desk", "service", "b"),
)
_REQUESTS = 400
_TASKS = 8
_LOG_MS = (0, 20)
_OUTAGES = ("refuse", "hang")


def main() -> None:
    """Print one line for each operation and state of the log."""
    cluster = processes.Cluster()
    try:
        deployed = start(cluster)
        for log_ms in _LOG_MS:
            cluster.control("log", slow_ms=log_ms)
            for operation in ("record-lookup", "booking"):
                print(f"log {log_ms:2} ms  {measure(deployed, operation, f'{log_ms}', 1)}")
            print(f"log {log_ms:2} ms  {measure(deployed, 'booking', f'{log_ms}x', _TASKS)}")
        cluster.control("log", slow_ms=0)
        for outage in _OUTAGES:
            cluster.control("log", outage=outage)
            for operation in ("record-lookup", "booking"):
                print(f"log {outage:6} {measure(deployed, operation, outage, 1, 40)}")
            cluster.control("log", outage="")
            time.sleep(3.0)
    finally:
        cluster.stop()


def start(cluster: processes.Cluster) -> deployment.Deployment:
    """Start the platform, two services and two entries with Catania's contract."""
    deployed = deployment.Deployment(cluster)
    deployed.add_customer("catania")
    deployed.start_platform()
    deployed.start_hosts(_HOSTS)
    text = (_EXAMPLES / "catania.yaml").read_text()
    terms = readers.read_contract(text, "catania.yaml").ok
    record = records.ContractRecord(terms, in_force.NO_OFFSET, "bench").to_value()
    url = f"{cluster.url('log')}/streams/{records.STREAM}/records"
    processes.call("POST", url, {"records": [record]})
    deployed.start_entries(2)
    deployed.await_ready(len(_HOSTS))
    processes.wait_until(
        lambda: all(
            deployed.call(entry, "catania", "booking", {}, f"warm-{entry}").status == 200
            for entry in deployed.entries
        ),
        "both entries serve",
    )
    return deployed


def measure(
    deployed: deployment.Deployment,
    operation: str,
    series: str,
    tasks: int,
    count: int = _REQUESTS,
) -> str:
    """Return the share answered and the latencies of so many requests."""

    def call(number: int) -> tuple[int, float]:
        started_at = time.monotonic()
        entry = deployed.entries[number % 2]
        key = f"{series}-{operation}-{number}"
        status = deployed.call(entry, "catania", operation, {"n": number}, key).status
        return status, (time.monotonic() - started_at) * 1000

    with concurrent.futures.ThreadPoolExecutor(tasks) as pool:
        results = list(pool.map(call, range(count)))
    done = sum(status == 200 for status, _ in results)
    latencies = _quantiles([latency for _, latency in results])
    return f"{operation:14} {tasks} at a time: {done}/{count} answered, {latencies}"


def _quantiles(latencies: collections.abc.Sequence[float]) -> str:
    cuts = statistics.quantiles(latencies, n=100)
    return f"p50 {cuts[49]:.1f} ms, p95 {cuts[94]:.1f} ms, p99 {cuts[98]:.1f} ms"


if __name__ == "__main__":
    main()
