"""The whole samples of a step: those that wait for the trainer and those that it has."""

from oleander_base import invariants
from oleander_samples import pulls, steps

MOST_ANSWER_CHARACTERS = 4 * 1024 * 1024
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
        self._kept: dict[int, steps.Sample] = {}
        self._kept_characters = 0
        self._offered: set[int] = set()

    @property
    def held(self) -> frozenset[int]:
        """What the trainer said it has, last time."""
        return self._held

    @property
    def kept_characters(self) -> int:
        """The length of all texts that wait for the trainer."""
        return self._kept_characters

    @property
    def whole(self) -> int:
        """How many samples need no more work."""
        return len(self._held) + len(self._kept)

    def has(self, number: int) -> bool:
        """Tell whether a sample needs no more work."""
        return number in self._held or number in self._kept

    def keep(self, sample: steps.Sample) -> None:
        """Take in a whole sample that is not there yet."""
        invariants.require(
            not self.has(sample.number),
            "sample-kept-once",
            f"sample {sample.number} is there already",
        )
        self._kept[sample.number] = sample
        self._kept_characters += len(sample.text)

    def set_held(self, numbers: frozenset[int]) -> tuple[frozenset[int], frozenset[int]]:
        """Take the trainer's word; return the numbers that are newly held, and held no more."""
        added = numbers - self._held
        gone = self._held - numbers
        self._held = numbers
        for number in added:
            self._drop(number)
        return added, gone

    def drop_stale(self, oldest_version: int) -> list[int]:
        """Drop what is older than the bound now; return the numbers."""
        stale = [
            sample.number
            for sample in self._kept.values()
            if sample.oldest_version < oldest_version
        ]
        for number in stale:
            self._drop(number)
        return stale

    def choose(self, most: int) -> tuple[steps.Sample, ...]:
        """Return samples for the trainer, those soonest stale first; they stay here."""
        chosen = []
        characters = 0
        waiting = sorted(self._kept.values(), key=lambda item: (item.oldest_version, item.number))
        for sample in waiting[:most]:
            if characters >= MOST_ANSWER_CHARACTERS:
                break
            chosen.append(sample)
            characters += len(sample.text)
        return tuple(chosen)

    def note_offered(self, answer: pulls.PullAnswer) -> int:
        """Remember what was sent; return how many of the samples were sent for the first time."""
        before = len(self._offered)
        self._offered.update(sample.number for sample in answer.samples)
        return len(self._offered) - before

    def clear(self) -> None:
        """Forget the texts."""
        self._kept.clear()
        self._kept_characters = 0

    def _drop(self, number: int) -> None:
        sample = self._kept.pop(number, None)
        if sample is not None:
            self._kept_characters -= len(sample.text)
