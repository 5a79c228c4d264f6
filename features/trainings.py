"""Trainer processes beside a small deployment, and what they found."""

import json

from oleander_standins import trainer

CUSTOMER = "catania"
NAME = "designs"
_STEP_SECONDS = 60
_DEFAULTS = {
    "groups": 2,
    "samples": 4,
    "max-tokens": 16,
    "staleness-bound": 2,
    "step-seconds": _STEP_SECONDS,
}


class Trainings:
    """One trainer, a process for each step, which names the version of the step as its policy."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._steps = 0

    def start(self, name, version, **flags):
        """Announce a version and take the next step with it."""
        self._steps += 1
        cluster = self._deployment.cluster
        token = self._deployment.deployed.write_headers(CUSTOMER)["Authorization"].split()[1]
        words = ["--customer", CUSTOMER, "--trainer", NAME, "--model", NAME, "--token", token]
        for entry in self._deployment.entries:
            words += ["--entry", cluster.url(entry)]
        words += ["--publish-weights", "--weights-url", cluster.url("weights"), "--checks-marks"]
        words += ["--version-start", version, "--first-step", self._steps]
        for flag, value in (_DEFAULTS | flags).items():
            words += [f"--{flag}", value]
        cluster.start(f"trainer-{name}", trainer.__name__, *words, ready=False)

    def finish(self, name):
        """Wait for a trainer's end; return its summary, which names no broken promise."""
        process = self._deployment.cluster.find(f"trainer-{name}")
        code = process.wait_exit(_STEP_SECONDS)
        lines = process.wait_lines()
        assert code == 0, f"trainer {name} ended with {code}: {lines} {process.read_log()}"
        return json.loads(lines[-1])
