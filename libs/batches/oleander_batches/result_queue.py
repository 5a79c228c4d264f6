"""Results that wait to be written to the log, and the choice of those to write next."""

import collections
import dataclasses

from oleander_batches import submission


@dataclasses.dataclass(slots=True, frozen=True)
class WaitingResult:
    """A final result of an item that the log has not accepted yet."""

    batch_id: str
    number: int
    """Index of the item in the submission, from 0."""
    result: submission.ItemResult
    size: int
    """The size of the encoded result in bytes."""


class ResultQueue:
    """
    Chooses which results to write next; not thread-safe.

    Each choice has results of one batch only, in the order in which they were added, up to a
    number and a size. A batch whose results could not be written goes behind the others, so that
    no batch blocks another.
    """

    def __init__(self) -> None:
        self._waiting: collections.OrderedDict[str, collections.deque[WaitingResult]] = (
            collections.OrderedDict()
        )
        self._taken: list[WaitingResult] = []
        self._count = 0
        self._size = 0

    @property
    def count(self) -> int:
        """The number of results that wait, without those taken."""
        return self._count

    @property
    def size(self) -> int:
        """The size of the results that wait, without those taken, in bytes."""
        return self._size

    @property
    def is_idle(self) -> bool:
        """Whether no result waits, and none is taken."""
        return not self._count and not self._taken

    def add(self, batch_id: str, number: int, result: submission.ItemResult) -> None:
        """Add a result behind those of its batch."""
        size = len(submission.encode_result(result))
        self._insert(WaitingResult(batch_id, number, result, size))

    def list_numbers(self, batch_id: str) -> set[int]:
        """Return the numbers of the items of a batch whose results wait or are taken."""
        waiting = self._waiting.get(batch_id, ())
        taken = [item for item in self._taken if item.batch_id == batch_id]
        return {item.number for item in (*waiting, *taken)}

    def take(self, max_count: int, max_bytes: int) -> list[WaitingResult]:
        """
        Take results of the next batch; at least one, even if it is larger than `max_bytes`.

        Call `settle` with them before the next call.
        """
        self._taken = []
        if not self._waiting:
            return []
        batch_id, results = next(iter(self._waiting.items()))
        size = 0
        while results and len(self._taken) < max_count:
            if self._taken and size + results[0].size > max_bytes:
                break
            taken = results.popleft()
            size += taken.size
            self._taken.append(taken)
        if not results:
            del self._waiting[batch_id]
        self._count -= len(self._taken)
        self._size -= size
        return list(self._taken)

    def settle(self, unwritten: list[WaitingResult]) -> None:
        """Forget the taken results but those to be tried again, behind all other batches."""
        self._taken = []
        if not unwritten:
            return
        batch_id = unwritten[0].batch_id
        for item in reversed(unwritten):
            self._insert(item, is_first=True)
        self._waiting.move_to_end(batch_id)

    def _insert(self, added: WaitingResult, is_first: bool = False) -> None:
        results = self._waiting.setdefault(added.batch_id, collections.deque())
        if is_first:
            results.appendleft(added)
        else:
            results.append(added)
        self._count += 1
        self._size += added.size
