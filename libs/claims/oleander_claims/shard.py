"""One shard of the claims: appends them to a stream in groups and decides by record order."""

import concurrent.futures
import contextlib
import dataclasses
import math
import queue
import threading

import expression

from oleander_base import clock, invariants, log, metrics, tasks
from oleander_claims import log_health, records, table
from oleander_platform import logservice

_MAX_CLAIMS_PER_APPEND = 200
_MAX_WAITING_CLAIMS = 2000
"""The number of claims that may wait for an append; further ones are refused."""
_APPEND_SECONDS = 2.0
"""The timeout of an append."""
_READ_BACK_SECONDS = 0.5
"""How long to wait for the records of an append without an answer to be read back."""
_CATCH_UP_SECONDS = 0.5
"""How long a claim waits for the stream to be read to its end after the start."""
_DECISION_SECONDS = 5.0
"""The longest time that a claim waits for its decision, whatever its deadline."""
_READ_WAIT_MS = 1000
"""How long the log holds a read open while there are no new records."""
_READ_SECONDS = 2.0
"""The timeout of a read, on top of the time that the log holds it open."""
_RETRY_SECONDS = 0.2
"""The pause after a failed read."""
_OFFSET_BEYOND_END = 2**53
"""An offset above any record's; reading there returns the bounds of the stream."""


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimError:
    """The claim was not decided, and the claimant must not act on it, now or later."""

    reason: str
    retry_after_ms: int


ClaimResult = expression.Result[records.LoggedClaim, ClaimError]


@dataclasses.dataclass(slots=True)
class _Proposal:
    claim: records.Claim
    deadline: clock.Deadline
    decision: concurrent.futures.Future[ClaimResult]

    def resolve(self, result: ClaimResult) -> None:
        """Set the claimant's result, unless it has one already or the claimant has given up."""
        with contextlib.suppress(concurrent.futures.InvalidStateError):
            self.decision.set_result(result)


