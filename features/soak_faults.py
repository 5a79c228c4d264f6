"""Apply a schedule of faults to a deployment and undo each fault after its duration."""

import collections
import json
import random
import threading
import time

import soak_schedule
import support

_OPERATORS = ("ada", "grace")
"""Operators that concurrently publish contracts based on the same earlier one."""
_JOIN_SECONDS = 30
"""Time limit for the end of one fault's thread, which includes undoing the fault."""


class FaultRunner:
    """Start each fault after its delay, in a thread of its own, so that faults overlap.

    `counts` has the number of applied faults by kind, `problems` the faults that raised an error.
    """

    def __init__(self, deployed, hosts, seed):
        self.counts = collections.Counter()
        self.problems = []
        self._deployed = deployed
        self._hosts = hosts
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._reserved = set()
        self._threads = []
        kind = soak_schedule.FaultKind
        self._actions = {
            kind.KILL: self._kill,
            kind.GRACEFUL_RESTART: self._restart_gracefully,
            kind.FREEZE: self._freeze,
            kind.LINK_CUT: self._cut_link,
            kind.LINK_BLOCKED: self._block_link,
            kind.LOG_REFUSES: lambda fault: self._change_settings("log", fault, outage="refuse"),
            kind.LOG_HANGS: lambda fault: self._change_settings("log", fault, outage="hang"),
            kind.LOG_SLOW: lambda fault: self._change_settings("log", fault, slow_ms=300),
            kind.LOG_LOSES_ANSWERS: lambda fault: self._change_settings(
                "log", fault, lose_after=3
            ),
            kind.LOG_LOSES_APPENDS: lambda fault: self._change_settings(
                "log", fault, lose_before=3
            ),
            kind.LOG_APPENDS_LATE: lambda fault: self._change_settings(
                "log", fault, late=2, late_ms=1500
            ),
            kind.SERVICE_LOSES_ANSWERS: lambda fault: self._change_service(fault, lose_after=2),
            kind.SERVICE_HANGS: lambda fault: self._change_service(fault, hang=True),
            kind.WEIGHTS_DOWN: lambda fault: self._change_settings(
                "weights", fault, outage="refuse"
            ),
            kind.LOAD_FAILS: lambda fault: self._change_engine(fault, fail_load=1),
            kind.LOAD_ANSWER_LOST: lambda fault: self._change_engine(fault, lose_load_answer=1),
            kind.LOAD_LATE: lambda fault: self._change_engine(
                fault, late_load=1, late_load_ms=800
            ),
            kind.ENGINE_SLOW: lambda fault: self._change_engine(fault, slow_factor=5.0),
            kind.CONCURRENT_PUBLISH: self._publish_concurrently,
        }

    def run(self, schedule, deadline):
        """Start faults in order until none is left or the deadline passes; then wait for all."""
        for fault in schedule:
            time.sleep(fault.delay_ms / 1000)
            if time.monotonic() > deadline:
                break
            thread = threading.Thread(target=self._apply, args=(fault,), daemon=True)
            self._threads.append(thread)
            thread.start()
        for thread in self._threads:
            thread.join(_JOIN_SECONDS)
        self._threads.clear()

    def _apply(self, fault):
        """Apply and undo a fault, and count it unless no process was free for it."""
        try:
            if self._actions[fault.kind](fault):
                self.counts[fault.kind.value] += 1
        except Exception as error:
            self.problems.append(f"{fault}: {type(error).__name__} {error}")

    def _reserve_process(self, names, fault):
        """Return a process that no other fault affects, or None if there is none.

        Two faults of one process would undo each other: one could restart what the other froze.
        """
        with self._lock:
            free = [name for name in names if name not in self._reserved]
            if not free:
                return None
            chosen = free[fault.target_index % len(free)]
            self._reserved.add(chosen)
            return chosen

    def _release_process(self, name):
        with self._lock:
            self._reserved.discard(name)

    def _list_processes(self):
        sidecars = [host.name for host in self._hosts]
        servers = [host.server_name for host in self._hosts if host.kind == "engine"]
        return [*sidecars, *servers, *self._deployed.entries]

    def _kill(self, fault):
        return self._replace_process(fault, self._deployed.cluster.kill)

    def _restart_gracefully(self, fault):
        return self._replace_process(
            fault, lambda name: self._deployed.cluster.terminate(name, 60)
        )

    def _replace_process(self, fault, stop_process):
        """Stop a process and start its successor after the fault's duration."""
        name = self._reserve_process(self._list_processes(), fault)
        if name is None:
            return False
        try:
            stop_process(name)
            time.sleep(fault.duration_ms / 1000)
            self._start_process(name)
        finally:
            self._release_process(name)
        return True

    def _start_process(self, name):
        if name in self._deployed.entries:
            # The last letter of "entry-a" is its failure domain.
            self._deployed.start_entry(name, name[6])
            self._retarget_relay(f"{name}-front", name)
        elif name.endswith("-engine"):
            self._deployed.start_backend_server(name.removesuffix("-engine"))
            self._retarget_relay(f"{name}-front", name)
        else:
            start_sidecar(self._deployed, name)

    def _retarget_relay(self, relay_name, process_name):
        """Point a relay to the new address of a process that was started again."""
        cluster = self._deployed.cluster
        cluster.find_relay(relay_name).target = cluster.find(process_name).address

    def _freeze(self, fault):
        name = self._reserve_process(self._list_processes(), fault)
        if name is None:
            return False
        self._deployed.cluster.freeze(name)
        time.sleep(fault.duration_ms / 1000)
        self._deployed.cluster.thaw(name)
        self._release_process(name)
        return True

    def _cut_link(self, fault):
        relay = self._choose_relay(fault)
        relay.cut()
        time.sleep(fault.duration_ms / 1000)
        relay.heal()
        return True

    def _block_link(self, fault):
        """Hold back all bytes in one direction of a link; its connections stay open."""
        relay = self._choose_relay(fault)
        relay.block(self._random.choice(("to_server", "to_client")))
        time.sleep(fault.duration_ms / 1000)
        relay.heal()
        return True

    def _choose_relay(self, fault):
        names = [f"{host.name}-relay" for host in self._hosts]
        return self._deployed.cluster.find_relay(names[fault.target_index % len(names)])

    def _change_settings(self, name, fault, **settings):
        """Set faults at a stand-in for the fault's duration, then set them to no fault."""
        cluster = self._deployed.cluster
        before = {key: self._get_healthy_value(value) for key, value in settings.items()}
        cluster.control(name, **settings)
        time.sleep(fault.duration_ms / 1000)
        cluster.control(name, **before)
        return True

    def _get_healthy_value(self, value):
        """Return the value that means no fault: 1.0 for a factor, else zero, empty or False."""
        return 1.0 if isinstance(value, float) else type(value)()

    def _change_service(self, fault, **settings):
        services = [host.server_name for host in self._hosts if host.kind == "service"]
        return self._change_settings(
            services[fault.target_index % len(services)], fault, **settings
        )

    def _change_engine(self, fault, **settings):
        name = self._reserve_process(
            [h.server_name for h in self._hosts if h.kind == "engine"], fault
        )
        if name is None:
            return False
        try:
            return self._change_settings(name, fault, **settings)
        finally:
            self._release_process(name)

    def _publish_concurrently(self, fault):
        """Let two operators publish contracts on the same base; the later record is void."""
        offset, document = read_contract(self._deployed)
        for operator in _OPERATORS:
            changed = document | {"share_percent": self._random.randint(1, 100)}
            append_contract(self._deployed, changed, offset, operator)
        return True


