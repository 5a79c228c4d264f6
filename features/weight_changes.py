"""Holds a load order back at one step, and reads what engines and the audit log recorded."""

import support
from oleander_standins import deployment, relay

HOST_UNDER_TEST = "designs-a"
ENGINE_UNDER_TEST = f"{HOST_UNDER_TEST}-engine"
ENGINE_RELAY = f"service-{HOST_UNDER_TEST}"
LOG_RELAY = f"log-{HOST_UNDER_TEST}"
_LOAD_REQUEST = "POST /v1/load"
_FAST_ENGINE_FLAGS = ("--token-ms", "3", "--prefill-ms", "0", "--load-ms", "20")
_LOAD_TIMEOUT_FLAGS = ("--load_timeout_ms", "800")
_ENGINE_KINDS = {
    "checks numbers": (True, ()),
    "ignores numbers": (False, ()),
    "states no version": (True, ("--no-states-version",)),
    "ignores numbers and states no version": (False, ("--no-states-version",)),
}


def describe_hosts(kind, *flags):
    """Return the host under test with an engine of a kind, and a second host without faults."""
    checks_fencing, engine_flags = _ENGINE_KINDS[kind]
    return (
        deployment.BackendHost(
            HOST_UNDER_TEST,
            "designs",
            "engine",
            "a",
            "designs",
            checks_fencing=checks_fencing,
            engine_flags=(*_FAST_ENGINE_FLAGS, *engine_flags),
            sidecar_flags=(*_LOAD_TIMEOUT_FLAGS, *flags),
        ),
        deployment.BackendHost(
            "designs-b",
            "designs",
            "engine",
            "b",
            "designs",
            engine_flags=_FAST_ENGINE_FLAGS,
            sidecar_flags=_LOAD_TIMEOUT_FLAGS,
        ),
    )


class WeightChange:
    """Holds back the next load order to the engine under test at one step until released."""

    def __init__(self, deployed, step):
        self._deployed = deployed
        self._cluster = deployed.cluster
        self._relay = deployed.relays[ENGINE_RELAY]
        self._step = step
        match step:
            case "ordered":
                self._relay.hold_requests(_LOAD_REQUEST, relay.TO_SERVER)
            case "half loaded":
                self._cluster.control(ENGINE_UNDER_TEST, hold_load=True)
            case "loaded":
                self._relay.hold_requests(_LOAD_REQUEST, relay.TO_CLIENT)
            case "unreadable":
                self._relay.hold_requests("GET /v1/version", relay.TO_SERVER)

    def hold_answers(self):
        """Hold the engine's responses to generation requests."""
        self._relay.hold_requests("POST /v1/generate", relay.TO_CLIENT)

    def await_stopped(self, version):
        """Wait until the order to load a version has reached the step."""
        conditions = {
            "ordered": lambda: self._relay.count_held(relay.TO_SERVER),
            "half loaded": lambda: read_counts(self._deployed)["loading"],
            "loaded": lambda: self._relay.count_held(relay.TO_CLIENT),
            "confirmed": lambda: find_orders(self._deployed, version, "loaded"),
        }
        support.wait_until(conditions[self._step], f"the order is {self._step}")

    def pass_later_orders(self):
        """Let later orders through; an order that the relay already holds stays held."""
        self._relay.pass_requests()

    def release_order(self):
        """Release everything that is held, and let loads succeed."""
        self._relay.heal()
        self._cluster.control(ENGINE_UNDER_TEST, hold_load=False, fail_load=0)


def read_counts(deployed):
    """Return the counters of the engine under test."""
    return deployed.cluster.read_control(ENGINE_UNDER_TEST, "generations=no")


def read_generations(deployed):
    """Return the generations that the engine under test has recorded."""
    return deployed.cluster.read_control(ENGINE_UNDER_TEST)["generations"].values()


def find_orders(deployed, version, outcome, host=HOST_UNDER_TEST):
    """Return an engine's orders with a version and an outcome from the audit log."""
    values = [record["value"] for record in deployed.read_stream("orders")]
    return [
        value
        for value in values
        if value["host"] == host and value["version"] == version and value["outcome"] == outcome
    ]


def check_fencing(deployed):
    """Check that engines which check fencing numbers accepted only increasing ones."""
    for host in deployed.hosts.values():
        counts = deployed.cluster.read_control(host.server_name, "generations=no")
        accepted = [item["fencing"] for item in counts["loads"] if item["status"] != 409]
        if host.checks_fencing:
            assert accepted == sorted(accepted), f"{host.name}: {counts['loads']}"
