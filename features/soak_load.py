"""Load for the soak: callers, a trainer and a configuration reader, with all answers recorded."""

import collections
import dataclasses
import hashlib
import http.client
import json
import random
import threading
import time

import support
from oleander_standins import trainer

_MAX_ATTEMPTS = 8
"""Maximum number of calls with one key before its caller gives up."""
_CALL_TIMEOUT_MS = 3000
_MAX_PAUSE_SECONDS = 1.0
_BOOKING_OPERATION = ("catania", "booking")
"""Customer and operation of all calls."""


@dataclasses.dataclass(slots=True)
class KeyHistory:
    """The answers to all calls with one key, in order, each an outcome with its body or reason."""

    key: str
    body: bytes
    answers: list

    @property
    def last_outcome(self):
        return self.answers[-1][0] if self.answers else "none"


class BookingCallers:
    """Threads that call the booking operation, each key until it is done or out of attempts."""

    def __init__(self, deployed, seed, callers):
        self.histories = []
        self.problems = []
        self._deployed = deployed
        self._seed = seed
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(callers)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join(60)

    def _run(self, caller):
        source = random.Random(f"{self._seed}-{caller}")
        number = 0
        while not self._stopping.is_set():
            number += 1
            key = self._choose_key(source) or f"{self._seed}-{caller}-{number}"
            history = KeyHistory(key, json.dumps({"key": key}).encode(), [])
            with self._lock:
                self.histories.append(history)
            self._call_until_done(history, source)
            time.sleep(source.uniform(0, 0.05))

    def _choose_key(self, source):
        """Return a key issued by an entry in half of the cases, else (or on an error) None."""
        if source.random() < 0.5:
            return None
        try:
            return self._deployed.issue_key(
                source.choice(self._deployed.entries), *_BOOKING_OPERATION
            )
        except (OSError, http.client.HTTPException, KeyError, AssertionError):
            return None

    def _call_until_done(self, history, source):
        for _ in range(_MAX_ATTEMPTS):
            outcome, pause = self._send_attempt(history, source)
            if outcome == "done":
                return
            time.sleep(pause)

    def _send_attempt(self, history, source):
        """Call a random entry; return the outcome and the seconds to wait before a retry."""
        entry = source.choice(self._deployed.entries)
        try:
            response = self._deployed.call(
                entry, *_BOOKING_OPERATION, history.body, history.key, _CALL_TIMEOUT_MS, 10.0
            )
        except (OSError, http.client.HTTPException, KeyError):
            history.answers.append(("cut", ""))
            return "cut", 0.1
        content = self._parse_body(history, response)
        if response.status == 200:
            self._check_done_answer(history, response)
            return "done", 0
        outcome = content.get("outcome", "none")
        history.answers.append((outcome, content.get("reason", "")))
        return outcome, min(_MAX_PAUSE_SECONDS, content.get("retry_after_ms", 100) / 1000)

    def _parse_body(self, history, response):
        try:
            return json.loads(response.body)
        except ValueError:
            self.problems.append(f"{history.key}: the answer is not JSON: {response.body[:100]}")
            return {}

    def _check_done_answer(self, history, response):
        """Check that the answer is for this key and body and equals earlier ones for the key."""
        content = self._parse_body(history, response)
        digest = hashlib.sha256(history.body).hexdigest()
        if content.get("key") != history.key or content.get("digest") != digest:
            self.problems.append(f"{history.key} got the answer to another request: {content}")
        earlier = [detail for outcome, detail in history.answers if outcome == "done"]
        if earlier and earlier[0] != response.body:
            self.problems.append(f"{history.key} got two different answers")
        history.answers.append(("done", response.body))

    def check_runs(self, runs):
        """Return violations, given how often the services ran each key.

        No key runs twice, a key that is reported done has run, and one that was only ever reported
        as not-run has not.
        """
        problems = list(self.problems)
        for history in self.histories:
            count = runs.get(history.key, 0)
            outcomes = [outcome for outcome, _ in history.answers]
            if count > 1:
                problems.append(f"{history.key} ran {count} times: {history.answers}")
            if "done" in outcomes and count != 1:
                problems.append(f"{history.key} is done but ran {count} times")
            if outcomes and set(outcomes) == {"not-run"} and count:
                problems.append(
                    f"{history.key} was only reported as not-run, but ran: {history.answers}"
                )
        return problems

    def count_outcomes(self):
        return collections.Counter(history.last_outcome for history in self.histories)


