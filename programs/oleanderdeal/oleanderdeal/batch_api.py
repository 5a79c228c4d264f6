"""Accepts, lists and ends batches for trainers; every entry offers it."""

import dataclasses
import enum
import typing

import expression

from oleander_base import clock, log, metrics
from oleander_batches import batch_table, content, journal, submission

_READ_TIMEOUT_SECONDS = 1.0
"""Bound on reading the log for one call. Trainers wait a little longer than the wait that
they request, so an answer at the end of this bound still reaches them."""
_ACCEPT_TIMEOUT_SECONDS = 2.0
"""Bound on accepting a batch: one append to the content topic and one to the index topic, each
of which may take half of this time."""
_ACCEPT_BYTES_PER_SECOND = 1024 * 1024
"""The bound is longer by the time that a submission takes at this rate, which a link of 30 Mbit/s
reaches beside other traffic."""
_END_TIMEOUT_SECONDS = 2.0
"""Bound on ending a batch; shorter than the client's own timeout, so that it can still try another
entry."""
_MAX_INDEX_AGE_SECONDS = 0.4
"""Maximum age of the index at which an entry may answer "no further result". It lies below the
bound within which every entry must know of a result that one entry has returned."""
_MAX_LOGGED_ANSWERS = 8
"""A submission that is not answered may be sent dozens of times."""
_RETRY_AFTER_MS = 200
"""This delay is short, as a refusal concerns one entry and the next try goes to another."""


class BatchFault(enum.Enum):
    """Reason for which a call about a batch failed."""

    MISSING = "missing"
    """The batch or the item does not exist."""
    UNSURE = "unsure"
    """The log can't be read far enough to answer."""
    REFUSED = "refused"
    """The call had no effect and will have none; it may be tried again."""
    IMPOSSIBLE = "impossible"
    """The call had no effect, and the same call can never succeed."""
    UNKNOWN = "unknown"
    """The call may have taken effect, or may do so later."""


@dataclasses.dataclass(slots=True, frozen=True)
class BatchProblem:
    """A failed call: why, and when to try again."""

    fault: BatchFault
    detail: str
    retry_after_ms: int = _RETRY_AFTER_MS