def start_sidecar(deployed, name):
    """Start a sidecar and list its relay as its address, so that the link to it can be cut."""
    cluster = deployed.cluster
    engine = f"{name}-engine-front"
    backend_url = cluster.url(engine) if cluster.has(engine) else ""
    deployed.start_sidecar(name, backend_url)
    relay_name = f"{name}-relay"
    if cluster.has(relay_name):
        cluster.find_relay(relay_name).target = cluster.find(name).address
    else:
        cluster.start_relay(relay_name, name)
    deployed.list_host(name, cluster.address(relay_name))


def read_contract(deployed):
    """Return the offset and document of the contract in force, or -1 and {} if there is none."""
    url = f"{deployed.cluster.url('log')}/streams/configuration/records?offset=0&limit=1000"
    for _ in range(50):
        try:
            records = support.call("GET", url, timeout=5).read_json()["records"]
            break
        except (OSError, ValueError, KeyError):
            time.sleep(0.2)
    newest, document = -1, {}
    for record in records:
        value = record["value"]
        if value.get("kind") == "contract" and value["base"] == newest:
            newest, document = record["offset"], value["document"]
    return newest, document


def append_contract(deployed, document, base, by):
    """Append a contract record as the publish command does; a connection error is ignored."""
    value = {"kind": "contract", "customer": "catania", "base": base, "document": document}
    value |= {"by": by, "nonce": f"{by}-{base}"}
    body = json.dumps({"records": [value]}).encode()
    url = f"{deployed.cluster.url('log')}/streams/configuration/records"
    try:
        support.call("POST", url, body, timeout=5)
    except OSError:
        return
