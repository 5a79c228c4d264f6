"""One non-repeatable request that is brought to a step, meets faults, and is retried."""

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
_LATE_SECONDS = 3.0
"""How long after its deadline an answer may come on a busy machine."""
_PROBES = 2
_TIMEOUT_MS = 6000
"""Long enough for what goes on at once, on a busy machine too; short enough to wait for."""
_LONG_TIMEOUT_MS = 30_000
LINK_AND_LOG_RELAYS = ("link-desk-a", "link-desk-b", "log-entry-a", "log-entry-b")
RELAYS = (*LINK_AND_LOG_RELAYS, "service-desk-a", "service-desk-b")


@dataclasses.dataclass(slots=True)
class Submission:
    """One time that the caller sent the key, and what came of it."""

    entry: str
    timeout_ms: int
    started_at: float
    response: object = None
    ended_at: float = 0.0
    runs_then: int = 0
    """How often the key had run when the answer came."""
    future: object = None

    @property
    def outcome(self):
        """The outcome and the reason; `cut` where no answer came."""
        return deployments.read_outcome(self.response)


class OnceTrial:
    """
    The key's story in a deployment with all relays.

    The sidecar that the claim in force names, its service and its link are called by their roles,
    since which one it is differs from run to run.
    """

    _numbers = itertools.count(1)

    def __init__(self, deployment, key=""):
        self.first_timeout_ms = _TIMEOUT_MS
        self.deployment = deployment
        self.cluster = deployment.cluster
        self.relays = deployment.relays
        self.key = key or f"order-{next(self._numbers)}"
        self.submissions = []
        self._frozen = set()
        self._ever_frozen = set()
        self._probes = 0

    @property
    def is_ticket(self):
        """Whether the key was issued, and names the sidecar that may start it."""
        return self.key.startswith("t1~")

    @property
    def shard(self):
        """The stream that the key's claims stand in."""
        return keys.compute_shard(CUSTOMER, self.key, _SHARDS)

    def warm_up(self):
        """Run another key of the same stream through each entry until both have read it."""
        for entry in deployments.ENTRIES:
            support.wait_until(lambda entry=entry: self.probe(entry) == 200, f"{entry} serves")

    def probe(self, entry):
        """Send another key of the same stream; return the status."""
        self._probes += 1
        names = (f"probe-{self.key}-{self._probes}-{number}" for number in range(1000))
        key = next(
            name for name in names if keys.compute_shard(CUSTOMER, name, _SHARDS) == self.shard
        )
        return self.deployment.deployed.call(entry, CUSTOMER, OPERATION, {}, key).status

    def ask(self, entry, timeout_ms=0):
        """Send the key through an entry; go on at once."""
        timeout_ms = timeout_ms or (_TIMEOUT_MS if self.submissions else self.first_timeout_ms)
        submission = Submission(entry, timeout_ms, time.monotonic())
        self.submissions.append(submission)
        submission.future = self.deployment.submit(self._call, submission)
        return submission

    def await_answer(self, number):
        """Wait until a submission has ended, and check that it did not outlive its deadline."""
        submission = self.submissions[number - 1]
        submission.future.result()
        if submission.entry in self._ever_frozen:
            return
        seconds = submission.ended_at - submission.started_at
        assert seconds < submission.timeout_ms / 1000 + _LATE_SECONDS, seconds
        if submission.timeout_ms == _LONG_TIMEOUT_MS:
            assert seconds < _LONG_TIMEOUT_MS / 1000 / 2, f"held back for {seconds} s"

    def hold_runs(self):
        """Let the services run but not answer, until the faults are over."""
        for host in self.deployment.hosts.values():
            self.cluster.control(host.server_name, hold=True)

    def await_run(self):
        """Wait until a service is at work on the key, or has done it."""
        support.wait_until(lambda: self.deployment.count_runs(self.key) == 1, "the key runs")

    def find_claims(self):
        """Return the key's claims in the log, in order."""
        values = [item["value"] for item in self.deployment.read_stream(f"claims-{self.shard}")]
        return [value for value in values if value["key"] == self.key]

    def await_claims(self, count):
        """Wait until the log holds so many claims of the key."""
        support.wait_until(lambda: len(self.find_claims()) >= count, f"{count} claims")

    def name(self, role):
        """Return the name of what a role stands for."""
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

    def freeze(self, name):
        """Pause a process."""
        self.deployment.freeze(name)
        self._frozen.add(name)
        self._ever_frozen.add(name)

    def thaw(self, name):
        """Let a paused process go on."""
        self.cluster.thaw(name)
        self._frozen.discard(name)

    def end_faults(self):
        """Let everything go on that was paused, cut, held or out of order; restart the dead."""
        self.cluster.control("log", outage="", slow_ms=0, lose_before=0, lose_after=0, late=0)
        for host in self.deployment.hosts.values():
            if self.cluster.find(host.server_name).code is None:
                self.cluster.control(host.server_name, hold=False, hang=False)
        for item in self.relays.values():
            item.heal()
        for name in list(self._frozen):
            self.thaw(name)
        hosts = self.deployment.hosts.values()
        for name in [*(host.name for host in hosts), *(host.server_name for host in hosts)]:
            if self.cluster.find(name).code is not None:
                self.deployment.restart(name)
        self.deployment.await_entries()
        for number in range(1, len(self.submissions) + 1):
            self.await_answer(number)

    def let_late_work_arrive(self):
        """
        Send other requests through everything that the key may still be on its way through.

        What was held is passed on before them, and the entries have read all earlier records of
        the stream when these are answered.
        """
        for _ in range(_PROBES):
            for entry in self.deployment.list_running_entries():
                support.wait_until(lambda entry=entry: self.probe(entry) == 200, "a probe")

    def check_answers(self):
        """Check what must hold for any story; return how often the key ran."""
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
        """Return the story so far, for a failure's message."""
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
    The entry has the request; its append does not get to the log.

    That a connection is open says nothing yet: an entry that is killed between opening it and
    sending has appended nothing, and its claim never comes.
    """
    log_relay = trial.relays["log-entry-a"]
    log_relay.block(relay.TO_SERVER)
    trial.ask("entry-a")
    append = f"POST /streams/claims-{trial.shard}/records"
    support.wait_until(
        lambda: log_relay.holds(relay.TO_SERVER, append), "the claim's append was sent"
    )


def _reach_appended(trial):
    """The claim stands in the log; the entry does not know."""
    trial.relays["log-entry-a"].block(relay.TO_CLIENT)
    trial.ask("entry-a")
    trial.await_claims(1)


def _reach_read_back(trial):
    """The claim is on its way back to the entry, which is paused and about to send the request."""
    _reach_appended(trial)
    trial.freeze("entry-a")
    trial.relays["log-entry-a"].heal()


def _send_through(trial, change):
    """Let the link that the request will take be changed before it is sent; return the link."""
    if not trial.is_ticket:
        _reach_appended(trial)
    link = trial.relays[trial.name("link")]
    change(link)
    if trial.is_ticket:
        trial.ask("entry-a")
    trial.relays["log-entry-a"].heal()
    return link


def _reach_dispatched(trial):
    """The request is on its way to the sidecar, which can't be reached."""
    link = _send_through(trial, lambda link: link.block(relay.TO_SERVER))
    support.wait_until(lambda: link.count_held(relay.TO_SERVER), "the request was sent")


def _reach_overtaken(trial):
    """The request is held on an old connection; new connections to the sidecar work."""
    link = _send_through(trial, lambda link: link.block_open_connections())
    support.wait_until(lambda: link.count_held(relay.TO_SERVER), "the request was sent")


def _reach_running(trial):
    """The service is at work on the request."""
    trial.hold_runs()
    trial.ask("entry-a")
    trial.await_run()


def _reach_finished(trial):
    """The service's answer is on its way to the sidecar."""
    for host in trial.deployment.hosts:
        trial.relays[f"service-{host}"].block(relay.TO_CLIENT)
    trial.ask("entry-a")
    if not trial.is_ticket:
        trial.await_claims(1)
    call = trial.relays[trial.name("call")]
    support.wait_until(lambda: call.count_held(relay.TO_CLIENT), "the service has answered")


def _reach_returned(trial):
    """The sidecar's answer is on its way to the entry."""
    _send_through(trial, lambda link: link.block(relay.TO_CLIENT))
    trial.await_run()


def _reach_answered(trial):
    """The caller has the answer."""
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
