"""A small deployment whose configuration changes, and what each of its processes shows of it."""

import http.client
import json
import signal
import subprocess
import sys
import threading
import time

import deployments
import support
from oleander_base import clock
from oleander_contracts import contract, fold, in_force, readers, records
from oleander_standins import deployment, processes
from oleander_wire import link, messages

CUSTOMER = "matrix"
PAUSE = signal.SIGSTOP
RESUME = signal.SIGCONT
TIMEOUT_SECONDS = 20
"""How long a change may take before a scenario fails; far above what is measured."""
RELAYS = tuple(
    f"log-{name}" for name in (*deployments.ENTRIES, *(host.name for host in deployments.DESKS))
) + tuple(f"link-{host.name}" for host in deployments.DESKS)
_MISSING = 404
_NO_KEY = 400
_STARTING = 503
_PROBE_SECONDS = 2.0
_WATCH_SECONDS = 0.02
_FALSE_HEARTBEAT_SECONDS = 0.2
FALSE_OFFSET = 10_000


class ConfigurationDeployment(deployments.SmallDeployment):
    """
    Publishes numbered contracts; number N has the one operation `change-N`.

    The operation may not be repeated, so a call without a key is answered 400 where the contract
    is in force and 404 where it is not, and nothing ever runs.
    """

    def __init__(self, cluster, entry_flags=()):
        super().__init__(cluster, RELAYS, entry_flags=entry_flags)
        self.deployed.add_customer(CUSTOMER)
        self.number = 0
        self.offset = in_force.NO_OFFSET
        self.seen_changes = {}
        self._is_watching = threading.Event()
        self._watchers = []

    def run_for_each(self, task, names):
        """Do the same with several processes at once."""
        self._run_all((task, name) for name in names)

    def append_change(self):
        """Append the next contract, based on the one in force, past every fault of the log."""
        self.number += 1
        record = records.ContractRecord(create_contract(self.number), self.offset, "ann")
        self.offset = self.append(record.to_value())

    def append(self, *values):
        """Append records straight to the log; return the first offset."""
        url = f"{self.cluster.url('log')}/streams/{records.STREAM}/records"
        return support.call("POST", url, {"records": values}).read_json()["first_offset"]

    def apply_stream(self):
        """Fold what the log holds; return the fold, and each record with its verdict."""
        folded = fold.ConfigurationFold()
        judged = []
        for item in self.read_stream(records.STREAM):
            folded.record_deleted(item["offset"])
            value = item["value"] if isinstance(item["value"], dict) else {}
            judged.append((item, folded.apply(item["offset"], 0, value).ok))
        return folded, judged

    def read_change_status(self, entry, number):
        """Return how an entry answers for one change: in force, missing, or the problem."""
        url = f"{self.cluster.url(entry)}/v1/customers/{CUSTOMER}/operations/change-{number}"
        headers = self.deployed.write_headers(CUSTOMER)
        response = processes.call("POST", url, b"", headers, _PROBE_SECONDS)
        if response.status == _STARTING:
            return json.loads(response.body)["reason"]
        known = {_MISSING: "missing", _NO_KEY: "in force"}
        return known.get(response.status, f"status {response.status}")

    def read_offset(self, name):
        """Return how far a process is; -2 where it can't be asked."""
        try:
            if name in deployments.ENTRIES:
                return self.read_configuration(name)["applied_offset"]
            return read_sidecar_offset(self.cluster.address(name))
        except OSError:
            return -2

    def await_change(self, number, names):
        """Wait until the entries answer by a change alone, and sidecars have its record."""
        for name in names:
            support.wait_until(
                lambda name=name: self.read_offset(name) >= self.offset,
                f"{name} has applied {self.offset}, not only {self.read_offset(name)}",
                TIMEOUT_SECONDS,
            )
            if name in deployments.ENTRIES:
                support.wait_until(
                    lambda name=name: self.read_change_status(name, number) == "in force",
                    f"{name} answers by change {number}",
                    TIMEOUT_SECONDS,
                )
                assert self.read_change_status(name, number - 1) == "missing", name

    def start_watching(self):
        """Keep asking the entries by which change they answer, until `stop_watching`."""
        self.seen_changes = {name: [] for name in deployments.ENTRIES}
        self._is_watching.set()
        self._watchers = [
            threading.Thread(target=self._watch_entry, args=(name, self.number), daemon=True)
            for name in deployments.ENTRIES
        ]
        for thread in self._watchers:
            thread.start()

    def stop_watching(self):
        """End the watch, and return the changes that each entry answered by, in order."""
        self._is_watching.clear()
        for thread in self._watchers:
            thread.join()
        self._watchers = []
        return self.seen_changes

    def recover(self):
        """End every fault, and start again what was killed."""
        self.cluster.control(
            "log", outage="", slow_ms=0, lose_before=0, lose_after=0, late=0, retention=100_000
        )
        for relay in self.relays.values():
            relay.heal()
        names = [*self.hosts, *deployments.ENTRIES]
        for name in names:
            self.cluster.thaw(name)
        ended = [name for name in names if self.cluster.find(name).code is not None]
        self.run_for_each(self.restart, ended)
        self.await_entries()

    def start_publish(self, by, number, wait_ms=8000):
        """Start the operators' command with a change; it runs as a process of its own."""
        arguments = ["publish", "--by", by, "--log_url", self.cluster.url("log")]
        arguments += ["--wait_ms", str(wait_ms), "--log_timeout_ms", "1000"]
        child = subprocess.Popen(
            [sys.executable, "-m", "oleanderdeal", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        child.stdin.write(json.dumps(readers.write_document(create_contract(number))))
        child.stdin.close()
        return child

    def _watch_entry(self, name, first):
        seen = self.seen_changes[name]
        while self._is_watching.is_set():
            for number in range(first, self.number + 1):
                answered = self._try_read_status(name, number) == "in force"
                if answered and (not seen or seen[-1] != number):
                    seen.append(number)
            time.sleep(_WATCH_SECONDS)

    def _try_read_status(self, name, number):
        try:
            return self.read_change_status(name, number)
        except (OSError, http.client.HTTPException, KeyError):
            # It is down, or about to be replaced.
            return "no answer"


def create_contract(number):
    """Return the contract of a change."""
    operation = contract.Operation(
        f"change-{number}", "desk", contract.Priority.CRITICAL, False, 2000, 1, False
    )
    return contract.Contract(CUSTOMER, 50, 10, (operation,), ())


def read_sidecar_offset(address):
    """Link to a sidecar as an entry does, and return the offset of its first heartbeat."""
    hello = messages.Hello(messages.PROTOCOL, "probe", "probe", "a", deployment.PROCESS_TOKEN)
    deadline = clock.start_deadline(_PROBE_SECONDS)
    dialled = link.dial_link(address, deadline)
    if dialled.is_error():
        raise OSError(dialled.error.detail)
    opened = dialled.ok
    try:
        opened.send(hello)
        while not deadline.is_past:
            received = opened.receive(deadline)
            if received.is_error():
                raise OSError(received.error.detail)
            if isinstance(received.ok, messages.Heartbeat):
                return received.ok.configuration_offset
    finally:
        opened.abort()
    raise OSError("no heartbeat")


def serve_false_offset(opened):
    """Serve an entry's link as a sidecar that tells of newer records and sends none."""
    opened.receive(clock.start_deadline(_PROBE_SECONDS))
    opened.send(messages.Hello(messages.PROTOCOL, "boast", "boast", "a", ""))
    beat = messages.Heartbeat("none", 0, 0, 1, 0, None, False, False, FALSE_OFFSET, 0)
    while opened.send(beat).is_ok():
        opened.receive(clock.start_deadline(_FALSE_HEARTBEAT_SECONDS))
