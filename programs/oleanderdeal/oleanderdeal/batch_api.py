"""What trainers may ask of batches, at any entry."""

import dataclasses
import enum
import typing

import expression

from oleander_base import clock, log, metrics
from oleander_batches import batch_table, content, journal, submission

_READ_SECONDS = 1.0
"""Trainers wait a little longer than they allow, so that an answer at the end still counts."""
_ACCEPT_SECONDS = 2.0
"""One append to the content and one to the index, of a second at most each."""
_END_SECONDS = 2.0
"""Of the time in which an end must be acknowledged, so that its client can try another entry."""
_FRESH_SECONDS = 0.4
"""Age of the index up to which "no further result" may be said; within the bound by which every
entry must know what one has said."""
_RETRY_AFTER_MS = 200
"""Soon: a refusal is of one entry, and the next try goes to another."""


class BatchFault(enum.Enum):
    """Why a call about a batch did not succeed."""

    MISSING = "missing"
    """There is no such batch or item."""
    UNSURE = "unsure"
    """The platform's log can't be read far enough to tell."""
    REFUSED = "refused"
    """Nothing was done and nothing will be."""
    IMPOSSIBLE = "impossible"
    """It can't be done at another time either."""
    UNKNOWN = "unknown"
    """It may have been done, or may be done later."""


@dataclasses.dataclass(slots=True, frozen=True)
class BatchProblem:
    """A call that did not succeed."""

    fault: BatchFault
    detail: str
    retry_after_ms: int = _RETRY_AFTER_MS


class BatchApi:
    """Accepts, lists and ends batches; holds nothing that the journal does not."""

    def __init__(self, kept: journal.BatchJournal) -> None:
        self._journal = kept

    def accept(
        self, submitted: submission.Submission, deadline: clock.Deadline
    ) -> expression.Result[None, BatchProblem]:
        """Accept a batch; one that is known already is accepted again."""
        known = self._journal.index.find(submitted.batch_id)
        if known is not None:
            if not _may_use(known, submitted.organisation):
                return _reject(BatchFault.MISSING, "the batch is not of this organisation")
            return expression.Ok(None)
        if self._journal.index.is_unreachable:
            return self._refuse_cut(submitted.batch_id, "submission")
        accepted = self._journal.accept(submitted, deadline.earlier(_ACCEPT_SECONDS))
        if accepted.is_ok():
            metrics.count(metrics.BATCHES_ACCEPTED)
        log.logger.bind(
            event="batch-submitted",
            batch=submitted.batch_id,
            step=submitted.step,
            items=len(submitted.items),
            oldest_version=submitted.oldest_version,
            error=accepted.error.detail if accepted.is_error() else "",
        ).info("accepted" if accepted.is_ok() else "not accepted")
        return accepted.map_error(_describe)

    def needs_key(self, batch_id: str) -> bool:
        """Tell whether calls about a batch need a key; so does one that is not known here."""
        batch = self._journal.index.find(batch_id)
        return batch is None or bool(batch.accepted.organisation)

    def list_results(
        self, batch_id: str, organisation: str, after: int, wait: clock.Deadline
    ) -> expression.Result[journal.ResultPage, BatchProblem]:
        """Return results from a position on, waiting for the first of them."""
        found = self._find(batch_id, organisation)
        if found.is_error():
            return expression.Error(found.error)
        batch = found.ok
        if len(batch.result_locations) <= after:
            self._journal.index.wait_for_results(batch, after, wait)
        if len(batch.result_locations) <= after and not self._refresh(
            clock.read_now() - _FRESH_SECONDS
        ):
            return _reject(BatchFault.UNSURE, "the index can't be read")
        if self._journal.index.is_unreachable:
            return _reject(BatchFault.UNSURE, "the log does not answer here")
        listing = self._journal.read_results(batch, after, clock.start_deadline(_READ_SECONDS))
        if listing.is_error():
            return _reject(BatchFault.UNSURE, listing.error.detail)
        metrics.count(metrics.SAMPLES_DELIVERED, len(listing.ok.results))
        return expression.Ok(listing.ok)

    def read_body(
        self, batch_id: str, organisation: str, item_id: str
    ) -> expression.Result[bytes, BatchProblem]:
        """Return the body of an item."""
        found = self._find(batch_id, organisation)
        if found.is_error():
            return expression.Error(found.error)
        read = self._journal.read_submission(found.ok, clock.start_deadline(_READ_SECONDS))
        if read.is_error():
            return _reject(BatchFault.UNSURE, read.error.detail)
        item = read.ok.find_item(item_id)
        if item is None:
            return _reject(BatchFault.MISSING, "no such item")
        return expression.Ok(item.body)

    def end(self, batch_id: str, organisation: str) -> expression.Result[None, BatchProblem]:
        """End a batch; ending it again changes nothing."""
        found = self._find(batch_id, organisation)
        if found.is_error():
            return expression.Error(found.error)
        if found.ok.is_ended:
            return expression.Ok(None)
        if self._journal.index.is_unreachable:
            return self._refuse_cut(batch_id, "end")
        ended = self._journal.end(batch_id, clock.start_deadline(_END_SECONDS))
        log.logger.bind(
            event="batch-ended",
            batch=batch_id,
            listed=len(found.ok.result_locations),
            total=found.ok.total,
            error=ended.error.detail if ended.is_error() else "",
        ).info("ended" if ended.is_ok() else "not ended")
        return ended.map_error(_describe)

    def _find(
        self, batch_id: str, organisation: str
    ) -> expression.Result[batch_table.Batch, BatchProblem]:
        """
        Return a batch; one that is not known is looked for in the index as of now.

        For another organisation than its own there is no such batch, whoever guesses its name.

        A trainer that was told that its batch is accepted must never be told that there is none,
        also not by the same entry a moment later.
        """
        batch = self._journal.index.find(batch_id)
        if batch is None and not self._refresh(clock.read_now()):
            return _reject(BatchFault.UNSURE, "the index can't be read")
        batch = batch or self._journal.index.find(batch_id)
        if batch is None or not _may_use(batch, organisation):
            return _reject(BatchFault.MISSING, "no such batch")
        return expression.Ok(batch)

    def _refuse_cut(self, batch_id: str, call: str) -> expression.Result[typing.Any, BatchProblem]:
        log.logger.bind(event="batch-refused", batch=batch_id, call=call).info(
            "the log does not answer here"
        )
        return _reject(BatchFault.REFUSED, "the log does not answer here")

    def _refresh(self, since: float) -> bool:
        if self._journal.index.is_unreachable:
            return False
        return self._journal.index.refresh(since, clock.start_deadline(_READ_SECONDS))


def _may_use(batch: batch_table.Batch, organisation: str) -> bool:
    return batch.accepted.organisation in {"", organisation}


def _describe(error: content.JournalFailure) -> BatchProblem:
    if error.is_final:
        return BatchProblem(BatchFault.IMPOSSIBLE, error.detail)
    fault = BatchFault.UNKNOWN if error.may_have_effect else BatchFault.REFUSED
    return BatchProblem(fault, error.detail)


def _reject(fault: BatchFault, detail: str) -> expression.Result[typing.Any, BatchProblem]:
    return expression.Error(BatchProblem(fault, detail))
