"""Run a small deployment for trying out the operator's commands by hand."""

import pathlib
import signal
import sys
import threading

from oleander_standins import deployment, processes

_MAX_RUN_SECONDS = 3600
_ENVIRONMENT_FILE = pathlib.Path("build") / "site.env"
_HOSTS = (
    deployment.BackendHost("desk-a", "desk", "service", "a"),
    deployment.BackendHost("desk-b", "desk", "service", "b"),
    deployment.BackendHost("designs-a", "designs", "engine", "a", "designs"),
    deployment.BackendHost("designs-b", "designs", "engine", "b", "designs"),
)


def main() -> None:
    """Start the deployment, print how to reach it, and stop on Ctrl-C or after an hour."""
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    cluster = processes.Cluster()
    try:
        deployed = deployment.Deployment(cluster)
        deployed.add_customer("catania")
        deployed.start_platform()
        deployed.start_hosts(_HOSTS)
        deployed.start_entries(2)
        deployed.await_ready(len(_HOSTS))
        describe_site(deployed)
        stopped.wait(_MAX_RUN_SECONDS)
    finally:
        cluster.stop()


def describe_site(deployed: deployment.Deployment) -> None:
    """Write a shell file with the variables that the commands need, and print its path."""
    cluster = deployed.cluster
    entries = ",".join(cluster.url(name) for name in deployed.entries)
    lines = [
        f"export OLEANDERDEAL_LOG_URL={cluster.url('log')}",
        f"export OLEANDERDEAL_ENTRIES={entries}",
        f"export OLEANDERDEAL_OPERATOR_TOKEN={deployment.OPERATOR_TOKEN}",
        f"export ENTRY={cluster.url(deployed.entries[0])}",
        f"export TOKEN={deployed.write_headers('catania')['Authorization'].split()[1]}",
        f"export SIDECAR_PID={cluster.find('desk-a').pid}",
    ]
    _ENVIRONMENT_FILE.parent.mkdir(exist_ok=True)
    _ENVIRONMENT_FILE.write_text("\n".join(lines) + "\n")
    print(f"{len(deployed.entries)} entries, {len(_HOSTS)} hosts; Ctrl-C stops them")
    print(f"in another shell: . {_ENVIRONMENT_FILE}")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
