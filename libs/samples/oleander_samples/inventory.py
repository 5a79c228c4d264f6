"""The finished samples of a step: those pending delivery and those that the trainer holds."""

from oleander_base import invariants
from oleander_samples import pulls, steps

MAX_ANSWER_CHARACTERS = 4 * 1024 * 1024
"""No sample is added to an answer whose texts have reached this length; an answer holds at least
one sample if any is pending."""


class Inventory:
    """
    Finished samples by number; bounded by the number of samples of the step.

    A sample is removed only when the trainer states that it holds it, or when it is stale. It is
    not removed after it was sent, because the answer may have been lost.
    """

    def __init__(self, total: int) -> None:
        self._total = total
        self._held: frozenset[int] = frozenset()
        self._pending: dict[int, steps.Sample] = {}
        self._pending_characters = 0
        self._offered: set[int] = set()

    @property
    def held(self) -> frozenset[int]:
        """The sample numbers that the trainer last said it holds."""
        return self._held

    @property
    def pending_characters(self) -> int:
        """The total length of the texts that the trainer does not hold yet."""
        return self._pending_characters

    @property
    def finished_count(self) -> int:
        """The number of samples that are held by the trainer or pending delivery."""
        return len(self._held) + len(self._pending)

    def is_finished(self, number: int) -> bool:
        """Return whether a sample is held by the trainer or pending delivery."""
        return number in self._held or number in self._pending

    def add(self, sample: steps.Sample) -> None:
        """Add a sample, which must be neither held by the trainer nor pending delivery."""
        invariants.require(
            not self.is_finished(sample.number),
            "sample-kept-once",
            f"sample {sample.number} is already finished",
        )
        self._pending[sample.number] = sample
        self._pending_characters += len(sample.text)

    def update_held(self, numbers: frozenset[int]) -> tuple[frozenset[int], frozenset[int]]:
        """
        Replace the set of samples that the trainer holds.

        Return the numbers that were added to the set and those that were removed from it.
        """
        added = numbers - self._held
        removed = self._held - numbers
        self._held = numbers
        for number in added:
            self._remove_pending(number)
        return added, removed

    def drop_stale(self, oldest_version: int) -> list[int]:
        """Remove pending samples with tokens older than a version; return their numbers."""
        stale = [
            sample.number
            for sample in self._pending.values()
            if sample.oldest_version < oldest_version
        ]
        for number in stale:
            self._remove_pending(number)
        return stale

    def choose_pending(self, max_samples: int) -> tuple[steps.Sample, ...]:
        """Return pending samples for an answer, oldest weights first, without removing them."""
        chosen = []
        characters = 0
        waiting = sorted(
            self._pending.values(), key=lambda item: (item.oldest_version, item.number)
        )
        for sample in waiting[:max_samples]:
            if characters >= MAX_ANSWER_CHARACTERS:
                break
            chosen.append(sample)
            characters += len(sample.text)
        return tuple(chosen)

    def record_offered(self, answer: pulls.PullAnswer) -> int:
        """Record the samples of an answer; return how many were not in an earlier answer."""
        before = len(self._offered)
        self._offered.update(sample.number for sample in answer.samples)
        return len(self._offered) - before

    def clear(self) -> None:
        """Remove all pending samples."""
        self._pending.clear()
        self._pending_characters = 0

    def _remove_pending(self, number: int) -> None:
        sample = self._pending.pop(number, None)
        if sample is not None:
            self._pending_characters -= len(sample.text)
