"""One batch that this process runs: what its items have come to."""

import collections
import dataclasses
import threading

from oleander_base import clock, identifiers
from oleander_batches import fold, submission
from oleander_direct import routes
from oleander_samples import hedging, scheduler, steps, work

_POLICY = hedging.StragglerPolicy(hedge_percent=0, moves=True, nearly_whole_percent=50)
"""A straggler is cancelled before it goes on elsewhere, never raced: two engines that go on with
one request at once are forbidden where this runs."""


@dataclasses.dataclass(slots=True, frozen=True)
class ItemWork:
    """An item that is to be generated now."""

    run: "BatchRun"
    work: work.SampleWork
    item: submission.Item
    item_number: int
    """Its place in the submission."""
    resumed_events: int


class BatchRun:
    """The items of one batch that have no result yet; thread-safe."""

    def __init__(
        self,
        batch: fold.Batch,
        submitted: submission.Submission,
        event_tokens: int,
    ) -> None:
        self._batch = batch
        self._submitted = submitted
        self._event_tokens = event_tokens
        self._lock = threading.Lock()
        self._order = _order_items(submitted)
        step = _build_step(submitted, self._order, event_tokens)
        seed = identifiers.hash_text(submitted.batch_id)
        self._scheduler = scheduler.WorkScheduler(step, _POLICY, seed)
        self._scheduler.raise_oldest(submitted.oldest_version, clock.read_now())
        self._places = {number: place for place, number in enumerate(self._order)}
        self._errors: collections.Counter[int] = collections.Counter()
        self._cancelled: set[str] = set()
        self._last_servers: dict[int, str] = {}
        self._is_stopped = False
        self._seen_events: dict[str, int] = {}
        self._known_finished: set[int] = set()

    @property
    def batch(self) -> fold.Batch:
        """The batch as the index tells of it."""
        return self._batch

    @property
    def submitted(self) -> submission.Submission:
        """What the trainer handed in."""
        return self._submitted

    @property
    def is_wanted(self) -> bool:
        """Whether its items are still to be run here."""
        return not self._is_stopped and not self._batch.is_ended

    def stop(self) -> None:
        """Cancel what runs: the batch ended, or another process runs it."""
        with self._lock:
            self._is_stopped = True

    def note_listed(self) -> None:
        """Take in which items have results, whoever made them."""
        with self._lock:
            for number in list(self._batch.finished - self._known_finished):
                self._known_finished.add(number)
                self._cancelled.update(self._scheduler.drop(self._places[number]))

    def resume_item(self, partial: submission.PartialText) -> None:
        """Take in the start of a text that another process made."""
        if partial.item_number not in self._places:
            return
        label = tuple(
            steps.LabelPart(version, made * self._event_tokens) for version, made in partial.label
        )
        start = work.Partial(partial.text, label, partial.events * self._event_tokens)
        if label and start.oldest_version >= self._submitted.oldest_version:
            with self._lock:
                self._scheduler.resume_from(self._places[partial.item_number], start)

    def list_partials(self) -> list[submission.PartialText]:
        """Return the starts of texts that are not whole."""
        with self._lock:
            found = self._scheduler.list_partials()
        return [self._describe_partial(place, start) for place, start in found.items()]

    def start_next(self, now: float) -> ItemWork | None:
        """Return the next item to generate, if one is due."""
        with self._lock:
            if self._is_stopped or self._batch.is_ended:
                return None
            started = self._scheduler.start_next(now)
            self._cancelled.update(self._scheduler.take_cancellations())
        if started is None:
            return None
        number = self._order[started.number]
        events = started.resumed_tokens // self._event_tokens
        return ItemWork(self, started, self._submitted.items[number], number, events)

    def is_cancelled(self, item: ItemWork) -> bool:
        """Tell whether an attempt is of no more use."""
        return not self.is_wanted or item.work.work_id in self._cancelled

    def find_last_server(self, item_number: int) -> frozenset[str]:
        """Return the server that had an item last; its next attempt goes elsewhere."""
        name = self._last_servers.get(item_number)
        return frozenset() if name is None else frozenset((name,))

    def note_server(self, item_number: int, server_id: str) -> None:
        """Remember who generates an item."""
        self._last_servers[item_number] = server_id

    def note_event(self, item: ItemWork, text: str, version: int | None) -> None:
        """Take in the next event of a text; events are joined by line feeds."""
        with self._lock:
            joined = text if self._is_first(item) else f"\n{text}"
            now = clock.read_now()
            self._scheduler.note_progress(
                item.work.work_id, joined, self._event_tokens, version, now
            )
            self._cancelled.update(self._scheduler.take_cancellations())
            self._seen_events[item.work.work_id] = self._seen_events.get(item.work.work_id, 0) + 1

    def finish(self, item: ItemWork) -> steps.Sample | None:
        """Take in the end of a whole text; return it unless it can't be used."""
        with self._lock:
            self._forget(item)
            built = self._scheduler.finish(item.work.work_id, None, clock.read_now())
        return built.ok if built.is_ok() else None

    def fail(self, item: ItemWork) -> None:
        """Take in that an attempt broke off; the item is resumed or made anew."""
        with self._lock:
            self._forget(item)
            self._scheduler.fail(item.work.work_id, clock.read_now())

    def put_back(self, item: ItemWork) -> None:
        """Take in that an attempt was refused before it began."""
        with self._lock:
            self._forget(item)
            self._scheduler.put_back(item.work.work_id, clock.read_now())

    def count_error(self, item_number: int) -> int:
        """Count an answer by which the server failed; return how many there were."""
        with self._lock:
            self._errors[item_number] += 1
            return self._errors[item_number]

    def find_backend(self, route: routes.Route) -> str:
        """Return the backend of a route's items; each batch has one for its whole life."""
        return route.pick_backend_of(self._submitted.batch_id)

    def _is_first(self, item: ItemWork) -> bool:
        return not item.resumed_events and not self._seen_events.get(item.work.work_id)

    def _forget(self, item: ItemWork) -> None:
        self._seen_events.pop(item.work.work_id, None)
        self._cancelled.discard(item.work.work_id)

    def _describe_partial(self, place: int, start: work.Partial) -> submission.PartialText:
        label = tuple((part.version, part.tokens // self._event_tokens) for part in start.label)
        events = start.tokens // self._event_tokens
        return submission.PartialText(self._order[place], start.text, events, label)


def _order_items(submitted: submission.Submission) -> list[int]:
    """Return the items' numbers with the members of each group side by side."""
    groups: dict[str, list[int]] = {}
    for number, item in enumerate(submitted.items):
        groups.setdefault(item.group, []).append(number)
    return [number for members in groups.values() for number in members]


def _build_step(
    submitted: submission.Submission, order: list[int], event_tokens: int
) -> steps.Step:
    sizes: dict[str, int] = {}
    most: dict[str, int] = {}
    for number in order:
        item = submitted.items[number]
        sizes[item.group] = sizes.get(item.group, 0) + 1
        most[item.group] = max(most.get(item.group, 0), item.tokens + event_tokens)
    return steps.Step(
        customer="",
        trainer=submitted.model,
        step=submitted.step,
        incarnation=0,
        version=submitted.oldest_version,
        groups=tuple(
            steps.Group("", group, samples, most[group]) for group, samples in sizes.items()
        ),
    )
