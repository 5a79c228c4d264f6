"""Checks of the samples that a trainer receives: completeness, staleness, labels and text."""

import collections.abc
import dataclasses
import typing

from oleander_standins import tokens

_MAX_PROBLEMS = 50


@dataclasses.dataclass(slots=True, frozen=True)
class Group:
    """A group of samples of one prompt."""

    prompt: str
    prefix: str
    samples: int
    max_tokens: int


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of the samples received and the first fifty problems found."""

    samples: int = 0
    tokens: int = 0
    duplicates: int = 0
    stale: int = 0
    staleness_max: int = 0
    staleness_sum: int = 0
    problems: list[str] = dataclasses.field(default_factory=list)

    @property
    def staleness_mean(self) -> float:
        """Mean staleness of the samples, in versions."""
        return round(self.staleness_sum / self.samples, 3) if self.samples else 0.0

    def reject(self, problem: str) -> None:
        """Record a failed check."""
        if len(self.problems) < _MAX_PROBLEMS:
            self.problems.append(problem)

    def add(self, other: "Tally") -> None:
        """Add the counts and problems of another tally."""
        self.samples += other.samples
        self.tokens += other.tokens
        self.duplicates += other.duplicates
        self.stale += other.stale
        self.staleness_max = max(self.staleness_max, other.staleness_max)
        self.staleness_sum += other.staleness_sum
        for problem in other.problems:
            self.reject(problem)

    def describe(self) -> dict[str, typing.Any]:
        """Return the counts, without the problems."""
        return {
            "samples": self.samples,
            "staleness_max": self.staleness_max,
            "staleness_mean": self.staleness_mean,
            "duplicates": self.duplicates,
            "stale": self.stale,
            "tokens": self.tokens,
        }


class StepCheck:
    """Checks the samples of one step as they arrive and records which ones are held."""

    def __init__(
        self,
        step: int,
        groups: collections.abc.Sequence[Group],
        version: int,
        bound: int,
        checks_marks: bool = False,
        held: str = "",
    ) -> None:
        """
        Start a step in which the samples of a checkpoint are held already.

        `held` lists them as numbers and ranges such as 0-5,9. `bound` is the largest staleness
        allowed, in versions; `checks_marks` compares labels with the versions marked in the text.
        """
        self.tally = Tally()
        self._step = step
        self._version = version
        self._bound = bound
        self._checks_marks = checks_marks
        self._held = _read_held(held)
        self._groups = [index for index, group in enumerate(groups) for _ in range(group.samples)]
        self._prompts = [group.prompt for group in groups]
        self._lengths = [tokens.read_length(group.prompt, group.max_tokens) for group in groups]

    @property
    def is_complete(self) -> bool:
        """Whether every sample is held."""
        return len(self._held) == len(self._groups)

    def raise_version(self, version: int) -> None:
        """Measure the staleness of later samples against a newer version."""
        self._version = version

    def format_held(self) -> str:
        """Return the numbers of the samples held, as ranges such as 0-5,9."""
        ranges: list[list[int]] = []
        for number in sorted(self._held):
            if ranges and ranges[-1][1] == number - 1:
                ranges[-1][1] = number
            else:
                ranges.append([number, number])
        return ",".join(
            str(first) if first == last else f"{first}-{last}" for first, last in ranges
        )

    def take_answer(self, answer: dict[str, typing.Any]) -> None:
        """Check a complete answer to a pull and record its samples as held."""
        try:
            self._check_answer(answer)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            self._reject(f"malformed answer: {type(error).__name__} {error}")

    def _check_answer(self, answer: dict[str, typing.Any]) -> None:
        for name, expected in (("step", self._step), ("version", self._version)):
            if answer.get(name) != expected:
                self._reject(f"the answer has {name} {answer.get(name)!r}")
        for sample in answer["samples"]:
            self._check_sample(sample)
        if answer.get("complete") is not self.is_complete:
            self._reject(f"complete is {answer.get('complete')!r} with {len(self._held)} held")

    def _check_sample(self, sample: dict[str, typing.Any]) -> None:
        number = sample["number"]
        if not (type(number) is int and 0 <= number < len(self._groups)):
            self._reject(f"there is no sample {number!r}")
            return
        if number in self._held:
            self.tally.duplicates += 1
            self._reject(f"sample {number} came twice")
            return
        self._held.add(number)
        self.tally.samples += 1
        group = self._groups[number]
        if sample.get("group") != group:
            self._reject(f"sample {number} has group {sample.get('group')!r}")
        self._check_label(number, sample["label"])
        self._check_text(number, group, sample)

    def _check_label(self, number: int, label: list[dict[str, int]]) -> None:
        runs = [(run["version"], run["tokens"]) for run in label]
        if not runs or any(type(item) is not int for run in runs for item in run):
            self._reject(f"sample {number} has label {label!r}")
            return
        if any(made <= 0 for _, made in runs):
            self._reject(f"sample {number} has a run of no tokens: {label!r}")
        if any(version > self._version for version, _ in runs):
            self._reject(f"sample {number} names a version to come: {label!r}")
        staleness = self._version - min(version for version, _ in runs)
        self.tally.staleness_sum += staleness
        self.tally.staleness_max = max(self.tally.staleness_max, staleness)
        if staleness > self._bound:
            self.tally.stale += 1
            self._reject(f"sample {number} is {staleness} versions old: {label!r}")

    def _check_text(self, number: int, group: int, sample: dict[str, typing.Any]) -> None:
        made = sum(run["tokens"] for run in sample["label"])
        self.tally.tokens += made
        if made != self._lengths[group]:
            self._reject(f"sample {number} has {made} tokens, not {self._lengths[group]}")
        text = sample["text"]
        if self._checks_marks:
            self._check_marks(number, sample)
            text = tokens.remove_marks(text)
        expected = tokens.make_text(self._prompts[group], 0, self._lengths[group])
        if text != expected:
            self._reject(f"sample {number} {_describe_difference(text, expected)}")

    def _check_marks(self, number: int, sample: dict[str, typing.Any]) -> None:
        """Compare the label with the versions that the engines marked in the text."""
        marks = tokens.read_marks(sample["text"])
        label = [(run["version"], run["tokens"]) for run in sample["label"]]
        if marks != label:
            self._reject(f"sample {number} is labelled {label}, but was made by {marks}")

    def _reject(self, problem: str) -> None:
        self.tally.reject(f"step {self._step}: {problem}")


def _read_held(text: str) -> set[int]:
    """Parse a list of numbers and ranges such as 0-5,9."""
    held: set[int] = set()
    for part in filter(None, text.split(",")):
        first, _, last = part.partition("-")
        held.update(range(int(first), int(last or first) + 1))
    return held


def _describe_difference(text: str, expected: str) -> str:
    """
    Describe how a text differs from the expected one.

    Gives the position of the first wrong token, and where the text's tokens occur in the expected
    text; -1 stands for a token that does not occur in it.
    """
    found, wanted = text.split(), expected.split()
    pairs = enumerate(zip(found, wanted, strict=False))
    place = next((index for index, (one, other) in pairs if one != other), len(found))
    source = (
        wanted.index(found[place]) if found[place : place + 1] and found[place] in wanted else -1
    )
    order = [wanted.index(item) if item in wanted else -1 for item in found]
    return f"has another text from token {place} on, {source}: {order}"
