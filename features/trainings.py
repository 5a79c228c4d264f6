"""Trainers beside a small deployment, and what they found."""

import concurrent.futures

import support
from oleander_standins import trainer

CUSTOMER = "catania"
NAME = "designs"
_STEP_TIMEOUT_SECONDS = 60
_MAX_CONCURRENT = 4
_DEFAULT_FLAGS = {
    "groups": 2,
    "samples": 4,
    "max-tokens": 16,
    "staleness-bound": 2,
    "step-seconds": _STEP_TIMEOUT_SECONDS,
}


class Trainings:
    """One trainer, a run for each step, which names the version of the step as its policy."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._steps = 0
        self._pool = concurrent.futures.ThreadPoolExecutor(_MAX_CONCURRENT)
        self._running = {}

    def store_weights(self, version):
        """Put weights into the store, as a trainer does before it announces them."""
        url = f"{self._deployment.cluster.url('weights')}/weights/{NAME}/{version}"
        assert support.call("PUT", url, b"weights").status == 200

    def start(self, name, version, **flags):
        """Announce a version and take the next step with it."""
        self._steps += 1
        cluster = self._deployment.cluster
        token = self._deployment.deployed.write_headers(CUSTOMER)["Authorization"].split()[1]
        words = ["--customer", CUSTOMER, "--trainer", NAME, "--model", NAME, "--token", token]
        for entry in self._deployment.entries:
            words += ["--entry", cluster.url(entry)]
        words += ["--publish-weights", "--checks-marks"]
        words += ["--version-start", version, "--first-step", self._steps]
        for flag, value in (_DEFAULT_FLAGS | flags).items():
            words += [f"--{flag}", value]
        options = trainer.create_parser().parse_args([str(word) for word in words])
        self._running[name] = self._pool.submit(self._run, options)

    def finish(self, name):
        """Wait for a trainer's end; return its summary, which names no broken promise."""
        code, lines = self._running[name].result(_STEP_TIMEOUT_SECONDS)
        assert code == 0, f"trainer {name} ended with {code}: {lines}"
        return lines[-1]

    def is_finished(self, name):
        """Return whether a trainer has ended."""
        return self._running[name].done()

    def _run(self, options):
        lines = []
        code = trainer.Trainer(options, lines.append).run()
        return code, lines