class ClaimShard:
    """
    Decides claims by the order of the records in one stream.

    A claimant acts only after its own record was read back as the claim in force. So an append
    whose answer was lost, or that takes effect after its claimant has given up, does no harm: the
    claimant does not act, and the key's next claimant reads the record like any other claim.
    """

    def __init__(
        self,
        shard: int,
        service: logservice.LogService,
        group: tasks.TaskGroup,
        window: int,
        health: log_health.LogHealth,
    ) -> None:
        self._shard = shard
        self._stream = f"claims-{shard}"
        self._service = service
        self._group = group
        self._window = window
        self._lock = threading.Lock()
        self._table = table.ClaimTable(shard, window)
        self._next_offset = 0
        self._caught_up = threading.Event()
        self._last_read_at = -math.inf
        self._read_failed = False
        self._health = health
        self._waiting: queue.Queue[_Proposal] = queue.Queue(_MAX_WAITING_CLAIMS)
        self._proposals: dict[str, _Proposal] = {}

    @property
    def is_caught_up(self) -> bool:
        """Whether all records that the stream held at the start were read."""
        return self._caught_up.is_set()

    @property
    def last_read_at(self) -> float:
        """When the last read that reached the stream's end began, in monotonic seconds."""
        return self._last_read_at

    @property
    def is_ready(self) -> bool:
        """Whether the stream has caught up as in `is_caught_up`, or the last read failed."""
        return self._caught_up.is_set() or self._read_failed

    def start(self) -> None:
        """Start the two tasks that follow the stream and append to it."""
        self._group.supervise(self._follow_stream)
        self._group.supervise(self._append_waiting_claims)

    def find(self, customer: str, key: str) -> records.LoggedClaim | None:
        """Return the claim in force for a key, as far as the stream was read, or None."""
        with self._lock:
            return self._table.find(customer, key)

    def propose(self, claim: records.Claim, deadline: clock.Deadline) -> ClaimResult:
        """
        Append a claim and return the one in force, which may be another one.

        After an error the claimant must not act, since its record may still be appended to the
        log later.
        """
        if not self._caught_up.wait(deadline.cap(_CATCH_UP_SECONDS).remaining):
            return expression.Error(ClaimError("claims-unread", 1000))
        if self._health.is_failing:
            return expression.Error(ClaimError("log-failing", 1000))
        proposal = _Proposal(claim, deadline, concurrent.futures.Future())
        with self._lock:
            self._proposals[claim.nonce] = proposal
        try:
            return self._await_decision(proposal)
        finally:
            with self._lock:
                self._proposals.pop(claim.nonce, None)

    def _await_decision(self, proposal: _Proposal) -> ClaimResult:
        try:
            self._waiting.put_nowait(proposal)
        except queue.Full:
            return expression.Error(ClaimError("claims-waiting", 500))
        try:
            limit = proposal.deadline.cap(_DECISION_SECONDS)
            return proposal.decision.result(timeout=limit.remaining)
        except concurrent.futures.TimeoutError:
            if proposal.decision.cancel():
                return expression.Error(ClaimError("log-slow", 1000))
            return proposal.decision.result()

    def _append_waiting_claims(self) -> None:
        while not self._group.is_stopping:
            group = self._collect_group()
            if group:
                self._append_group(group)

    def _collect_group(self) -> list[_Proposal]:
        """Return the waiting claims, so that claims that arrive together share one append."""
        try:
            group = [self._waiting.get(timeout=0.5)]
        except queue.Empty:
            return []
        group += self._pop_waiting(_MAX_CLAIMS_PER_APPEND - 1)
        return [item for item in group if not item.decision.done()]

    def _pop_waiting(self, limit: int) -> list[_Proposal]:
        taken: list[_Proposal] = []
        while len(taken) < limit:
            try:
                taken.append(self._waiting.get_nowait())
            except queue.Empty:
                break
        return taken

    def _append_group(self, group: list[_Proposal]) -> None:
        deadline = clock.start_deadline(_APPEND_SECONDS)
        values = [item.claim.to_value() for item in group]
        self._health.record_append_start()
        appended = self._service.append(self._stream, values, deadline)
        if appended.is_error() and not self._are_read_back(group, appended.error):
            self._refuse_group(group, appended.error)
        self._health.record_append_end()

    def _are_read_back(self, group: list[_Proposal], error: logservice.LogError) -> bool:
        """Return whether all claims of a failed append are decided; wait if they still may be."""
        futures = [item.decision for item in group]
        if error.may_have_effect:
            concurrent.futures.wait(futures, timeout=_READ_BACK_SECONDS)
        return all(future.done() and not future.cancelled() for future in futures)

    def _refuse_group(self, group: list[_Proposal], error: logservice.LogError) -> None:
        """
        Refuse claims whose append failed, and those that wait behind them.

        The records may be in the log nevertheless. That does no harm: these claimants never act
        on them, and no other process acts on a claim of another without asking its sidecar.
        """
        metrics.count(metrics.LOG_FAILED_CALLS)
        log.warn_bounded("log-append-failed", f"{self._stream}: {error.detail}")
        self._health.record_append_failure()
        refusal = ClaimError("log-failing", max(200, error.retry_after_ms))
        for item in [*group, *self._pop_waiting(_MAX_WAITING_CLAIMS)]:
            item.resolve(expression.Error(refusal))

    def _follow_stream(self) -> None:
        while not self._group.is_stopping and not self._find_start():
            self._group.pause(_RETRY_SECONDS)
        while not self._group.is_stopping:
            if not self._read_page():
                self._group.pause(_RETRY_SECONDS)

    def _find_start(self) -> bool:
        """Start reading one window before the stream's end, since no process keeps more."""
        started_at = clock.read_now()
        page = self._service.read(
            self._stream, _OFFSET_BEYOND_END, 0, clock.start_deadline(_READ_SECONDS)
        )
        self._read_failed = page.is_error()
        if page.is_error():
            self._report_read_failure(page.error)
            return False
        start = max(page.ok.first_offset, page.ok.next_offset - self._window)
        self._next_offset = max(0, start)
        self._record_read(page.ok, started_at)
        return True

    def _read_page(self) -> bool:
        started_at = clock.read_now()
        deadline = clock.start_deadline(_READ_WAIT_MS / 1000 + _READ_SECONDS)
        page = self._service.read(self._stream, self._next_offset, _READ_WAIT_MS, deadline)
        self._read_failed = page.is_error()
        if page.is_error():
            self._report_read_failure(page.error)
            return False
        if page.ok.first_offset > self._next_offset:
            self._skip_deleted(page.ok.first_offset)
        for record in page.ok.records:
            self._apply_record(record)
        self._record_read(page.ok, started_at)
        return True

    def _record_read(self, page: logservice.Page, started_at: float) -> None:
        self._health.record_read()
        if self._next_offset >= page.next_offset:
            self._last_read_at = started_at
            self._caught_up.set()

    def _report_read_failure(self, error: logservice.LogError) -> None:
        metrics.count(metrics.LOG_FAILED_CALLS)
        log.warn_bounded("log-read-failed", f"{self._stream}: {error.detail}")

    def _skip_deleted(self, first_offset: int) -> None:
        """Skip deleted records and fail the waiting claims, whose records may be among them."""
        log.warn_bounded(
            "claims-deleted",
            f"{self._stream}: records {self._next_offset} to {first_offset} were deleted before "
            "they were read; raise the log's retention above the claim window",
        )
        with self._lock:
            lost = list(self._proposals.values())
            self._next_offset = first_offset
        for proposal in lost:
            proposal.resolve(expression.Error(ClaimError("claim-lost", 1000)))

    def _apply_record(self, record: logservice.Record) -> None:
        invariants.require(
            record.offset >= self._next_offset,
            "claims-in-order",
            f"{self._stream}: record {record.offset} was read after {self._next_offset}",
        )
        claim = records.read_claim(record.value)
        with self._lock:
            self._next_offset = record.offset + 1
            if claim is None:
                return
            in_force = self._table.apply(record.offset, claim)
            proposal = self._proposals.get(claim.nonce)
        if proposal is not None:
            proposal.resolve(expression.Ok(in_force))
