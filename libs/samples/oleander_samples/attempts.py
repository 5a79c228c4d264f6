"""The attempts that run now, by their names and by their samples."""

import collections.abc

from oleander_base import invariants
from oleander_samples import work

MAX_PER_SAMPLE = 2


class AttemptTable:
    """
    Attempts that run now; at most two for each sample of the step.

    One that was taken out is unknown from then on: whatever its engine still sends is dropped,
    so an answer that comes late can't become a second copy of a sample.
    """

    def __init__(self) -> None:
        self._by_work: dict[str, work.Attempt] = {}
        self._by_number: dict[int, list[work.Attempt]] = {}

    def __len__(self) -> int:
        """Return how many attempts run."""
        return len(self._by_work)

    def __iter__(self) -> collections.abc.Iterator[work.Attempt]:
        """Go through all attempts; they may be taken out meanwhile."""
        return iter(list(self._by_work.values()))

    @property
    def sample_count(self) -> int:
        """How many samples are being made."""
        return len(self._by_number)

    def find(self, work_id: str) -> work.Attempt | None:
        """Return an attempt that runs."""
        return self._by_work.get(work_id)

    def find_all(self, number: int) -> tuple[work.Attempt, ...]:
        """Return the attempts at one sample."""
        return tuple(self._by_number.get(number, ()))

    def list_single(self) -> list[work.Attempt]:
        """Return the attempts that run alone for their samples."""
        return [found[0] for found in self._by_number.values() if len(found) == 1]

    def add(self, attempt: work.Attempt) -> None:
        """Take in an attempt that starts."""
        same = self._by_number.setdefault(attempt.work.number, [])
        invariants.require(
            len(same) < MAX_PER_SAMPLE,
            "attempts-bounded",
            f"sample {attempt.work.number} has {len(same)} attempts",
        )
        same.append(attempt)
        self._by_work[attempt.work.work_id] = attempt

    def remove(self, work_id: str) -> work.Attempt | None:
        """Take out an attempt."""
        attempt = self._by_work.pop(work_id, None)
        if attempt is None:
            return None
        same = self._by_number[attempt.work.number]
        same.remove(attempt)
        if not same:
            del self._by_number[attempt.work.number]
        return attempt
