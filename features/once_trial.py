"""Drives one non-repeatable request to a step, with faults and retries, and checks its outcome."""

import dataclasses
import hashlib
import itertools
import json
import time

import deployments
import support
from oleander_claims import keys
from oleander_standins import relay

CUSTOMER = deployments.LONG_CUSTOMER
OPERATION = "charge"
_BODY = {"charge": "a deposit"}
_SHARDS = 4
_MAX_LATENESS_SECONDS = 3.0
"""Longest delay of an answer past its deadline, on a busy machine."""
_PROBE_ROUNDS = 2
_TIMEOUT_MS = 6000
"""Long enough for an answer without faults on a busy machine, short enough to wait for."""
_LONG_TIMEOUT_MS = 30_000
LINK_AND_LOG_RELAYS = ("link-desk-a", "link-desk-b", "log-entry-a", "log-entry-b")
RELAYS = (*LINK_AND_LOG_RELAYS, "service-desk-a", "service-desk-b")


@dataclasses.dataclass(slots=True)
class Submission:
    """One request that the caller sent with the key, and its response."""

    entry: str
    timeout_ms: int
    started_at: float
    response: object = None
    ended_at: float = 0.0
    runs_then: int = 0
    """Number of runs of the key when the answer arrived."""
    future: object = None

    @property
    def outcome(self):
        """The outcome and the reason, or `cut` if there was no answer."""
        return deployments.read_outcome(self.response)


class OnceRequestTrial:
    """
    One key in a deployment whose connections all pass through relays.

    The sidecar of the claim in force, its service and its link are addressed by role, because the
    sidecar that is claimed differs between runs.
    """

    _numbers = itertools.count(1)

    def __init__(self, deployment, key=""):
        self.first_timeout_ms = _TIMEOUT_MS
        self.deployment = deployment
        self.cluster = deployment.cluster
        self.relays = deployment.relays
        self.key = key or f"order-{next(self._numbers)}"
        self.submissions = []
        self._suspended = set()
        self._ever_suspended = set()
        self._probes = 0

    @property
    def is_ticket(self):
        """Whether the key is a ticket, which names the sidecar that may start it."""
        return self.key.startswith("t1~")

    @property
    def shard(self):
        """Number of the log stream that holds the key's claims."""
        return keys.compute_shard(CUSTOMER, self.key, _SHARDS)

    def warm_up(self):
        """Run a key of the same stream through each entry, so that both have read the stream."""
        for entry in deployments.ENTRIES:
            support.wait_until(lambda entry=entry: self.probe(entry) == 200, f"{entry} serves")

    def probe(self, entry):
        """Send another key of the same stream; return the HTTP status."""
        self._probes += 1
        names = (f"probe-{self.key}-{self._probes}-{number}" for number in range(1000))
        key = next(
            name for name in names if keys.compute_shard(CUSTOMER, name, _SHARDS) == self.shard
        )
        return self.deployment.deployed.call(entry, CUSTOMER, OPERATION, {}, key).status

    def ask(self, entry, timeout_ms=0):
        """Send the key through an entry, without waiting for the answer."""
        timeout_ms = timeout_ms or (_TIMEOUT_MS if self.submissions else self.first_timeout_ms)
        submission = Submission(entry, timeout_ms, time.monotonic())
        self.submissions.append(submission)
        submission.future = self.deployment.submit(self._call, submission)
        return submission

    def await_answer(self, number):
        """Wait until a submission has ended, and check that it ended by its deadline."""
        submission = self.submissions[number - 1]
        submission.future.result()
        if submission.entry in self._ever_suspended:
            return
        seconds = submission.ended_at - submission.started_at
        assert seconds < submission.timeout_ms / 1000 + _MAX_LATENESS_SECONDS, seconds
        if submission.timeout_ms == _LONG_TIMEOUT_MS:
            assert seconds < _LONG_TIMEOUT_MS / 1000 / 2, f"held back for {seconds} s"

    def hold_runs(self):
        """Make the services run requests but hold their answers until `end_faults`."""
        for host in self.deployment.hosts.values():
            self.cluster.control(host.server_name, hold=True)

    def await_run(self):
        """Wait until a service runs the key or has run it."""
        support.wait_until(lambda: self.deployment.count_runs(self.key) == 1, "the key runs")

    def find_claims(self):
        """Return the key's claims in the order of the log."""
        values = [item["value"] for item in self.deployment.read_stream(f"claims-{self.shard}")]
        return [value for value in values if value["key"] == self.key]

    def await_claims(self, count):
        """Wait until the log holds at least `count` claims of the key."""
        support.wait_until(lambda: len(self.find_claims()) >= count, f"{count} claims")

    def name(self, role):
        """Return the name of the process or relay that has a role."""
        if role.startswith(("entry-", "log", "desk-")):
            return role
        host = self.key.split("~")[4] if self.is_ticket else self.find_claims()[0]["sidecar"]
        if role.startswith("other-"):
            host = next(name for name in self.deployment.hosts if name != host)
        role = role.removeprefix("other-")
        names = {"sidecar": host, "service": f"{host}-service"}
        return names.get(role) or role.replace("link", f"link-{host}").replace(
            "call", f"service-{host}"
        )

    def suspend(self, name):
        """Suspend a process."""
        self.deployment.freeze(name)
        self._suspended.add(name)
        self._ever_suspended.add(name)

    def resume(self, name):
        """Resume a suspended process."""
        self.cluster.thaw(name)
        self._suspended.discard(name)

    def end_faults(self):
        """End all faults: resume and restart processes, heal relays, release held answers."""
        self.cluster.control("log", outage="", slow_ms=0, lose_before=0, lose_after=0, late=0)
        for host in self.deployment.hosts.values():
            if self.cluster.find(host.server_name).code is None:
                self.cluster.control(host.server_name, hold=False, hang=False)
        for item in self.relays.values():
            item.heal()
        for name in list(self._suspended):
            self.resume(name)
        hosts = self.deployment.hosts.values()
        for name in [*(host.name for host in hosts), *(host.server_name for host in hosts)]:
            if self.cluster.find(name).code is not None:
                self.deployment.restart(name)
        self.deployment.await_entries()
        for number in range(1, len(self.submissions) + 1):
            self.await_answer(number)

    def flush_late_messages(self):
        """
        Send other requests over all links on which messages of the key may still be in flight.

        Held messages are forwarded before them, and when they are answered the entries have read
        all earlier records of the stream.
        """
        for _ in range(_PROBE_ROUNDS):
            for entry in self.deployment.list_running_entries():
                support.wait_until(lambda entry=entry: self.probe(entry) == 200, "a probe")

    def check_answers(self):
        """Check what must hold after any sequence of faults; return how often the key ran."""
        runs = self.deployment.count_runs(self.key)
        assert runs <= 1, f"ran {runs} times: {self.describe()}"
        done = [item.response.body for item in self.submissions if item.outcome == "done"]
        for body in done:
            self._check_body(body)
        assert len(set(done)) <= 1, f"different answers: {done}"
        assert runs or not done, f"answered but never ran: {self.describe()}"
        refused = [item for item in self.submissions if item.outcome.startswith("not-run")]
        for item in refused:
            assert item.runs_then == 0, f"refused as not run, but it had: {self.describe()}"
            assert int(item.response.headers["retry-after"]) >= 1, item.response
        if len(refused) == len(self.submissions):
            assert runs == 0, f"refused as not run, but it ran later: {self.describe()}"
        return runs

    def describe(self):
        """Return answers and claims so far, for the message of a failure."""
        told = [(item.entry, item.outcome, item.runs_then) for item in self.submissions]
        return f"{told}, claims {self.find_claims()}"

    def _check_body(self, body):
        content = json.loads(body)
        digest = hashlib.sha256(json.dumps(_BODY).encode()).hexdigest()
        assert (content["key"], content["digest"]) == (self.key, digest), content

    def _call(self, submission):
        submission.response = self.deployment.call(
            submission.entry, CUSTOMER, OPERATION, _BODY, self.key, submission.timeout_ms
        )
        submission.ended_at = time.monotonic()
        submission.runs_then = self.deployment.count_runs(self.key)


