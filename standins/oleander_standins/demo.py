"""Run a complete deployment as child processes, exercise it once and print the results."""

import concurrent.futures
import json
import pathlib
import sys

from oleander_standins import deployment, processes

_EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "docs" / "examples"
_TRAINER_TIMEOUT_SECONDS = 120

HOSTS = (
    deployment.BackendHost("desk-a", "desk", "service", "a"),
    deployment.BackendHost("desk-b", "desk", "service", "b"),
    deployment.BackendHost("sales-a", "sales", "service", "a"),
    deployment.BackendHost("sales-c", "sales", "service", "c"),
    deployment.BackendHost("designs-a", "designs", "engine", "a", "designs"),
    deployment.BackendHost("designs-b", "designs", "engine", "b", "designs"),
    deployment.BackendHost(
        "designs-c",
        "designs",
        "engine",
        "c",
        "designs",
        checks_fencing=False,
        sidecar_flags=("--load_timeout_ms", "1000"),
    ),
    deployment.BackendHost("offers-a", "offers", "engine", "a", "offers"),
    deployment.BackendHost("offers-b", "offers", "engine", "b", "offers"),
)
TRAINERS = (("catania", "designs", 2), ("caroni", "offers", 4))


def main() -> None:
    """Run the demo; exit with 1 and print the logs of all processes if a check fails."""
    cluster = processes.Cluster()
    try:
        run_demo(deployment.Deployment(cluster))
    except AssertionError as error:
        print(f"demo failed: {error}\n{cluster.read_logs()}")
        sys.exit(1)
    finally:
        cluster.stop()


def run_demo(deployed: deployment.Deployment) -> None:
    """Start the deployment, publish contracts, call operations, train and print the reports."""
    start_all(deployed)
    publish_contracts(deployed)
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        trained = [pool.submit(run_trainer, deployed, *terms) for terms in TRAINERS]
        call_operations(deployed)
        for future in trained:
            print(future.result())
    log_flags = ("--log_url", deployed.cluster.url("log"))
    for command in (("report", *deployed.entry_flags()), ("audit",)):
        ended = deployed.run_command(*command, *log_flags)
        assert ended.returncode == 0, ended.stderr
        print(ended.stdout)


def start_all(deployed: deployment.Deployment) -> None:
    """Start the platform stand-ins, every host and an entry in each failure domain."""
    for customer, _, _ in TRAINERS:
        deployed.add_customer(customer)
    print("starting the log, the host list and the weight store")
    deployed.start_platform()
    deployed.start_hosts(HOSTS)
    for host in HOSTS:
        print(f"started {host.server_name} and its sidecar {host.name}, domain {host.domain}")
    deployed.start_entries(len(deployment.DOMAINS))
    deployed.await_ready(len(HOSTS))
    print(f"{len(deployed.entries)} entries are linked to {len(HOSTS)} sidecars")


def publish_contracts(deployed: deployment.Deployment) -> None:
    """Publish the contracts of both customers."""
    for customer, _, _ in TRAINERS:
        published = deployed.publish(_EXAMPLES / f"{customer}.yaml")
        assert published.returncode == 0, published.stderr + published.stdout
        print(published.stdout.strip())


def call_operations(deployed: deployment.Deployment) -> None:
    """
    Call the operations of both customers through several entries.

    A booking and a shipment are sent twice with the same idempotency key, to different entries;
    both answers must be equal.
    """
    entries = deployed.entries
    for number in range(10):
        deployed.call(entries[number % 3], "catania", "record-lookup", {"record": number})
        deployed.call(entries[number % 3], "caroni", "depot-sync", {"depot": number})
    for customer, operation in (("catania", "booking"), ("caroni", "shipment")):
        body = {"what": operation, "number": 1}
        first = deployed.call(entries[0], customer, operation, body, key=f"{operation}-1")
        again = deployed.call(entries[1], customer, operation, body, key=f"{operation}-1")
        assert first.status == 200, first.body
        assert again.body == first.body, again.body
        print(f"{operation}: {first.body.decode()}; same answer from another entry")
    call_during_outage(deployed)
    order = deployed.call(entries[2], "caroni", "standing-order", {"outlet": 7})
    assert order.status == 200, order.body
    suggestion = deployed.call(
        entries[0], "catania", "suggestion", {"prompt": "a swallow", "max_tokens": 16}
    )
    assert suggestion.status == 200, suggestion.body
    print(f"suggestion: {suggestion.body.decode()}")


def call_during_outage(deployed: deployment.Deployment) -> None:
    """
    Call an operation while the log is down.

    A request with the caller's own key must be refused; one with a key that an entry issued must
    succeed.
    """
    issued = deployed.issue_key(deployed.entries[1], "catania", "booking")
    deployed.cluster.control("log", outage="refuse")
    own = deployed.call(deployed.entries[0], "catania", "booking", {"number": 2}, key="booking-2")
    done = deployed.call(deployed.entries[2], "catania", "booking", {"number": 3}, key=issued)
    deployed.cluster.control("log", outage="")
    assert own.status == 503, own.body
    assert done.status == 200, done.body
    problem = own.read_json()
    print(f"log down, own key: {problem['outcome']}, retry after {problem['retry_after_ms']} ms")
    print(f"log down, issued key: {done.body.decode()}")


def run_trainer(
    deployed: deployment.Deployment, customer: str, trainer: str, staleness_bound: int
) -> str:
    """Run a trainer for three steps with long samples, with new weights before each step."""
    flags = ["--customer", customer, "--trainer", trainer, "--model", trainer]
    for entry in deployed.entries:
        flags += ["--entry", deployed.cluster.url(entry)]
    flags += ["--token", deployed.write_headers(customer)["Authorization"].split()[1]]
    flags += ["--weights-url", deployed.cluster.url("weights"), "--publish-weights"]
    flags.append("--checks-marks")
    flags += ["--staleness-bound", str(staleness_bound), "--version-start", "2"]
    flags += ["--steps", "3", "--groups", "4", "--samples", "4", "--max-tokens", "60"]
    flags += ["--straggler-every", "7", "--straggler-tokens", "200"]
    process = deployed.cluster.start(
        f"trainer-{trainer}", "oleander_standins.trainer", *flags, ready=False
    )
    code = process.wait_exit(_TRAINER_TIMEOUT_SECONDS)
    lines = [process.lines.get_nowait() for _ in range(process.lines.qsize())]
    assert code == 0, f"trainer {trainer}: exit code {code}: {lines} {process.read_log()}"
    return f"trainer {trainer}: {json.loads(lines[-1])}"


if __name__ == "__main__":
    main()
