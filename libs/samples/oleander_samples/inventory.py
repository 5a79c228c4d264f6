"""The whole samples of a step: those that wait for the trainer and those that it has."""

from oleander_base import invariants
from oleander_samples import pulls, steps

MAX_ANSWER_CHARACTERS = 4 * 1024 * 1024
"""An answer that has reached this ends; it always has one sample, if there is one."""


class Inventory:
    """
    Whole samples by number; bounded by the samples of the step.

    A sample leaves only when the trainer says that it holds it, or when it is stale. An answer
    that was sent is no reason: it may have been lost.
    """

    def __init__(self, total: int) -> None:
        self._total = total
        self._held: frozenset[int] = frozenset()
        self._pending: dict[int, steps.Sample] = {}
        self._pending_characters = 0
        self._offered: set[int] = set()

    @property
    def held(self) -> frozenset[int]:
        """What the trainer said it has, last time."""
        return self._held

    @property
    def pending_characters(self) -> int:
        """The length of all texts that wait for the trainer."""
        return self._pending_characters

    @property
    def finished_count(self) -> int:
        """How many samples need no more work."""
        return len(self._held) + len(self._pending)

    def is_finished(self, number: int) -> bool:
        """Tell whether a sample needs no more work."""
        return number in self._held or number in self._pending

    def add(self, sample: steps.Sample) -> None:
        """Take in a whole sample that is not there yet."""
        invariants.require(
            not self.is_finished(sample.number),
            "sample-kept-once",
            f"sample {sample.number} is there already",
        )
        self._pending[sample.number] = sample
        self._pending_characters += len(sample.text)

    def update_held(self, numbers: frozenset[int]) -> tuple[frozenset[int], frozenset[int]]:
        """Take the trainer's word; return the numbers that are newly held, and held no more."""
        added = numbers - self._held
        gone = self._held - numbers
        self._held = numbers
        for number in added:
            self._remove_pending(number)
        return added, gone

    def drop_stale(self, oldest_version: int) -> list[int]:
        """Drop what is older than the bound now; return the numbers."""
        stale = [
            sample.number
            for sample in self._pending.values()
            if sample.oldest_version < oldest_version
        ]
        for number in stale:
            self._remove_pending(number)
        return stale

    def choose_pending(self, max_samples: int) -> tuple[steps.Sample, ...]:
        """Return samples for the trainer, those soonest stale first; they stay here."""
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
        """Remember what was sent; return how many of the samples were sent for the first time."""
        before = len(self._offered)
        self._offered.update(sample.number for sample in answer.samples)
        return len(self._offered) - before

    def clear(self) -> None:
        """Forget the texts."""
        self._pending.clear()
        self._pending_characters = 0

    def _remove_pending(self, number: int) -> None:
        sample = self._pending.pop(number, None)
        if sample is not None:
            self._pending_characters -= len(sample.text)
