"""Data types for a training step, its samples and their weight-version labels."""

import dataclasses
import json

from oleander_base import identifiers, metrics


@dataclasses.dataclass(slots=True, frozen=True)
class Group:
    """A prompt from which several samples are generated."""

    prompt: str
    prefix: str
    """The key of the prompt's shared prefix in the engines' prefix caches; may be empty."""
    sample_count: int
    max_tokens: int
    """The maximum number of tokens of each sample."""
    expected_tokens: int = 0
    """The trainer's estimate of the number of tokens of a sample; 0 if it gave none."""


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """
    A step as its trainer registered it.

    Samples are numbered from 0 through all groups: sample `k` of a group has the number `k` plus
    the sample counts of all groups before it.
    """

    customer: str
    trainer: str
    step: int
    incarnation: int
    """A number that increases with each restart of the trainer."""
    version: int
    """The trainer's policy version when it registered the step."""
    groups: tuple[Group, ...]
    held: frozenset[int] | None = None
    """The numbers of the samples that the trainer already has; None if it did not state them."""

    @property
    def digest(self) -> str:
        """A digest of the groups, which detects a different registration of the same step."""
        content = [
            [item.prompt, item.prefix, item.sample_count, item.max_tokens] for item in self.groups
        ]
        return identifiers.digest_body(json.dumps(content).encode())

    @property
    def sample_count(self) -> int:
        """The number of samples in all groups."""
        return sum(item.sample_count for item in self.groups)


def count_samples(step: Step, metric: str, amount: int = 1) -> None:
    """Add to a metric and to the trainer's counter of the same kind, which the report shows."""
    kind = metric.rpartition(".")[2]
    metrics.count(metric, amount)
    metrics.count(f"customer.{step.customer}.trainer.{step.trainer}.{kind}", amount)


@dataclasses.dataclass(slots=True, frozen=True)
class LabelPart:
    """A run of consecutive tokens that were generated with one weight version."""

    version: int
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """A complete sample, labelled with the weight versions that generated it, in token order."""

    number: int
    group: int
    text: str
    label: tuple[LabelPart, ...]

    @property
    def oldest_version(self) -> int:
        """The oldest weight version in the label; it decides whether the sample is stale."""
        return find_oldest_version(self.label)


def find_oldest_version(label: tuple[LabelPart, ...]) -> int:
    """Return the oldest weight version of a label, which must not be empty."""
    return min(part.version for part in label)