def _reach_received(trial):
    """
    Bring the request to the entry, and hold the append of its claim on the way to the log.

    Waiting for an open connection is not enough: an entry that is killed after opening it and
    before sending has appended nothing, and its claim never arrives.
    """
    log_relay = trial.relays["log-entry-a"]
    log_relay.block(relay.TO_SERVER)
    trial.ask("entry-a")
    append = f"POST /streams/claims-{trial.shard}/records"
    support.wait_until(
        lambda: log_relay.holds(relay.TO_SERVER, append), "the claim's append was sent"
    )


def _reach_appended(trial):
    """Bring the claim to the log, and hold the log's answers to the entry."""
    trial.relays["log-entry-a"].block(relay.TO_CLIENT)
    trial.ask("entry-a")
    trial.await_claims(1)


def _reach_read_back(trial):
    """Suspend the entry with the claim unread in its socket; when resumed it sends the request."""
    _reach_appended(trial)
    trial.suspend("entry-a")
    trial.relays["log-entry-a"].heal()


def _send_through(trial, change):
    """Apply a change to the link to the sidecar before the request is sent; return the link."""
    if not trial.is_ticket:
        _reach_appended(trial)
    link = trial.relays[trial.name("link")]
    change(link)
    if trial.is_ticket:
        trial.ask("entry-a")
    trial.relays["log-entry-a"].heal()
    return link


def _reach_dispatched(trial):
    """Hold the request on its way to the sidecar; new connections are held as well."""
    link = _send_through(trial, lambda link: link.block(relay.TO_SERVER))
    support.wait_until(lambda: link.count_held(relay.TO_SERVER), "the request was sent")


def _reach_overtaken(trial):
    """Hold the request on an old connection; new connections to the sidecar work."""
    link = _send_through(trial, lambda link: link.block_open_connections())
    support.wait_until(lambda: link.count_held(relay.TO_SERVER), "the request was sent")


def _reach_running(trial):
    """Wait until the service runs the request, and hold its answer."""
    trial.hold_runs()
    trial.ask("entry-a")
    trial.await_run()


def _reach_finished(trial):
    """Hold the service's answer on its way to the sidecar."""
    for host in trial.deployment.hosts:
        trial.relays[f"service-{host}"].block(relay.TO_CLIENT)
    trial.ask("entry-a")
    if not trial.is_ticket:
        trial.await_claims(1)
    call = trial.relays[trial.name("call")]
    support.wait_until(lambda: call.count_held(relay.TO_CLIENT), "the service has answered")


def _reach_returned(trial):
    """Hold the sidecar's answer on its way to the entry."""
    _send_through(trial, lambda link: link.block(relay.TO_CLIENT))
    trial.await_run()


def _reach_answered(trial):
    """Wait until the caller has the answer."""
    trial.ask("entry-a")
    trial.await_answer(1)


STEPS = {
    "unsent": lambda trial: None,
    "received": _reach_received,
    "appended": _reach_appended,
    "read back": _reach_read_back,
    "dispatched": _reach_dispatched,
    "overtaken": _reach_overtaken,
    "running": _reach_running,
    "finished": _reach_finished,
    "returned": _reach_returned,
    "answered": _reach_answered,
}