class RestartedTrainer:
    """A trainer process that is started again, with the next incarnation, each time it ends."""

    def __init__(self, deployed, name, staleness_bound, seed):
        self.problems = []
        self.samples = 0
        self.runs = 0
        self._deployed = deployed
        self._name = name
        self._staleness_bound = staleness_bound
        self._seed = seed
        self._version = 2
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stopping.set()
        self._thread.join(90)

    def _run(self):
        while not self._stopping.is_set():
            self.runs += 1
            process = self._start_trainer()
            try:
                code = process.wait_exit(120)
            except Exception as error:
                self.problems.append(f"trainer {self.runs}: {error}")
                return
            lines = [process.lines.get_nowait() for _ in range(process.lines.qsize())]
            self._check_run(code, lines)

    def _start_trainer(self):
        cluster = self._deployed.cluster
        flags = ["--customer", "catania", "--trainer", self._name, "--model", self._name]
        for entry in self._deployed.entries:
            flags += ["--entry", cluster.url(f"{entry}-front")]
        token = self._deployed.write_headers("catania")["Authorization"].split()[1]
        flags += ["--token", token, "--weights-url", cluster.url("weights"), "--publish-weights"]
        flags += ["--staleness-bound", self._staleness_bound, "--version-start", self._version]
        flags += ["--steps", 2, "--first-step", self.runs * 10, "--incarnation", self.runs]
        flags += ["--groups", 3, "--samples", 4, "--max-tokens", 40, "--checks-marks"]
        flags += ["--straggler-every", 5, "--straggler-tokens", 120, "--step-seconds", 90]
        self._version += 2
        return cluster.start("trainer", trainer.__name__, *flags, ready=False)

    def _check_run(self, code, lines):
        """Check the exit code and summary of a run; a step may be late, owing to faults."""
        for line in lines:
            content = json.loads(line)
            if content.get("summary"):
                self.samples += content["samples"]
                late = [item for item in content["problems"] if item.startswith("LateError")]
                broken = [item for item in content["problems"] if item not in late]
                self.problems += [f"trainer {self.runs}: {item}" for item in broken]
        has_summary = any(json.loads(line).get("summary") for line in lines)
        if code not in (0, 1, trainer.EXIT_SUPERSEDED) or not has_summary:
            self.problems.append(f"trainer {self.runs} exited with code {code}: {lines}")


class OffsetWatcher:
    """Read the applied configuration offset of each entry process, which must never decrease.

    A restarted entry has a new address and begins anew.
    """

    def __init__(self, deployed):
        self.problems = []
        self.reads = 0
        self._deployed = deployed
        self._highest_offsets = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stopping.set()
        self._thread.join(30)

    def _run(self):
        while not self._stopping.wait(0.1):
            for entry in self._deployed.entries:
                self._read_offset(entry)

    def _read_offset(self, entry):
        try:
            address = self._deployed.cluster.address(entry)
            headers = self._deployed.write_headers("operator")
            url = f"http://{address}/v1/configuration"
            content = support.call("GET", url, None, headers, 1.0).read_json()
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            return
        self.reads += 1
        newest = self._highest_offsets.get(address, -1)
        if content["applied_offset"] < newest:
            self.problems.append(
                f"{entry}: the applied offset decreased from {newest} to {content}"
            )
        self._highest_offsets[address] = max(newest, content["applied_offset"])
