"""Trainers that run during a load, for the product and for the baseline."""

import concurrent.futures
import dataclasses
import http.client
import json
import threading
import time

import sites
from oleander_standins import client, processes

_GROUPS = 4
_SAMPLES = 6
_MAX_TOKENS = 48
_TRAIN_MS = 300
_MAX_STEPS = 500
_SAMPLE_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class TrainerFigures:
    """The steps and samples that a trainer received."""

    steps: int = 0
    samples: int = 0
    staleness_sum: float = 0.0
    staleness_max: int = 0

    def describe(self, seconds: float) -> dict[str, float]:
        """Return the idle percentage, the samples per second and their staleness."""
        busy = min(1.0, self.steps * _TRAIN_MS / 1000 / seconds)
        mean = self.staleness_sum / self.samples if self.samples else 0.0
        return {
            "trainer_idle_percent": round(100 * (1 - busy), 1),
            "samples_per_second": round(self.samples / seconds, 1),
            "staleness_mean": round(mean, 3),
            "staleness_max": self.staleness_max,
        }


class OurTrainer:
    """Runs the trainer stand-in, which pulls from the entries and checks every sample."""

    def __init__(self, site: sites.Site, extra_flags: tuple[str, ...], number: int) -> None:
        self._site = site
        plan = site.plan
        self._first = site.take_versions(_MAX_STEPS)
        flags = ["--customer", plan.customer, "--token", f"token-of-{plan.customer}"]
        flags += ["--trainer", plan.engine_group, "--model", plan.engine_group]
        for url in site.entry_urls:
            flags += ["--entry", url]
        numbers = {
            "steps": _MAX_STEPS,
            "first-step": self._first,
            "groups": _GROUPS,
            "samples": _SAMPLES,
            "max-tokens": _MAX_TOKENS,
            "train-ms": _TRAIN_MS,
            "version-start": self._first,
            "incarnation": number,
            "staleness-bound": 4,
        }
        for name, value in numbers.items():
            flags += [f"--{name}", str(value)]
        flags += ["--publish-weights", "--weights-url", site.cluster.url("weights")]
        self._process = site.cluster.start(
            "trainer", "oleander_standins.trainer", *flags, *extra_flags, ready=False
        )

    def stop(self) -> TrainerFigures:
        """Kill the trainer, delete its steps and return the figures of its complete steps."""
        self._site.cluster.kill("trainer")
        figures = TrainerFigures()
        for line in self._process.wait_lines():
            step = json.loads(line)
            assert not step.get("problems"), line
            figures.steps += 1
            figures.samples += step["samples"]
            figures.staleness_sum += step["staleness_mean"] * step["samples"]
            figures.staleness_max = max(figures.staleness_max, step["staleness_max"])
        plan = self._site.plan
        for url in self._site.entry_urls:
            for step_number in range(self._first, self._first + figures.steps + 1):
                path = f"/v1/customers/{plan.customer}/trainers/{plan.engine_group}/steps/"
                headers = self._site.deployed.write_headers(plan.customer)
                processes.call("DELETE", f"{url}{path}{step_number}", None, headers)
        return figures


class BaselineTrainer:
    """Requests all samples of a step at once through the proxy and waits for the slowest."""

    def __init__(self, site: sites.Site, straggler_every: int, straggler_tokens: int) -> None:
        self._site = site
        self._every = straggler_every
        self._longest = straggler_tokens
        self._first = site.take_versions(_MAX_STEPS)
        self._figures = TrainerFigures()
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> TrainerFigures:
        """Stop after the step in progress, which is not counted."""
        counted = dataclasses.replace(self._figures)
        self._ended.set()
        self._thread.join(_SAMPLE_TIMEOUT_SECONDS)
        return counted

    def _run(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(_GROUPS * _SAMPLES) as pool:
            for step in range(_MAX_STEPS):
                version = self._first + step
                self._announce(version, pool)
                numbers = [(step, group, k) for group in range(_GROUPS) for k in range(_SAMPLES)]
                oldest = list(pool.map(self._make_sample, numbers))
                if self._ended.is_set():
                    return
                behind = [max(0, version - item) for item in oldest]
                self._figures.steps += 1
                self._figures.samples += len(behind)
                self._figures.staleness_sum += sum(behind)
                self._figures.staleness_max = max(self._figures.staleness_max, *behind)
                self._ended.wait(_TRAIN_MS / 1000)

    def _announce(self, version: int, pool: concurrent.futures.ThreadPoolExecutor) -> None:
        """Order all engines to load a version at the same time, and wait for their answers."""
        model = self._site.plan.engine_group
        store = f"{self._site.cluster.url('weights')}/weights/{model}/{version}"
        client.call("PUT", store, b"weights", {}, 5.0)
        order = json.dumps({"model": model, "version": version, "fencing": version}).encode()
        urls = [self._site.cluster.url(host.server_name) for host in self._site.engines]
        list(pool.map(lambda url: self._load(f"{url}/v1/load", order), urls))

    def _load(self, url: str, order: bytes) -> None:
        try:
            client.call("POST", url, order, {}, _SAMPLE_TIMEOUT_SECONDS)
        except (OSError, http.client.HTTPException):
            return

    def _make_sample(self, number: tuple[int, int, int]) -> int:
        """Request a sample until it succeeds; return the oldest version that generated it."""
        step, group, index = number
        is_long = self._every and (step * _GROUPS + group + 1) % self._every == 0
        tokens = self._longest if is_long else _MAX_TOKENS
        name = f"base step {self._first + step} group {group}"
        prompt = f"{name} length={tokens}" if is_long else name
        body = {"prompt": prompt, "prefix": name, "max_tokens": tokens}
        url = f"{self._site.cluster.url('baseline')}/v1/customers/any/operations/sample"
        while not self._ended.is_set():
            headers = {"Trace-Id": f"{name} {index} {time.monotonic_ns()}"}
            try:
                content = json.dumps(body).encode()
                answer = client.call("POST", url, content, headers, _SAMPLE_TIMEOUT_SECONDS)
            except (OSError, http.client.HTTPException):
                continue
            if answer.status == 200:
                return int(answer.read_json()["label"][0]["version"])
        return self._first + step
