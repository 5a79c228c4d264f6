"""
A stand-in for a trainer that checks every sample it receives.

Prints a JSON line for each step and a summary as the last one. Exits with 1 if a check failed and
with 3 if a later run of the same trainer has superseded this one.
"""

import argparse
import collections.abc
import dataclasses
import json
import sys
import time
import typing

from oleander_standins import trainer_checks, trainer_client

EXIT_BROKEN_PROMISE = 1
EXIT_SUPERSEDED = 3
_WEIGHTS = b"weights"


class Trainer:
    """Runs training steps one after the other and passes their results to `write`."""

    def __init__(
        self,
        options: argparse.Namespace,
        write: collections.abc.Callable[[dict[str, typing.Any]], None],
    ) -> None:
        names = trainer_client.Names(
            options.customer, options.trainer, options.model, options.token
        )
        self._options = options
        self._write = write
        self._client = trainer_client.TrainerClient(
            options.entry, names, options.call_ms / 1000, options.pulls_where_put
        )
        self._total = trainer_checks.Tally()
        self._idle_ms = 0
        self._steps = 0
        self._version = options.version_start
        self._raises_left = options.raises

    def run(self) -> int:
        """Run all steps; return the exit code."""
        try:
            for index in range(self._options.steps):
                if self._options.publish_weights:
                    self._version = self._options.version_start + index
                    self._publish()
                self._take_step(self._options.first_step + index)
                time.sleep(self._options.train_ms / 1000)
        except trainer_client.SupersededError:
            self._write_summary(superseded=True)
            return EXIT_SUPERSEDED
        except (trainer_client.RefusedError, trainer_client.LateError) as error:
            self._total.reject(f"{type(error).__name__}: {error}")
        self._write_summary(superseded=False)
        return EXIT_BROKEN_PROMISE if self._total.problems else 0

    def _publish(self) -> None:
        store = self._options.weights_url
        url = f"{store}/weights/{self._options.model}/{self._version}"
        if store:
            self._client.store_weights(url, _WEIGHTS, self._compute_deadline())
        self._client.put_version(self._version, url, self._compute_deadline())

    def _take_step(self, step: int) -> None:
        groups = [self._create_group(step, index) for index in range(self._options.groups)]
        bound = self._options.staleness_bound
        held = self._options.held if step == self._options.first_step else ""
        check = trainer_checks.StepCheck(
            step, groups, self._version, bound, self._options.checks_marks, held
        )
        started = time.monotonic()
        try:
            self._pull_all(step, groups, check)
        finally:
            idle_ms = int((time.monotonic() - started) * 1000)
            self._idle_ms += idle_ms
            self._total.add(check.tally)
            self._write({"step": step, "idle_ms": idle_ms} | check.tally.describe())
        self._steps += 1

    def _create_group(self, step: int, index: int) -> trainer_checks.Group:
        name = f"{self._options.trainer} step {step} group {index}"
        every = self._options.straggler_every
        number = (step - self._options.first_step) * self._options.groups + index + 1
        most = self._options.max_tokens
        if every and number % every == 0:
            longest = self._options.straggler_tokens
            prompt = f"{name} length={longest}"
            return trainer_checks.Group(prompt, name, self._options.samples, max(most, longest))
        return trainer_checks.Group(name, name, self._options.samples, most)

    def _pull_all(
        self, step: int, groups: list[trainer_checks.Group], check: trainer_checks.StepCheck
    ) -> None:
        give_up_at = self._compute_deadline()
        collector = self._put_step(step, groups, check, give_up_at)
        while not check.is_complete:
            if time.monotonic() >= give_up_at:
                raise trainer_client.LateError(f"step {step} was not complete before its deadline")
            pulled = self._client.pull(collector, step, self._create_pull(check))
            if pulled.answer is not None:
                check.take_answer(pulled.answer)
                self._print_progress({"held": check.format_held()})
                self._raise_version(check)
            if pulled.put_again:
                collector = self._put_step(step, groups, check, give_up_at)

    def _put_step(
        self,
        step: int,
        groups: list[trainer_checks.Group],
        check: trainer_checks.StepCheck,
        give_up_at: float,
    ) -> str:
        body: dict[str, typing.Any] = {
            "incarnation": self._options.incarnation,
            "version": self._version,
            "groups": [dataclasses.asdict(group) for group in groups],
        }
        if self._options.states_held:
            body["held"] = check.format_held()
        collector = self._client.put_step(step, body, give_up_at)
        self._print_progress({"put": step, "entry": self._client.entry})
        return collector

    def _raise_version(self, check: trainer_checks.StepCheck) -> None:
        """Publish the versions of `--raises` during a step; do nothing until a sample is held."""
        if not check.format_held():
            return
        while self._raises_left > 0:
            self._raises_left -= 1
            self._version += 1
            self._publish()
            check.raise_version(self._version)

    def _print_progress(self, content: dict[str, typing.Any]) -> None:
        if self._options.print_pulls:
            _print_line(content)

    def _create_pull(self, check: trainer_checks.StepCheck) -> dict[str, typing.Any]:
        return {
            "incarnation": self._options.incarnation,
            "version": self._version,
            "held": check.format_held(),
            "wait_ms": self._options.wait_ms,
            "most": self._options.most,
        }

    def _compute_deadline(self) -> float:
        return time.monotonic() + float(self._options.step_seconds)

    def _write_summary(self, superseded: bool) -> None:
        self._write(
            {"summary": True, "steps": self._steps, "idle_ms": self._idle_ms}
            | self._total.describe()
            | {
                "lost_answers": self._client.lost_answers,
                "unknown_steps": self._client.unknown_steps,
                "superseded": superseded,
                "problems": self._total.problems,
            }
        )


def _print_line(content: dict[str, typing.Any]) -> None:
    print(json.dumps(content), flush=True)


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entry", action="append", required=True, help="URL; may be repeated")
    for name in ("customer", "trainer", "model", "token"):
        parser.add_argument(f"--{name}", required=True)
    numbers = {
        "steps": 1,
        "first-step": 1,
        "groups": 4,
        "samples": 8,
        "max-tokens": 64,
        "version-start": 1,
        "incarnation": 1,
        "train-ms": 0,
        "staleness-bound": 1,
        "straggler-every": 0,
        "straggler-tokens": 512,
        "wait-ms": 1000,
        "most": 64,
        "step-seconds": 60,
        "call-ms": 3000,
        "raises": 0,
    }
    for name, default in numbers.items():
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument(
        "--publish-weights", action="store_true", help="publish a new version before each step"
    )
    parser.add_argument(
        "--checks-marks",
        action="store_true",
        help="compare labels with the versions that engines mark in the text",
    )
    parser.add_argument(
        "--print-pulls", action="store_true", help="print a line for each registration and pull"
    )
    parser.add_argument(
        "--pulls-where-put", action="store_true", help="pull from the entry that took the step"
    )
    parser.add_argument(
        "--states-held", action="store_true", help="state the samples held in registrations"
    )
    parser.add_argument(
        "--held", default="", help="samples of the first step already held, such as 0-5,9"
    )
    parser.add_argument(
        "--weights-url", default="", help="URL of the weight store for published weights"
    )
    return parser


def main() -> None:
    """Run the trainer stand-in."""
    sys.exit(Trainer(create_parser().parse_args(), _print_line).run())


if __name__ == "__main__":
    main()
