"""Usage records in the platform's log, encoded as CBOR."""

import dataclasses
import typing

import cbor2
import expression

from oleander_base import cbor_input, findings, json_input

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

    @property
    def newest_window(self) -> int:
        """The newest window of the counts; 0 if there are none."""
        return max(self.counts, default=0)


@dataclasses.dataclass(slots=True, frozen=True)
class Reported:
    """The report of a window to the platform; only the first record of a window is valid."""

    window: int
    counts: dict[str, int]

    @property
    def newest_window(self) -> int:
        """The window of the report."""
        return self.window


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
    return cbor_input.decode("usage", content).bind(_build)


def _group_counts(counts: list[tuple[int, str, int]]) -> dict[int, dict[str, int]]:
    windows: dict[int, dict[str, int]] = {}
    for window, name, count in counts:
        windows.setdefault(window, {})[name] = count
    return windows


def _build(fields: typing.Any) -> expression.Result[UsageRecord, findings.Finding]:
    match fields:
        case [kind, str(source), int(sequence), dict(counts)] if kind == _COUNTED:
            if all(_is_window(window, names) for window, names in counts.items()):
                return expression.Ok(Counted(source, sequence, counts))
        case [kind, window, names] if kind == _REPORTED:
            if _is_window(window, names):
                return expression.Ok(Reported(window, names))
    return expression.Error(findings.Finding("usage", "has other fields"))


def _is_window(window: typing.Any, names: typing.Any) -> bool:
    """Return whether a parsed window is a number and its counts are those of organisations."""
    return (
        json_input.is_count(window)
        and isinstance(names, dict)
        and all(isinstance(name, str) for name in names)
        and all(map(_is_sum, names.values()))
    )


def _is_sum(count: typing.Any) -> bool:
    return type(count) is int and abs(count) <= json_input.MAX_INTEGER
