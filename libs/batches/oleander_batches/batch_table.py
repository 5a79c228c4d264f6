"""
The state of each batch, derived from the batch index that `records` describes.

All processes that have read the index up to the same offset have the same state.
"""

import dataclasses

from oleander_base import clock
from oleander_batches import records

MAX_BATCHES = 4096
"""Maximum number of batches. Beyond it the batch that was accepted first is evicted and becomes
unknown."""


@dataclasses.dataclass(slots=True, frozen=True)
class ResultLocation:
    """The item at one position of a batch's results, and the content offset of its result."""

    item_number: int
    content_offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class PartialLocation:
    """The content offset of a partial text, and its number of stream events."""

    content_offset: int
    events: int


@dataclasses.dataclass(slots=True)
class Batch:
    """The state of one accepted batch."""

    accepted: records.Accepted
    first_read_at: float
    """When this process read the batch's first record, on its monotonic clock. A batch's age is
    never computed from the time of day of a host: with a clock one hour fast, items that have just
    been started would be given up."""
    is_ended: bool = False
    result_locations: list[ResultLocation] = dataclasses.field(default_factory=list)
    """The results in the order of the index; it is equal in all processes and never changes."""
    finished_items: set[int] = dataclasses.field(default_factory=set)
    """The numbers of the items that have a result."""
    partials: dict[int, PartialLocation] = dataclasses.field(default_factory=dict)
    """The longest partial text of each unfinished item, by item number."""
    runner: str = ""
    """The process that last recorded that it runs the items; empty before that and after a
    hand-over."""
    runner_heard_at: float = 0.0
    """When a runner's last record about the batch was read. It is 0 if all records were appended
    before this process started to read, because the process that wrote them may be gone."""

    @property
    def batch_id(self) -> str:
        """The ID that the trainer chose for the batch."""
        return self.accepted.batch_id

    @property
    def total(self) -> int:
        """The number of items."""
        return self.accepted.total

    @property
    def allowed_lag(self) -> int | None:
        """
        How many versions the weights may lag behind the batch's step; None if unknown.

        A trainer submits a step once the weight version of the same number is announced. Versions
        start at 1, so the lag can't be derived from the steps 0 and 1.
        """
        accepted = self.accepted
        return accepted.step - accepted.oldest_version if accepted.step > 1 else None

    @property
    def is_open(self) -> bool:
        """Whether the batch has not ended and has items without a result."""
        return not self.is_ended and len(self.finished_items) < self.total


class BatchTable:
    """
    The batches that the index describes; not thread-safe.

    Only the first `Accepted` record of a batch and the first `Finished` record of an item count,
    and results are only ever added. Two processes that run the same item, or an append that takes
    effect twice or late, therefore waste work but never change the results that a trainer reads.
    """

    def __init__(self) -> None:
        self._batches: dict[str, Batch] = {}

    def find(self, batch_id: str) -> Batch | None:
        """Return a batch, or None if it is unknown or was evicted."""
        return self._batches.get(batch_id)

    def list_batches(self) -> list[Batch]:
        """Return all batches in the order of their acceptance."""
        return list(self._batches.values())

    def apply(self, record: records.IndexRecord, was_appended_later: bool = True) -> None:
        """
        Apply the next record of the index; records of unknown batches are ignored.

        `was_appended_later` is False for records that were in the index before the process read
        it to its end for the first time.
        """
        if isinstance(record, records.Accepted):
            self._accept(record)
            return
        batch = self._batches.get(record.batch_id)
        if batch is None:
            return
        if was_appended_later:
            batch.runner_heard_at = clock.read_now()
        if isinstance(record, records.Finished):
            _record_result(batch, record)
        elif isinstance(record, records.Partial):
            _record_partial(batch, record)
        elif isinstance(record, records.Taken):
            batch.runner = record.runner
        else:
            batch.is_ended = True
            batch.partials.clear()

    def evict_older(self, seconds: float) -> None:
        """Evict batches that are not open and were first read more than `seconds` ago."""
        horizon = clock.read_now() - seconds
        for batch_id, batch in list(self._batches.items()):
            if batch.first_read_at < horizon and not batch.is_open:
                del self._batches[batch_id]

    def _accept(self, record: records.Accepted) -> None:
        if record.batch_id in self._batches:
            return
        while len(self._batches) >= MAX_BATCHES:
            self._batches.pop(next(iter(self._batches)))
        self._batches[record.batch_id] = Batch(record, clock.read_now())


def _record_result(batch: Batch, record: records.Finished) -> None:
    if record.item_number in batch.finished_items or not 0 <= record.item_number < batch.total:
        return
    batch.finished_items.add(record.item_number)
    batch.partials.pop(record.item_number, None)
    batch.result_locations.append(ResultLocation(record.item_number, record.content_offset))


def _record_partial(batch: Batch, record: records.Partial) -> None:
    if batch.is_ended or record.item_number in batch.finished_items:
        return
    known = batch.partials.get(record.item_number)
    if known is None or known.events < record.events:
        batch.partials[record.item_number] = PartialLocation(record.content_offset, record.events)
