"""Records of use in the platform's log."""

import dataclasses
import typing

import cbor2
import expression

from oleander_base import findings

_COUNTED = 1
_REPORTED = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Counted:
    """What one process counted since its last record."""

    source: str
    """One run of a process."""
    sequence: int
    """Grows with each record of a source; one that was appended twice counts once."""
    counts: dict[int, dict[str, int]]
    """By window, then by organisation; below zero for what was taken back."""


@dataclasses.dataclass(slots=True, frozen=True)
class Reported:
    """What the platform is told of a window; only the first record of a window counts."""

    window: int
    counts: dict[str, int]


UsageRecord = Counted | Reported


def encode_record(record: UsageRecord) -> bytes:
    """Return a record's bytes."""
    if isinstance(record, Counted):
        return cbor2.dumps([_COUNTED, record.source, record.sequence, record.counts])
    return cbor2.dumps([_REPORTED, record.window, record.counts])


def decode_record(content: bytes) -> expression.Result[UsageRecord, findings.Finding]:
    """Return the record of some bytes; those of another writer are a finding."""
    try:
        kind, *fields = cbor2.loads(content)
        return expression.Ok(_build(kind, fields))
    except (cbor2.CBORDecodeError, ValueError, TypeError, AttributeError) as error:
        return expression.Error(findings.Finding("usage", f"can't be read: {error!r}"[:200]))


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
