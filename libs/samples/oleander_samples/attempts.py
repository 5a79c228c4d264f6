"""Table of the running attempts, indexed by work ID and by sample number."""

import collections.abc

from oleander_base import invariants
from oleander_samples import work

MAX_PER_SAMPLE = 2
"""Maximum number of attempts at one sample: the original and its hedge."""


class AttemptTable:
    """
    The running attempts, at most `MAX_PER_SAMPLE` for each sample of the step.

    Once an attempt is removed, its work ID is unknown and later output of its engine is ignored,
    so that a late answer can't become a second copy of a sample.
    """

    def __init__(self) -> None:
        self._by_work: dict[str, work.Attempt] = {}
        self._by_number: dict[int, list[work.Attempt]] = {}

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._by_work)

    def __iter__(self) -> collections.abc.Iterator[work.Attempt]:
        """Iterate over a snapshot of the attempts; removing some meanwhile is safe."""
        return iter(list(self._by_work.values()))

    @property
    def sample_count(self) -> int:
        """The number of samples with at least one running attempt."""
        return len(self._by_number)

    def find(self, work_id: str) -> work.Attempt | None:
        """Return a running attempt, or None if it was removed or never added."""
        return self._by_work.get(work_id)

    def find_all(self, number: int) -> tuple[work.Attempt, ...]:
        """Return the running attempts at a sample."""
        return tuple(self._by_number.get(number, ()))

    def list_single(self) -> list[work.Attempt]:
        """Return each attempt that is the only running one at its sample."""
        return [found[0] for found in self._by_number.values() if len(found) == 1]

    def add(self, attempt: work.Attempt) -> None:
        """Add an attempt that starts now."""
        same = self._by_number.setdefault(attempt.work.number, [])
        invariants.require(
            len(same) < MAX_PER_SAMPLE,
            "attempts-bounded",
            f"sample {attempt.work.number} has {len(same)} attempts",
        )
        same.append(attempt)
        self._by_work[attempt.work.work_id] = attempt

    def remove(self, work_id: str) -> work.Attempt | None:
        """Remove and return an attempt, or return None if it is not running."""
        attempt = self._by_work.pop(work_id, None)
        if attempt is None:
            return None
        same = self._by_number[attempt.work.number]
        same.remove(attempt)
        if not same:
            del self._by_number[attempt.work.number]
        return attempt
