"""A change of weights that is stopped on its way at one engine, and what fails meanwhile."""

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
    """Return an engine of a kind, which is to fail, and a sound one."""
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
    """Stops an order to the engine under test at one step, and lets it go on later."""

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
        """Hold what the engine answers to generations."""
        self._relay.hold_requests("POST /v1/generate", relay.TO_CLIENT)

    def await_stopped(self, version):
        """Wait until the order to load a version has come to the step."""
        conditions = {
            "ordered": lambda: self._relay.count_held(relay.TO_SERVER),
            "half loaded": lambda: read_counts(self._deployed)["loading"],
            "loaded": lambda: self._relay.count_held(relay.TO_CLIENT),
            "confirmed": lambda: find_orders(self._deployed, version, "loaded"),
        }
        support.wait_until(conditions[self._step], f"the order is {self._step}")

    def pass_later_orders(self):
        """Let later orders pass; the one that was stopped stays so where it was sent already."""
        self._relay.pass_requests()

    def release_order(self):
        """Let everything go on."""
        self._relay.heal()
        self._cluster.control(ENGINE_UNDER_TEST, hold_load=False, fail_load=0)


def read_counts(deployed):
    """Return what the engine under test counted."""
    return deployed.cluster.read_control(ENGINE_UNDER_TEST, "generations=no")


def read_generations(deployed):
    """Return what the engine under test knows of its generations."""
    return deployed.cluster.read_control(ENGINE_UNDER_TEST)["generations"].values()


def find_orders(deployed, version, outcome, host=HOST_UNDER_TEST):
    """Return what the trail says of orders to an engine."""
    values = [record["value"] for record in deployed.read_stream("orders")]
    return [
        value
        for value in values
        if value["host"] == host and value["version"] == version and value["outcome"] == outcome
    ]


def check_fencing(deployed):
    """Check that no engine that checks numbers accepted an older one after a newer."""
    for host in deployed.hosts.values():
        counted = deployed.cluster.read_control(host.server_name, "generations=no")
        accepted = [item["fencing"] for item in counted["loads"] if item["status"] != 409]
        if host.checks_fencing:
            assert accepted == sorted(accepted), f"{host.name}: {counted['loads']}"
