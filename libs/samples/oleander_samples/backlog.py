"""The queue of samples that wait to be started, and their order."""

import collections.abc
import heapq

from oleander_samples import predictions

_Rank = tuple[bool, int, int, int]
"""Whether the group is deferred, the negated predicted length, the negated number of waiting
samples and the group; the smallest rank starts first."""


class Backlog:
    """
    The numbers of the samples that wait to be started; bounded by the samples of the step.

    Retries are started first: the text that they resume from becomes stale while they wait, and
    they delay the step. The other samples follow by predicted length, longest first, so that few
    long samples start late. Groups with the same prediction take turns, so that the samples of
    one group are spread over the engines. Deferred groups come after all others.
    """

    def __init__(self, group_of: list[int], lengths: predictions.LengthModel) -> None:
        self._group_of = group_of
        self._lengths = lengths
        self._waiting = set(range(len(group_of)))
        self._retries: dict[int, float] = {}
        """When each sample that was started before is due again."""
        self._deferred: frozenset[int] = frozenset()
        self._unstarted: dict[int, list[int]] = {}
        for number in reversed(range(len(group_of))):
            self._unstarted.setdefault(group_of[number], []).append(number)
        self._ranks: dict[int, _Rank] = {}
        self._group_heap: list[_Rank] = []
        for group in self._unstarted:
            self.update_rank(group)

    def __len__(self) -> int:
        """Return how many samples wait, including retries that are not due yet."""
        return len(self._waiting)

    def __contains__(self, number: int) -> bool:
        """Return whether a sample waits to be started."""
        return number in self._waiting

    def __iter__(self) -> collections.abc.Iterator[int]:
        """Iterate over the numbers of the waiting samples, in no particular order."""
        return iter(self._waiting)

    def add_retry(self, number: int, ready_at: float) -> None:
        """Queue a sample that was started before; it is due at `ready_at`."""
        self._waiting.add(number)
        self._retries[number] = min(ready_at, self._retries.get(number, ready_at))

    def remove(self, number: int) -> None:
        """Remove a sample; the entries that are left in the queues are skipped."""
        self._waiting.discard(number)
        self._retries.pop(number, None)

    def peek(self, now: float) -> int | None:
        """Return the next sample to start, or None if none is due."""
        retry = self._find_retry(now)
        unstarted = self._find_unstarted()
        if retry is None or unstarted is None:
            return unstarted if retry is None else retry
        return unstarted if self._is_deferred(retry) > self._is_deferred(unstarted) else retry

    def pop(self, now: float) -> int | None:
        """Remove and return the next sample to start, or return None if none is due."""
        number = self.peek(now)
        if number is None:
            return None
        self._waiting.discard(number)
        if self._retries.pop(number, None) is None:
            self.update_rank(self._group_of[number])
        return number

    def set_deferred(self, groups: frozenset[int]) -> None:
        """Set the groups that start after all others."""
        changed = self._deferred ^ groups
        self._deferred = groups
        for group in changed:
            self.update_rank(group)

    def update_rank(self, group: int) -> None:
        """Update a group's rank after its prediction changed or one of its samples started."""
        waiting = self._unstarted[group]
        while waiting and waiting[-1] not in self._waiting:
            waiting.pop()
        if not waiting:
            self._ranks.pop(group, None)
            return
        predicted = self._lengths.predict_unstarted(group)
        rank = (group in self._deferred, -predicted, -len(waiting), group)
        if self._ranks.get(group) != rank:
            self._ranks[group] = rank
            heapq.heappush(self._group_heap, rank)

    def _is_deferred(self, number: int) -> bool:
        return self._group_of[number] in self._deferred

    def _find_retry(self, now: float) -> int | None:
        """Return the retry that has been due for longest, deferred ones last."""
        due = [number for number, ready_at in self._retries.items() if ready_at <= now]
        return min(
            due,
            key=lambda number: (self._is_deferred(number), self._retries[number], number),
            default=None,
        )

    def _find_unstarted(self) -> int | None:
        """Return a sample of the group with the best rank, skipping outdated heap entries."""
        while self._group_heap:
            rank = self._group_heap[0]
            group = rank[-1]
            waiting = self._unstarted[group]
            if self._ranks.get(group) == rank and waiting and waiting[-1] in self._waiting:
                return waiting[-1]
            heapq.heappop(self._group_heap)
            if self._ranks.get(group) == rank:
                del self._ranks[group]
                self.update_rank(group)
        return None
