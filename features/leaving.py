"""Holds calls at desks whose sidecars leave (take no new work), and makes calls meanwhile."""

import concurrent.futures
import itertools

import deployments
import support
from oleander_base import clock
from oleander_standins import deployment
from oleander_wire import link, messages

_CUSTOMER = "long"
_MAX_THREADS = 8
_LINK_TIMEOUT_SECONDS = 5.0


def describe_desks(count):
    """Return `count` hosts with a desk service, named desk-a, desk-b and so on."""
    return tuple(
        deployment.BackendHost(f"desk-{letter}", "desk", "service", letter)
        for letter in "abcdef"[:count]
    )


class Desks:
    """The desk services of a deployment, and the calls held at them."""

    def __init__(self, deployed):
        self._deployed = deployed
        self._cluster = deployed.cluster
        self._numbers = itertools.count(1)
        self._names = [host.name for host in deployed.hosts.values() if host.kind == "service"]
        self.held_keys = []

    def hold(self, names, operation):
        """Start calls until each of the desks holds one; other desks answer immediately."""
        for name in names:
            self._cluster.control(self._find_server_name(name), hold=True)
        for name in names:
            while not self.read_counts(name)["holding"]:
                self._start_held(operation)

    def fill_slots(self, count):
        """Make all desks hold calls, and start more calls than there are slots."""
        for name in self._names:
            self._cluster.control(self._find_server_name(name), hold=True)
        for number in range(count):
            self._start_call(("charge", "look-up")[number % 2])
        slots = sum(self._deployed.hosts[name].slots for name in self._names)
        support.wait_until(lambda: self._count_all("holding") == slots, "every slot is taken")

    def release(self, name):
        """Let a desk answer the calls that it holds."""
        self._cluster.control(self._find_server_name(name), release=True)

    def count_ended(self):
        """Return how many of the held calls have ended."""
        return sum(self._deployed.is_answered(key) for key in self.held_keys)

    def check_held(self):
        """Check that every held call is done, and that each charge ran exactly once."""
        for key in self.held_keys:
            outcome = deployments.read_outcome(self._deployed.read_answer(key))
            assert outcome == "done", f"{key}: {outcome}"
            if key.startswith("charge"):
                assert self._deployed.count_runs(key) == 1, key

    def read_counts(self, name):
        """Return the counters of a host's desk."""
        return self._cluster.read_control(self._find_server_name(name))

    def make_calls(self, count, operations=("charge", "look-up")):
        """Make `count` calls through all entries in turn, and check that all are done."""
        entries = itertools.cycle(self._deployed.entries)
        next_operations = itertools.cycle(operations)
        with concurrent.futures.ThreadPoolExecutor(_MAX_THREADS) as pool:
            calls = [
                pool.submit(self._make_call, next(entries), next(next_operations))
                for _ in range(count)
            ]
            outcomes = [item.result() for item in calls]
        assert set(outcomes) == {"done"}, outcomes

    def send_late_request(self, name):
        """
        Send a request directly to a sidecar that is leaving; return its outcome and reason.

        This first waits for a heartbeat that reports leaving. On a busy machine the sidecar may
        handle the signal only after a request that was sent later, and then rightly run it.
        """
        address = self._cluster.address(name)
        opened = link.dial_link(address, clock.start_deadline(_LINK_TIMEOUT_SECONDS)).ok
        try:
            hello = messages.Hello(
                messages.PROTOCOL, "late", "late", "a", deployment.PROCESS_TOKEN
            )
            opened.send(hello)
            incarnation = _receive(opened, messages.Hello).incarnation
            while not _receive(opened, messages.Heartbeat).leaving:
                pass
            opened.send(_create_run(incarnation))
            answer = _receive(opened, messages.Answer)
            return f"{answer.outcome.value} {answer.reason}"
        finally:
            opened.close()

    def _make_call(self, entry, operation):
        key = f"by-the-way-{next(self._numbers)}"
        body = {"prompt": key, "max_tokens": 8} if operation == "draft" else {"key": key}
        response = self._deployed.deployed.call(entry, _CUSTOMER, operation, body, key)
        return deployments.read_outcome(response)

    def _start_held(self, operation):
        before = self._count_all("runs")
        self._start_call(operation)
        support.wait_until(lambda: self._count_all("runs") > before, "the call runs")

    def _start_call(self, operation):
        key = f"{operation}-{next(self._numbers)}"
        self._deployed.start_call(key, "entry-a", _CUSTOMER, operation, {"key": key}, key)
        self.held_keys.append(key)

    def _count_all(self, name):
        return sum(self.read_counts(host)[name] for host in self._names)

    def _find_server_name(self, name):
        return self._deployed.hosts[name].server_name


def _receive(opened, kind):
    deadline = clock.start_deadline(_LINK_TIMEOUT_SECONDS)
    while not deadline.is_past:
        received = opened.receive(deadline).ok
        if isinstance(received, kind):
            return received
    raise AssertionError(f"no {kind.__name__} was received")


def _create_run(incarnation):
    return messages.Run(
        request_id="late",
        trace_id="late",
        incarnation=incarnation,
        customer=_CUSTOMER,
        operation="charge",
        key="late",
        digest="late",
        attempt=1,
        shard=0,
        claim_offset=1_000_000,
        repeatable=False,
        priority=1,
        share_percent=50,
        budget_ms=10_000,
        body=b"{}",
        generation=None,
    )
