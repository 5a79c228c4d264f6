"""A training step and its samples."""

import dataclasses
import json

from oleander_base import identifiers, metrics


@dataclasses.dataclass(slots=True, frozen=True)
class Group:
    """Samples that are made from one prompt."""

    prompt: str
    prefix: str
    """Names the shared start of the prompt, for the engines' prefix caches; may be empty."""
    sample_count: int
    max_tokens: int
    """The most tokens of one sample."""
    expected_tokens: int = 0
    """How many it will have as its trainer guesses; 0 where it does not say."""


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """What a trainer registered; sample `k` of group `g` is number `samples before g + k`."""

    customer: str
    trainer: str
    step: int
    incarnation: int
    """Grows whenever the trainer starts anew."""
    version: int
    """The trainer's policy version when it registered the step."""
    groups: tuple[Group, ...]
    held: frozenset[int] | None = None
    """The numbers that the trainer said it has, or nothing where it did not say."""

    @property
    def digest(self) -> str:
        """A short digest of the groups; tells two bodies for the same step apart."""
        content = [
            [item.prompt, item.prefix, item.sample_count, item.max_tokens] for item in self.groups
        ]
        return identifiers.digest_body(json.dumps(content).encode())

    @property
    def sample_count(self) -> int:
        """How many samples the step has."""
        return sum(item.sample_count for item in self.groups)


def count_samples(step: Step, metric: str, amount: int = 1) -> None:
    """Count samples under a metric, and under the trainer for the report."""
    kind = metric.rpartition(".")[2]
    metrics.count(metric, amount)
    metrics.count(f"customer.{step.customer}.trainer.{step.trainer}.{kind}", amount)


@dataclasses.dataclass(slots=True, frozen=True)
class LabelPart:
    """Consecutive tokens that one weight version made."""

    version: int
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """A whole sample and the weight versions that made it, in order."""

    number: int
    group: int
    text: str
    label: tuple[LabelPart, ...]

    @property
    def oldest_version(self) -> int:
        """The version that decides whether the sample is stale."""
        return find_oldest_version(self.label)


def find_oldest_version(label: tuple[LabelPart, ...]) -> int:
    """Return the oldest version of a label, which must not be empty."""
    return min(part.version for part in label)