class BatchApi:
    """Accepts, lists and ends batches; all state is in the journal, so any entry can answer."""

    def __init__(self, batch_journal: journal.BatchJournal) -> None:
        self._journal = batch_journal

    def accept(
        self, submitted: submission.Submission, deadline: clock.Deadline
    ) -> expression.Result[None, BatchProblem]:
        """Accept a batch; accepting a known one of the same organisation changes nothing."""
        known_batch = self._journal.index.find(submitted.batch_id)
        if known_batch is not None:
            if not _is_accessible(known_batch, submitted.organisation):
                return _build_error(BatchFault.MISSING, "the batch is not of this organisation")
            return expression.Ok(None)
        if self._journal.index.is_unreachable:
            may_have_effect = self._journal.may_be_accepted(submitted.batch_id)
            return self._refuse_while_cut_off(submitted.batch_id, "submission", may_have_effect)
        seconds = _ACCEPT_TIMEOUT_SECONDS + submitted.body_bytes / _ACCEPT_BYTES_PER_SECOND
        accepted = self._journal.accept(submitted, deadline.cap(seconds))
        if accepted.is_error() and self._is_accepted(submitted):
            accepted = expression.Ok(None)
        if accepted.is_ok():
            metrics.count(metrics.BATCHES_ACCEPTED)
        log.logger.bind(
            event="batch-submitted",
            batch=submitted.batch_id,
            step=submitted.step,
            items=len(submitted.items),
            oldest_version=submitted.oldest_version,
            **_describe_append(accepted),
        ).info("accepted" if accepted.is_ok() else "not accepted")
        return accepted.map_error(_convert_error)

    def may_be_accepted(self, batch_id: str) -> bool:
        """Return whether a batch is accepted, or may be by an earlier call at this entry."""
        return self._journal.may_be_accepted(batch_id)

    def may_be_ended(self, batch_id: str) -> bool:
        """Return whether a batch has ended, or may have by an earlier call at this entry."""
        return self._journal.may_be_ended(batch_id)

    def needs_key(self, batch_id: str) -> bool:
        """Return whether calls about a batch need an API key; an unknown batch does."""
        batch = self._journal.index.find(batch_id)
        return batch is None or bool(batch.accepted.organisation)

    def list_results(
        self, batch_id: str, organisation: str, after: int, wait: clock.Deadline
    ) -> expression.Result[journal.ResultPage, BatchProblem]:
        """Return the results from position `after` on; wait until `wait` for the first of them."""
        found = self._find_batch(batch_id, organisation)
        if found.is_error():
            return expression.Error(found.error)
        batch = found.ok
        if len(batch.result_locations) <= after:
            self._journal.index.wait_for_results(batch, after, wait)
        if len(batch.result_locations) <= after and not self._refresh(
            clock.read_now() - _MAX_INDEX_AGE_SECONDS
        ):
            return _build_error(BatchFault.UNSURE, "the index can't be read")
        if self._journal.index.is_unreachable:
            return _build_error(BatchFault.UNSURE, "the log does not answer here")
        listing = self._journal.read_results(
            batch, after, clock.start_deadline(_READ_TIMEOUT_SECONDS)
        )
        if listing.is_error():
            return _build_error(BatchFault.UNSURE, listing.error.detail)
        metrics.count(metrics.SAMPLES_DELIVERED, len(listing.ok.results))
        return expression.Ok(listing.ok)

    def read_body(
        self, batch_id: str, organisation: str, item_id: str
    ) -> expression.Result[bytes, BatchProblem]:
        """Return the request body of an item."""
        found = self._find_batch(batch_id, organisation)
        if found.is_error():
            return expression.Error(found.error)
        read = self._journal.read_submission(found.ok, clock.start_deadline(_READ_TIMEOUT_SECONDS))
        if read.is_error():
            return _build_error(BatchFault.UNSURE, read.error.detail)
        item = read.ok.find_item(item_id)
        if item is None:
            return _build_error(BatchFault.MISSING, "no such item")
        return expression.Ok(item.body)

    def end(self, batch_id: str, organisation: str) -> expression.Result[None, BatchProblem]:
        """End a batch; ending it again changes nothing."""
        found = self._find_batch(batch_id, organisation)
        if found.is_error():
            return expression.Error(found.error)
        if found.ok.is_ended:
            return expression.Ok(None)
        if self._journal.index.is_unreachable:
            may_have_effect = self._journal.may_be_ended(batch_id)
            return self._refuse_while_cut_off(batch_id, "end", may_have_effect)
        ended = self._journal.end(batch_id, clock.start_deadline(_END_TIMEOUT_SECONDS))
        if ended.is_error() and self._has_ended(batch_id):
            ended = expression.Ok(None)
        log.logger.bind(
            event="batch-ended",
            batch=batch_id,
            listed=len(found.ok.result_locations),
            total=found.ok.total,
            **_describe_append(ended),
        ).info("ended" if ended.is_ok() else "not ended")
        return ended.map_error(_convert_error)

    def _find_batch(
        self, batch_id: str, organisation: str
    ) -> expression.Result[batch_table.Batch, BatchProblem]:
        """
        Return a batch; if it is unknown, read the index to its present end first.

        A batch of another organisation is reported as missing, so that names can't be probed.
        Reading the index first is needed because a trainer that was told that its batch is
        accepted must never be told that it is missing, by this entry or by another.
        """
        batch = self._journal.index.find(batch_id)
        if batch is None and not self._refresh(clock.read_now()):
            return _build_error(BatchFault.UNSURE, "the index can't be read")
        batch = batch or self._journal.index.find(batch_id)
        if batch is None or not _is_accessible(batch, organisation):
            return _build_error(BatchFault.MISSING, "no such batch")
        return expression.Ok(batch)

    def _is_accepted(self, submitted: submission.Submission) -> bool:
        """Return whether the index shows the batch, by this call or by one at another entry."""
        batch = self._journal.index.find(submitted.batch_id)
        return batch is not None and _is_accessible(batch, submitted.organisation)

    def _has_ended(self, batch_id: str) -> bool:
        """Return whether the index shows the end of a batch, by this call or another one."""
        batch = self._journal.index.find(batch_id)
        return batch is not None and batch.is_ended

    def _refuse_while_cut_off(
        self, batch_id: str, call: str, may_have_effect: bool
    ) -> expression.Result[typing.Any, BatchProblem]:
        """Fail a call without trying it; an earlier call about the batch may have an effect."""
        fault = BatchFault.UNKNOWN if may_have_effect else BatchFault.REFUSED
        log.logger.bind(
            event="batch-refused", batch=batch_id, call=call, outcome=fault.value, sends=0
        ).info("the log does not answer this process")
        return _build_error(fault, "the log does not answer here")

    def _refresh(self, since: float) -> bool:
        if self._journal.index.is_unreachable:
            return False
        return self._journal.index.refresh(since, clock.start_deadline(_READ_TIMEOUT_SECONDS))


def _is_accessible(batch: batch_table.Batch, organisation: str) -> bool:
    return batch.accepted.organisation in {"", organisation}


def _describe_append(
    appended: expression.Result[None, content.JournalFailure],
) -> dict[str, object]:
    """Return the log fields that show why an append failed, and what each send was answered."""
    if appended.is_ok():
        return {"outcome": "done", "error": ""}
    failure = appended.error
    return {
        "outcome": _convert_error(failure).fault.value,
        "error": failure.detail,
        "topic": failure.topic,
        "sends": len(failure.answers),
        "answers": "; ".join(failure.answers[:_MAX_LOGGED_ANSWERS]),
    }


def _convert_error(error: content.JournalFailure) -> BatchProblem:
    if error.may_have_effect:
        return BatchProblem(BatchFault.UNKNOWN, error.detail)
    fault = BatchFault.IMPOSSIBLE if error.is_final else BatchFault.REFUSED
    return BatchProblem(fault, error.detail)


def _build_error(fault: BatchFault, detail: str) -> expression.Result[typing.Any, BatchProblem]:
    return expression.Error(BatchProblem(fault, detail))
