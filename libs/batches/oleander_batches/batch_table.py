"""What the index says of each batch, the same in every process that has read as far."""

import dataclasses

from oleander_base import clock
from oleander_batches import records

MAX_BATCHES = 4096
"""Past this the batch that was accepted first is forgotten and reads as unknown."""


@dataclasses.dataclass(slots=True, frozen=True)
class ResultLocation:
    """Which item a position of the listing holds, and where its result stands."""

    item_number: int
    content_offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class PartialLocation:
    """Where the start of a text stands."""

    content_offset: int
    events: int


@dataclasses.dataclass(slots=True)
class Batch:
    """One accepted batch."""

    accepted: records.Accepted
    first_read_at: float
    """When this process read of it. No host's time of day decides how old a batch is: one that
    is an hour fast would give up items that have hardly begun."""
    is_ended: bool = False
    result_locations: list[ResultLocation] = dataclasses.field(default_factory=list)
    """The results in their order in the index, which no process can change."""
    finished_items: set[int] = dataclasses.field(default_factory=set)
    partials: dict[int, PartialLocation] = dataclasses.field(default_factory=dict)
    runner: str = ""
    """Who said last that it runs the items; empty before that and after a hand-over."""
    runner_heard_at: float = 0.0
    """When a runner's last record was read as it came; 0 where all are from before this process
    began to read, for nobody may be left who wrote them."""

    @property
    def batch_id(self) -> str:
        """The trainer's name of it."""
        return self.accepted.batch_id

    @property
    def total(self) -> int:
        """How many items it has."""
        return self.accepted.total

    @property
    def allowed_lag(self) -> int | None:
        """
        How many versions behind its step its weights may be, or nothing where it does not tell.

        A step is asked for once the version of its number is named; the first weights have number
        1, so the first two steps say nothing.
        """
        accepted = self.accepted
        return accepted.step - accepted.oldest_version if accepted.step > 1 else None

    @property
    def is_open(self) -> bool:
        """Whether items of it may still be run."""
        return not self.is_ended and len(self.finished_items) < self.total


class BatchTable:
    """
    The batches that the index tells of; not thread-safe.

    For an item and for a batch the first record wins, and what is listed only grows. So two
    processes that run the same item, or an append that takes effect twice or late, cost work and
    never change what a trainer reads.
    """

    def __init__(self) -> None:
        self._batches: dict[str, Batch] = {}

    def find(self, batch_id: str) -> Batch | None:
        """Return a batch."""
        return self._batches.get(batch_id)

    def list_batches(self) -> list[Batch]:
        """Return all batches, in the order of acceptance."""
        return list(self._batches.values())

    def apply(self, record: records.IndexRecord, was_appended_later: bool = True) -> None:
        """Take in the next record; not `was_appended_later` for those found at a start."""
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
        """Forget the batches that were read of so long ago."""
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
