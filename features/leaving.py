"""Desks that leave while calls are held at them, and callers who go on asking."""

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
    """Return so many hosts with a desk, named desk-a and so on."""
    return tuple(
        deployment.BackendHost(f"desk-{letter}", "desk", "service", letter)
        for letter in "abcdef"[:count]
    )


class Desks:
    """The desks of a deployment, the calls held at them, and more calls by the way."""

    def __init__(self, deployed):
        self._deployed = deployed
        self._cluster = deployed.cluster
        self._numbers = itertools.count(1)
        self._names = [host.name for host in deployed.hosts.values() if host.kind == "service"]
        self.held_keys = []

    def hold(self, names, operation):
        """Start calls until each of the desks holds one; other desks answer at once."""
        for name in names:
            self._cluster.control(self._find_server_name(name), hold=True)
        for name in names:
            while not self.read_counts(name)["holding"]:
                self._start_held(operation)

    def fill_slots(self, count):
        """Hold all desks and start so many calls, some of which have to wait for a slot."""
        for name in self._names:
            self._cluster.control(self._find_server_name(name), hold=True)
        for number in range(count):
            self._start_call(("charge", "look-up")[number % 2])
        slots = sum(self._deployed.hosts[name].slots for name in self._names)
        support.wait_until(lambda: self._count_all("holding") == slots, "every slot is taken")

    def release(self, name):
        """Let a desk answer."""
        self._cluster.control(self._find_server_name(name), release=True)

    def count_ended(self):
        """Return how many of the calls have ended."""
        return sum(self._deployed.is_answered(key) for key in self.held_keys)

    def check_held(self):
        """Check that every call was answered as done, and ran once if it may not be repeated."""
        for key in self.held_keys:
            outcome = deployments.read_outcome(self._deployed.read_answer(key))
            assert outcome == "done", f"{key}: {outcome}"
            if key.startswith("charge"):
                assert self._deployed.count_runs(key) == 1, key

    def read_counts(self, name):
        """Return what the desk of a host counted."""
        return self._cluster.read_control(self._find_server_name(name))

    def make_calls(self, count, operations=("charge", "look-up")):
        """Make so many calls through all entries, which must all be answered as done."""
        entries = itertools.cycle(self._deployed.entries)
        chosen = itertools.cycle(operations)
        with concurrent.futures.ThreadPoolExecutor(_MAX_THREADS) as pool:
            asked = [
                pool.submit(self._make_call, next(entries), next(chosen)) for _ in range(count)
            ]
            outcomes = [item.result() for item in asked]
        assert set(outcomes) == {"done"}, outcomes

    def send_late_request(self, name):
        """
        Send a request straight to a sidecar that says that it leaves; return outcome and reason.

        A signal is acted on a while after it was sent, on a busy machine after a request that was
        sent later: that one is run, and rightly so.
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
    raise AssertionError(f"no {kind.__name__} came")


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
