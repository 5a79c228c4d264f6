"""Usage records in the platform's log, encoded as CBOR."""

import dataclasses
import typing

import cbor2
import expression

from oleander_base import findings

_COUNTED = 1
_REPORTED = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Counted:
    """The requests that one process counted since its previous record."""

    source: str
    """The process incarnation that counted them."""
    sequence: int
    """Increases with each record of a source, so that one appended twice is counted once."""
    counts: dict[int, dict[str, int]]
    """The counts by window, then by organisation; negative for requests that were undone."""


@dataclasses.dataclass(slots=True, frozen=True)
class Reported:
    """The report of a window to the platform; only the first record of a window is valid."""

    window: int
    counts: dict[str, int]


UsageRecord = Counted | Reported


def encode_record(record: UsageRecord) -> bytes:
    """Encode a record as CBOR."""
    if isinstance(record, Counted):
        return cbor2.dumps([_COUNTED, record.source, record.sequence, record.counts])
    return cbor2.dumps([_REPORTED, record.window, record.counts])


def divide_record(record: Counted, max_bytes: int) -> list[Counted]:
    """
    Divide a record into ones of at most `max_bytes` each, with consecutive sequence numbers.

    A record of a single count is not divided, whatever its size.
    """
    counts = [
        (window, name, count)
        for window, names in record.counts.items()
        for name, count in names.items()
    ]
    if len(counts) <= 1 or len(encode_record(record)) <= max_bytes:
        return [record]
    divided: list[Counted] = []
    half = len(counts) // 2
    for part in (counts[:half], counts[half:]):
        sequence = record.sequence + len(divided)
        smaller = Counted(record.source, sequence, _group_counts(part))
        divided += divide_record(smaller, max_bytes)
    return divided


def decode_record(content: bytes) -> expression.Result[UsageRecord, findings.Finding]:
    """Decode a record; content of another form is a finding."""
    try:
        kind, *fields = cbor2.loads(content)
        return expression.Ok(_build(kind, fields))
    except (cbor2.CBORDecodeError, ValueError, TypeError, AttributeError) as error:
        return expression.Error(findings.Finding("usage", f"can't be read: {error!r}"[:200]))


def _group_counts(counts: list[tuple[int, str, int]]) -> dict[int, dict[str, int]]:
    windows: dict[int, dict[str, int]] = {}
    for window, name, count in counts:
        windows.setdefault(window, {})[name] = count
    return windows


def _build(kind: int, fields: list[typing.Any]) -> UsageRecord:
    if kind == _COUNTED:
        source, sequence, counts = fields
        windows = {int(window): _read_counts(names) for window, names in counts.items()}
        return Counted(str(source), int(sequence), windows)
    if kind == _REPORTED:
        window, names = fields
        return Reported(int(window), _read_counts(names))
    raise ValueError(f"kind {kind!r}")


def _read_counts(names: dict[typing.Any, typing.Any]) -> dict[str, int]:
    return {str(name): int(count) for name, count in names.items()}
