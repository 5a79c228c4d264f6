"""The queue of samples that wait to be started, and their order."""

import collections.abc
import heapq

from oleander_samples import predictions

_Rank = tuple[int, int, int]
"""The negated predicted length, the negated number of waiting samples and the group; the smallest
rank starts first."""


class Backlog:
    """
    The numbers of the samples that wait to be started; bounded by the samples of the step.

    Retries are started first: the text that they resume from becomes stale while they wait, and
    they delay the step. The other samples follow by predicted length, longest first, so that few
    long samples start late. Groups with the same prediction take turns, so that the samples of
    one group are spread over the engines.
    """

    def __init__(self, group_of: list[int], lengths: predictions.LengthModel) -> None:
        self._group_of = group_of
        self._lengths = lengths
        self._waiting = set(range(len(group_of)))
        self._retries: list[tuple[float, int]] = []
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
        heapq.heappush(self._retries, (ready_at, number))

    def remove(self, number: int) -> None:
        """Remove a sample; `pop` skips the entries that are left in the queues."""
        self._waiting.discard(number)

    def pop(self, now: float) -> int | None:
        """Remove and return the next sample to start, or return None if none is due."""
        number = self._pop_retry(now)
        if number is None:
            number = self._pop_unstarted()
        if number is not None:
            self._waiting.discard(number)
        return number

    def update_rank(self, group: int) -> None:
        """Update a group's rank after its prediction changed or one of its samples started."""
        waiting = self._unstarted[group]
        while waiting and waiting[-1] not in self._waiting:
            waiting.pop()
        if not waiting:
            self._ranks.pop(group, None)
            return
        rank = (-self._lengths.predict_unstarted(group), -len(waiting), group)
        if self._ranks.get(group) != rank:
            self._ranks[group] = rank
            heapq.heappush(self._group_heap, rank)

    def _pop_retry(self, now: float) -> int | None:
        """Return the retry that has been due for longest, skipping removed samples."""
        while self._retries and self._retries[0][0] <= now:
            _, number = heapq.heappop(self._retries)
            if number in self._waiting:
                return number
        return None

    def _pop_unstarted(self) -> int | None:
        """Return a sample of the group with the best rank, skipping outdated heap entries."""
        while self._group_heap:
            rank = heapq.heappop(self._group_heap)
            group = rank[-1]
            if self._ranks.get(group) != rank:
                continue
            del self._ranks[group]
            number = self._pop_member(group)
            if number is not None:
                return number
        return None

    def _pop_member(self, group: int) -> int | None:
        waiting = self._unstarted[group]
        while waiting:
            number = waiting.pop()
            if number in self._waiting:
                self.update_rank(group)
                return number
        return None
