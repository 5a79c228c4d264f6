"""Kinds of work that are in progress when a process is told to stop."""

import abc
import functools
import json
import signal

import deployments
import leaving
import support
import trainings
from oleander_standins import deployment, relay, tokens

ENTRY = "entry-a"
"""The entry that callers and the trainer use first."""
_ENGINE_FLAGS = ("--token-ms", "3", "--prefill-ms", "0", "--load-ms", "0")
HOSTS = (
    *deployments.DESKS,
    *(
        deployment.BackendHost(
            f"designs-{domain}",
            "designs",
            "engine",
            domain,
            "designs",
            slots=8,
            engine_flags=_ENGINE_FLAGS,
        )
        for domain in "ab"
    ),
)
_DRAFT_TOKENS = 40
_VERSION = 1


class WorkInProgress(abc.ABC):
    """Work that is held in progress during the stop and released afterwards."""

    new_call_operations = ("charge", "look-up")
    """Operations for which callers can make new calls meanwhile."""

    def __init__(self, deployed):
        self._deployed = deployed
        self._cluster = deployed.cluster

    @property
    @abc.abstractmethod
    def sidecar(self):
        """The name of a sidecar that is involved in the work."""

    @abc.abstractmethod
    def start(self):
        """Start the work, and wait until it is held."""

    @abc.abstractmethod
    def release(self):
        """Let the work continue."""

    @abc.abstractmethod
    def check(self):
        """Check that all answers are complete."""

    def _set_engines(self, **settings):
        for host in HOSTS:
            if host.kind == "engine":
                self._cluster.control(host.server_name, **settings)

    def _find_busy_host(self):
        for host in HOSTS:
            if host.kind == "engine":
                counts = self._cluster.read_control(host.server_name)
                for item in counts["generations"].values():
                    if item["outcome"] == "running" and item["tokens"]:
                        return host.name
        return ""


class HeldCall(WorkInProgress):
    """A call that its desk runs and does not answer until released."""

    new_call_operations = ("draft",)

    def __init__(self, deployed, operation):
        super().__init__(deployed)
        self._operation = operation
        self._desks = leaving.Desks(deployed)

    @property
    def sidecar(self):
        return "desk-a"

    def start(self):
        self._desks.hold([self.sidecar], self._operation)

    def release(self):
        self._desks.release(self.sidecar)

    def check(self):
        self._desks.check_held()


class WaitingCalls(HeldCall):
    """More calls than the desks have slots, so that some are queued at the sidecars."""

    def start(self):
        self._desks.fill_slots(16)

    def release(self):
        for host in deployments.DESKS:
            self._desks.release(host.name)


class StreamedDraft(WorkInProgress):
    """A draft that is streamed to its caller."""

    @property
    def sidecar(self):
        return self._find_busy_host()

    def start(self):
        self._set_engines(pause_after=8)
        body = {"prompt": "a draft", "prefix": "", "max_tokens": _DRAFT_TOKENS, "stream": True}
        self._deployed.start_call("draft", ENTRY, "long", "draft", body)
        support.wait_until(self._find_busy_host, "the draft is being generated")

    def release(self):
        self._set_engines(pause_after=0)

    def check(self):
        response = self._deployed.read_answer("draft")
        assert response is not None, "the stream was cut"
        lines = [json.loads(line) for line in response.body.splitlines()]
        assert lines[-1].get("outcome") == "done", lines[-1]
        text = "".join(line["text"] for line in lines[:-1])
        assert tokens.remove_marks(text) == tokens.make_text("a draft", 0, _DRAFT_TOKENS)


class HalfCollectedStep(WorkInProgress):
    """A trainer collecting a step whose long samples, half of them, are held."""

    def __init__(self, deployed, **flags):
        super().__init__(deployed)
        self._trainings = trainings.Trainings(deployed)
        self._flags = flags

    @property
    def sidecar(self):
        return self._find_busy_host() or "designs-a"

    def start(self):
        self._set_engines(pause_after=20)
        stragglers = {"straggler-every": 2, "straggler-tokens": 60}
        self._trainings.start("stop", _VERSION, **(stragglers | self._flags))
        support.wait_until(self._is_half_collected, "half of the step is delivered")

    def release(self):
        self._set_engines(pause_after=0)

    def check(self):
        summary = self._trainings.finish("stop")
        assert summary["samples"] == 8, summary

    def _is_half_collected(self):
        headers = self._deployed.deployed.write_headers("operator")
        report = support.call("GET", f"{self._cluster.url(ENTRY)}/v1/report", None, headers)
        counts = report.read_json()["counts"]
        return sum(counts[name] for name in counts if name.startswith("samples.delivered")) >= 4


class WaitingPull(HalfCollectedStep):
    """A trainer's pull that waits because no engine accepts work."""

    def start(self):
        self._set_engines(refuse=True)
        self._trainings.start("stop", _VERSION, **{"wait-ms": 20_000})
        support.wait_until(self._has_refused, "samples are refused")

    def release(self):
        self._set_engines(refuse=False)

    def _has_refused(self):
        return any(
            self._cluster.read_control(host.server_name, "generations=no")["refused"]
            for host in HOSTS
            if host.kind == "engine"
        )


class UnconfirmedClaim(WorkInProgress):
    """A claim that is in the log while the log's answer to its entry is held back."""

    def __init__(self, deployed):
        super().__init__(deployed)
        self._relay = deployed.relays[f"log-{ENTRY}"]

    @property
    def sidecar(self):
        return self._find_claimed()

    def start(self):
        self._relay.block(relay.TO_CLIENT)
        self._deployed.start_call("claimed", ENTRY, "long", "charge", {}, "claimed")
        support.wait_until(self._find_claimed, "the claim is in the log")

    def release(self):
        self._relay.heal()

    def check(self):
        outcome = deployments.read_outcome(self._deployed.read_answer("claimed"))
        assert outcome == "done", outcome
        assert self._deployed.count_runs("claimed") == 1

    def _find_claimed(self):
        for stream in self._cluster.read_control("log")["records"]:
            if stream.startswith("claims-"):
                for record in self._deployed.read_stream(stream):
                    if record["value"].get("key") == "claimed":
                        return record["value"]["sidecar"]
        return ""


class HungLog(WorkInProgress):
    """A stop without any work in progress, while the log hangs."""

    @property
    def sidecar(self):
        return "desk-a"

    def start(self):
        self._cluster.control("log", outage="hang")

    def release(self):
        pass

    def check(self):
        self._cluster.control("log", outage="")


WORK_TYPES = {
    "a charge runs": functools.partial(HeldCall, operation="charge"),
    "a look-up runs": functools.partial(HeldCall, operation="look-up"),
    "calls wait for a slot": functools.partial(WaitingCalls, operation="charge"),
    "a draft is streamed": StreamedDraft,
    "a pull waits": WaitingPull,
    "a step is half collected": HalfCollectedStep,
    "a claim is being appended": UnconfirmedClaim,
    "the log hangs": HungLog,
}


def request_stop(deployed, name):
    """Send SIGTERM to a process, and wait until it drains or has ended."""
    deployed.cluster.find(name).send(signal.SIGTERM)
    process = deployed.cluster.find(name)
    support.wait_until(
        lambda: "event=draining" in process.read_log() or process.code is not None,
        f"{name} has begun to stop",
    )
