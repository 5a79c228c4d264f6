"""Run a deployment under load and random faults, then check it for broken guarantees.

The answers that callers and trainers got are compared with the runs that the servers counted.
"""

import argparse
import collections
import json
import pathlib
import sys
import time

import soak_faults
import soak_load
import soak_schedule
import support
from oleander_contracts import readers
from oleander_standins import deployment

_EXAMPLE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "examples" / "catania.yaml"
_FAULTS_PER_SCHEDULE = 20
_SETTLE_SECONDS = 3.0
"""Duration of the final load without faults, for recovery from the last ones before the check."""
_CALLER_COUNT = 6
_INVARIANT_EVENT = "invariant-broken"
"""Event of the log line that a program writes when an invariant does not hold."""
HOSTS = (
    deployment.BackendHost("desk-a", "desk", "service", "a"),
    deployment.BackendHost("desk-b", "desk", "service", "b"),
    deployment.BackendHost("designs-a", "designs", "engine", "a", "designs"),
    deployment.BackendHost("designs-b", "designs", "engine", "b", "designs"),
    deployment.BackendHost(
        "designs-c",
        "designs",
        "engine",
        "c",
        "designs",
        checks_fencing=False,
        sidecar_flags=("--load_timeout_ms", "2000"),
    ),
)


def start(cluster):
    """Start all processes, each sidecar, engine and entry behind a relay that can be cut."""
    deployed = deployment.Deployment(cluster)
    deployed.add_customer("catania")
    deployed.start_platform()
    for host in HOSTS:
        deployed.add_host(host)
        deployed.start_backend_server(host.name)
        if host.kind == "engine":
            cluster.start_relay(f"{host.server_name}-front", host.server_name)
        soak_faults.start_sidecar(deployed, host.name)
    deployed.start_entries(3)
    for entry in deployed.entries:
        cluster.start_relay(f"{entry}-front", entry)
    read = readers.read_contract(_EXAMPLE.read_text(), _EXAMPLE.name)
    soak_faults.append_contract(deployed, readers.write_document(read.ok), -1, "soak")
    deployed.await_ready(len(HOSTS))
    return deployed


def run(seed, seconds):
    """Run one soak and return its counts and the list of violations, empty if there are none."""
    cluster = support.Cluster()
    try:
        deployed = start(cluster)
        bookings = soak_load.BookingCallers(deployed, seed, _CALLER_COUNT)
        training = soak_load.RestartedTrainer(deployed, "designs", 2, seed)
        watch = soak_load.OffsetWatcher(deployed)
        workers = (bookings, training, watch)
        for worker in workers:
            worker.start()
        faults = run_faults(deployed, seed, seconds)
        time.sleep(_SETTLE_SECONDS)
        for worker in workers:
            worker.stop()
        return judge(cluster, bookings, training, watch, faults)
    finally:
        cluster.stop()


def run_faults(deployed, seed, seconds):
    """Apply one schedule after another, each of a seed of its own, until the time is up."""
    runner = soak_faults.FaultRunner(deployed, HOSTS, seed)
    deadline = time.monotonic() + seconds
    schedule_number = 0
    while time.monotonic() < deadline:
        schedule = soak_schedule.draw_schedule(seed * 1000 + schedule_number, _FAULTS_PER_SCHEDULE)
        runner.run(schedule, deadline)
        schedule_number += 1
    return runner


def judge(cluster, bookings, training, watch, faults):
    """Return the counts, and the violations found in answers, run counts, samples and logs."""
    runs = collections.Counter()
    for host in HOSTS:
        if host.kind == "service":
            runs.update(cluster.read_control(host.server_name)["runs_by_key"])
    logs = cluster.read_whole_logs()
    problems = bookings.check_runs(runs) + training.problems + watch.problems + faults.problems
    problems += [line for line in logs.splitlines() if _INVARIANT_EVENT in line]
    problems += [line for line in logs.splitlines() if "event=task-failed" in line]
    counts = {
        "bookings": len(bookings.histories),
        "last answers": dict(bookings.count_outcomes()),
        "runs": sum(runs.values()),
        "trainer runs": training.runs,
        "samples": training.samples,
        "offsets read": watch.reads,
        "faults": dict(faults.counts),
    }
    return counts, problems


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    options = parser.parse_args()
    counts, problems = run(options.seed, options.minutes * 60)
    print(json.dumps({"seed": options.seed, "minutes": options.minutes} | counts, indent=1))
    for problem in problems[:40]:
        print(f"VIOLATION {problem}")
    print(f"violations: {len(problems)}")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
