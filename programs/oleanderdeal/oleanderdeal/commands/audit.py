"""Command `audit`: prints every change of the configuration, its author and its verdict."""

import collections
import datetime
import typing

import expression

from oleander_contracts import contract, differences, in_force, records
from oleander_platform import logservice
from oleanderdeal import (
    configuration_reader,
    exit_codes,
    operator_context,
    order_audit,
    output,
    retrying_log,
)

_MAX_ROWS = 10_000
_MAX_SHOWN_DIFFERENCES = 3
_RECORD_COLUMNS = ("offset", "time", "by", "what", "base", "verdict", "why")
_ORDER_COLUMNS = ("offset", "time", "host", "model", "version", "fencing", "outcome")
_UNKNOWN_VERDICT = "not known"
_UNKNOWN_VERDICT_REASON = "records before it are gone, or it is too long ago"


def run_audit(context: operator_context.OperatorContext) -> int:
    """Print the audit trail; orders to engines only if no customer was chosen."""
    log = context.open_log(context.start_deadline())
    trail = _AuditTrail(context.settings.customer)
    reader = configuration_reader.ConfigurationReader(log, trail.record_change)
    result = reader.read_to_end()
    context.output.print_table("record", _RECORD_COLUMNS, trail.list_rows(reader))
    if trail.dropped_count:
        context.output.print_note(f"{trail.dropped_count} older records are left out")
    if result.is_error():
        context.output.print_note(f"the log can't be read: {result.error.detail}")
        return exit_codes.ExitCode.UNREACHABLE
    if context.settings.customer:
        return exit_codes.ExitCode.OK
    return _print_orders(context, log)


class _AuditTrail:
    """Keeps the newest `_MAX_ROWS` configuration records; drops and counts older ones."""

    def __init__(self, customer: str) -> None:
        self._customer = customer
        self._records: collections.deque[logservice.Record] = collections.deque()
        self._terms: dict[str, contract.Contract] = {}
        self.dropped_count = 0

    def record_change(self, record: logservice.Record) -> None:
        """Add a record, and drop the oldest one if the limit is exceeded."""
        self._records.append(record)
        if len(self._records) > _MAX_ROWS:
            self._records.popleft()
            self.dropped_count += 1

    def list_rows(self, reader: configuration_reader.ConfigurationReader) -> list[output.Row]:
        """Return a row for each record about the chosen customer, or for all without one."""
        rows = []
        for record in self._records:
            verdict = reader.fold.find_verdict(record.offset)
            row = self._describe_record(record, verdict)
            if self._is_wanted(record):
                rows.append(row)
        return rows

    def _is_wanted(self, record: logservice.Record) -> bool:
        return self._customer in {"", record.value.get("customer")}

    def _describe_record(
        self, record: logservice.Record, verdict: in_force.Verdict | None
    ) -> output.Row:
        value = record.value
        word = _UNKNOWN_VERDICT if verdict is None else verdict.decision.value
        reason = _UNKNOWN_VERDICT_REASON if verdict is None else verdict.reason
        what = self._describe_value(value, verdict)
        by = _read_text(value, "by")
        base = _read_text(value, "base")
        return record.offset, _format_time(record.logged_at_ms), by, what, base, word, reason

    def _describe_value(
        self, value: dict[str, typing.Any], verdict: in_force.Verdict | None
    ) -> str:
        match records.read_record(value):
            case expression.Result(tag="ok", ok=records.ContractRecord() as record):
                return self._describe_contract(record, verdict)
            case expression.Result(tag="ok", ok=record):
                return _describe_record_kind(record)
            case _:
                return f"{_read_text(value, 'kind') or 'a record'} that can't be read"

    def _describe_contract(
        self, record: records.ContractRecord, verdict: in_force.Verdict | None
    ) -> str:
        """Describe the differences from the customer's last accepted contract, if one was read."""
        before = self._terms.get(record.customer)
        if verdict is not None and verdict.decision is in_force.Decision.ACCEPTED:
            self._terms[record.customer] = record.contract
        if before is None:
            return f"contract {record.customer}"
        changes = differences.list_differences(before, record.contract)
        shown = "; ".join(str(change) for change in changes[:_MAX_SHOWN_DIFFERENCES])
        more = len(changes) - _MAX_SHOWN_DIFFERENCES
        return f"contract {record.customer}: {shown}{f'; {more} more' if more > 0 else ''}"


def _describe_record_kind(record: records.Record) -> str:
    match record:
        case records.VersionRecord():
            return f"version {record.version} of {record.model}"
        case records.TrainerRecord():
            return f"incarnation {record.incarnation} of {record.customer}'s {record.trainer}"
        case records.SnapshotRecord():
            return f"snapshot through {record.through}"
        case records.UnknownRecord():
            return f"{record.kind}, a kind of a later release"
    return "a record"


def _print_orders(context: operator_context.OperatorContext, log: retrying_log.RetryingLog) -> int:
    """Print the orders to engines, oldest first; a stream without any records is no error."""
    rows: collections.deque[output.Row] = collections.deque(maxlen=_MAX_ROWS)
    offset = 0
    while True:
        match log.read(order_audit.STREAM, offset):
            case expression.Result(tag="ok", ok=page):
                rows.extend(_format_order(record) for record in page.records)
            case expression.Result(error=error):
                context.output.print_note(f"the orders can't be read: {error.detail}")
                return exit_codes.ExitCode.UNREACHABLE
        if not page.records or page.records[-1].offset + 1 >= page.next_offset:
            break
        offset = page.records[-1].offset + 1
    context.output.print_table("order", _ORDER_COLUMNS, rows)
    return exit_codes.ExitCode.OK


def _format_order(record: logservice.Record) -> output.Row:
    fields = [_read_text(record.value, name) for name in _ORDER_COLUMNS[2:]]
    return record.offset, _format_time(record.logged_at_ms), *fields


def _read_text(value: dict[str, typing.Any], name: str) -> str:
    found = value.get(name, "")
    return str(found) if isinstance(found, str | int) else ""


def _format_time(milliseconds: int) -> str:
    """Format Unix milliseconds as UTC for display; a number out of range is shown as it is."""
    try:
        moment = datetime.datetime.fromtimestamp(milliseconds / 1000, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return str(milliseconds)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{milliseconds % 1000:03d}Z"
