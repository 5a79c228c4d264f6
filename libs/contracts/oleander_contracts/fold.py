"""
Replays the configuration stream into the configuration in force.

Every process applies the same records by the same rules, so the order of the log alone decides
between concurrent changes. Records may come from the log or from a peer, in parts and repeatedly.
"""

import dataclasses
import threading
import typing

import expression

from oleander_base import invariants
from oleander_contracts import contract, in_force, records, state, windows

MAX_RECENT_RECORDS = 1000
MAX_RECENT_BYTES = 4 * 1024 * 1024
MAX_PEER_BYTES = 1024 * 1024

_MAX_REASON_CHARACTERS = 500
_AWAITING_SNAPSHOT = "waits for a snapshot: records before it are gone"
_OVERSIZED_PLACEHOLDER = {"kind": "oversized"}


@dataclasses.dataclass(slots=True, frozen=True)
class GapError:
    """A record can't be applied because records before it are missing."""

    expected_offset: int
    """The offset of the first missing record."""
    offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class TooOldError:
    """The records that a peer asks for are no longer kept; send a snapshot instead."""

    oldest_offset: int


class ConfigurationFold:
    """
    The configuration in force after the records applied so far; thread-safe.

    The newest records are kept for peers, bounded in number and bytes; the oldest are evicted.
    The configuration in force is bounded as well (see `state`). Neither the applied offset nor
    the offset of any item in force ever decreases.

    If the log has deleted records before they were applied, later records are deferred (within
    the same bounds) until a snapshot covers the deleted ones. Until then `needs_snapshot` is
    true, and the configuration stays as it was.
    """

    def __init__(
        self,
        max_records: int = MAX_RECENT_RECORDS,
        max_bytes: int = MAX_RECENT_BYTES,
    ) -> None:
        self._lock = threading.Lock()
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._state = state.ConfigurationState()
        self._applied_offset = in_force.NO_OFFSET
        self._snapshot_offset = in_force.NO_OFFSET
        self._change_offset = in_force.NO_OFFSET
        """The offset of the newest record other than a snapshot that may have been applied."""
        self._recent = self._create_window(0)
        self._deferred: windows.RecordWindow | None = None

    @property
    def applied_offset(self) -> int:
        """The offset of the newest applied record; -1 before the first."""
        with self._lock:
            return self._applied_offset

    @property
    def next_offset(self) -> int:
        """The offset from which to read the log next."""
        with self._lock:
            return self._read_next_offset()

    @property
    def needs_snapshot(self) -> bool:
        """Whether records were deleted before they were applied, so that a snapshot is needed."""
        with self._lock:
            return self._deferred is not None

    @property
    def snapshot_offset(self) -> int:
        """
        The offset of the newest snapshot seen in the log; -1 if there was none.

        A snapshot that lacks records before it, other than snapshots, does not count.
        """
        with self._lock:
            return self._snapshot_offset

    def apply(
        self, offset: int, logged_at_ms: int, value: dict[str, typing.Any]
    ) -> expression.Result[in_force.Verdict, GapError]:
        """
        Apply a record, or defer it while a snapshot is needed.

        A record that was already applied changes nothing and gets its earlier verdict. A record
        after a gap is rejected with the offset of the first missing record.
        """
        with self._lock:
            if offset <= self._applied_offset:
                return expression.Ok(self._find_earlier_verdict(offset))
            record = windows.KeptRecord(offset, logged_at_ms, _replace_oversized(value))
            if offset == self._applied_offset + 1:
                verdict = self._apply_next(record)
                self._apply_deferred()
                return expression.Ok(verdict)
            if self._deferred is not None and offset >= self._deferred.first_offset:
                return self._defer(record, self._deferred)
            return expression.Error(GapError(self._applied_offset + 1, offset))

    def record_deleted(self, first_offset: int) -> None:
        """Record that the log has deleted the records below an offset."""
        with self._lock:
            if first_offset > self._read_next_offset():
                self._deferred = self._create_window(first_offset)

    def install_snapshot(self, value: dict[str, typing.Any]) -> in_force.Verdict:
        """Adopt the snapshot of a peer if it covers more records than were applied here."""
        with self._lock:
            match records.read_record(value):
                case expression.Result(tag="ok", ok=records.SnapshotRecord() as snapshot):
                    return self._install(snapshot)
                case expression.Result(tag="ok"):
                    return _void("is no snapshot")
                case expression.Result(error=found):
                    return _void(str(found))

    def create_snapshot(self) -> dict[str, typing.Any]:
        """Return a snapshot of the configuration in force, for the log or for a peer."""
        with self._lock:
            return self._state.create_snapshot(self._applied_offset).to_value()

    def list_after(
        self, offset: int, max_bytes: int = MAX_PEER_BYTES
    ) -> expression.Result[tuple[windows.KeptRecord, ...], TooOldError]:
        """Return the records after an offset: at least one, further ones within `max_bytes`."""
        with self._lock:
            if offset + 1 < self._recent.first_offset:
                return expression.Error(TooOldError(self._recent.first_offset))
            return expression.Ok(self._recent.list_after(offset, max_bytes))

    def find_verdict(self, offset: int) -> in_force.Verdict | None:
        """Return the verdict on a recent record, or None if it is not kept or not applied."""
        with self._lock:
            kept = self._recent.find(offset)
            return None if kept is None else kept.verdict

    def find_contract(self, customer: str) -> contract.Contract | None:
        """Return the contract in force of a customer, or None."""
        found = self.find_in_force(customer)
        return None if found is None else found.contract

    def find_in_force(self, customer: str) -> in_force.ContractInForce | None:
        """Return the contract in force of a customer with its offset and author, or None."""
        with self._lock:
            return self._state.contracts.get(customer)

    def list_contracts(self) -> tuple[contract.Contract, ...]:
        """Return every contract in force, sorted by customer."""
        return tuple(item.contract for item in self.list_in_force())

    def list_in_force(self) -> tuple[in_force.ContractInForce, ...]:
        """Return every contract in force with its offset and author, sorted by customer."""
        with self._lock:
            return tuple(item for _, item in sorted(self._state.contracts.items()))

    def find_version(self, model: str) -> in_force.ModelVersion | None:
        """Return the newest weight version of a model, or None if none was announced."""
        with self._lock:
            return self._state.versions.get(model)

    def list_versions(self) -> tuple[in_force.ModelVersion, ...]:
        """Return the newest weight version of every model, sorted by model."""
        with self._lock:
            return tuple(item for _, item in sorted(self._state.versions.items()))

    def find_incarnation(self, customer: str, trainer: str) -> int:
        """Return the highest incarnation of a trainer seen so far; -1 if there was none."""
        with self._lock:
            run = self._state.trainers.get((customer, trainer))
            return in_force.NO_OFFSET if run is None else run.incarnation

    def _create_window(self, first_offset: int) -> windows.RecordWindow:
        return windows.RecordWindow(first_offset, self._max_records, self._max_bytes)

    def _read_next_offset(self) -> int:
        if self._deferred is not None:
            return self._deferred.next_offset
        return self._applied_offset + 1

    def _find_earlier_verdict(self, offset: int) -> in_force.Verdict:
        kept = self._recent.find(offset)
        if kept is None or kept.verdict is None:
            return _ignore("applied before; the verdict is no longer kept")
        return kept.verdict

    def _apply_next(self, kept: windows.KeptRecord) -> in_force.Verdict:
        match records.read_record(kept.value):
            case expression.Result(tag="ok", ok=record):
                verdict = self._state.apply(kept.offset, record)
                self._note_snapshot(kept.offset, record)
            case expression.Result(error=found):
                # Any writer to the log may append an invalid record. An exception would crash
                # every process that reads it, on each restart; a void record has no effect.
                verdict = _void(str(found)[:_MAX_REASON_CHARACTERS])
                self._change_offset = kept.offset
        self._advance_to(kept.offset)
        self._recent.add(dataclasses.replace(kept, verdict=verdict))
        return verdict

    def _defer(
        self, record: windows.KeptRecord, deferred: windows.RecordWindow
    ) -> expression.Result[in_force.Verdict, GapError]:
        """Keep a record that can't be applied yet; if it is a snapshot, try to start from it."""
        if record.offset > deferred.next_offset:
            return expression.Error(GapError(deferred.next_offset, record.offset))
        if record.offset == deferred.next_offset:
            deferred.add(record)
            self._try_snapshot(record, deferred.first_offset)
        if record.offset <= self._applied_offset:
            return expression.Ok(self._find_earlier_verdict(record.offset))
        return expression.Ok(_ignore(_AWAITING_SNAPSHOT))

    def _try_snapshot(self, kept: windows.KeptRecord, first_deferred: int) -> None:
        """Install a snapshot if it covers all records before the first deferred one."""
        match records.read_record(kept.value):
            case expression.Result(tag="ok", ok=records.SnapshotRecord() as snapshot):
                covers_gap = first_deferred - 1 <= snapshot.through < kept.offset
                if covers_gap:
                    self._install(snapshot)
            case _:
                pass

    def _install(self, snapshot: records.SnapshotRecord) -> in_force.Verdict:
        if snapshot.through <= self._applied_offset:
            return _ignore("covers no more than was applied")
        after = state.ConfigurationState.from_snapshot(snapshot)
        if after.size > state.MAX_STATE_BYTES:
            return _void("holds more than can be in force")
        # Items in force are never withdrawn. A snapshot that lacks one was not created from this
        # stream, and installing it would revert accepted records.
        decrease = self._state.find_regression(after)
        if decrease:
            return _void(f"would take back {decrease}")
        self._state = after
        self._change_offset = snapshot.through
        self._advance_to(snapshot.through)
        self._recent = self._create_window(snapshot.through + 1)
        self._apply_deferred()
        return in_force.Verdict(in_force.Decision.ACCEPTED, "", snapshot.through, "")

    def _apply_deferred(self) -> None:
        """Apply the deferred records that now follow; clear them once no record is missing."""
        deferred = self._deferred
        if deferred is None:
            return
        deferred.drop_before(self._applied_offset + 1)
        while deferred.find(self._applied_offset + 1) is not None:
            self._apply_next(deferred.pop_first())
        if deferred.next_offset == self._applied_offset + 1:
            self._deferred = None

    def _note_snapshot(self, offset: int, record: records.Record) -> None:
        if not isinstance(record, records.SnapshotRecord):
            self._change_offset = offset
        elif self._change_offset <= record.through < offset:
            self._snapshot_offset = max(self._snapshot_offset, offset)

    def _advance_to(self, offset: int) -> None:
        detail = f"{self._applied_offset} to {offset}"
        invariants.require(offset > self._applied_offset, "applied-offset-grows", detail)
        self._applied_offset = offset


def _replace_oversized(value: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return a value, or a small placeholder for one that exceeds the size of any valid record."""
    size = in_force.measure_value(value)
    return _OVERSIZED_PLACEHOLDER if size is None or size > records.MAX_RECORD_BYTES else value


def _void(reason: str) -> in_force.Verdict:
    return in_force.Verdict(in_force.Decision.VOID, reason, in_force.NO_OFFSET, "")


def _ignore(reason: str) -> in_force.Verdict:
    return in_force.Verdict(in_force.Decision.IGNORED, reason, in_force.NO_OFFSET, "")
