"""Records of the batch index: short records, read by every process, that refer to the content."""

import dataclasses
import typing

import cbor2
import expression

from oleander_base import cbor_input, findings

_ACCEPTED = 1
_FINISHED = 2
_ENDED = 3
_PARTIAL = 4
_TAKEN = 5


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """A submission was accepted; only the first such record of a batch counts."""

    batch_id: str
    host: str
    path: str
    model: str
    step: int
    oldest_version: int
    content_offset: int
    """The offset of the submission's first record in its content partition."""
    content_records: int
    """The number of consecutive records that hold the submission."""
    total: int
    """The number of items."""
    organisation: str = ""
    """The organisation that owns the batch; empty if callers need no API key."""


@dataclasses.dataclass(slots=True, frozen=True)
class Finished:
    """An item has a result; only the first such record of an item counts."""

    batch_id: str
    item_number: int
    content_offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """The trainer needs no further results of a batch, so its items must not be run any more."""

    batch_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Partial:
    """A partial text of an item is stored in the content."""

    batch_id: str
    item_number: int
    content_offset: int
    events: int
    """The number of stream events in the partial text."""


@dataclasses.dataclass(slots=True, frozen=True)
class Taken:
    """A process runs the items of a batch, or hands the batch over for another process to run."""

    batch_id: str
    runner: str
    """The name of the process; empty if it hands the batch over."""


IndexRecord = Accepted | Finished | Ended | Partial | Taken

_TYPES: dict[int, typing.Any] = {
    _ACCEPTED: Accepted,
    _FINISHED: Finished,
    _ENDED: Ended,
    _PARTIAL: Partial,
    _TAKEN: Taken,
}
_KINDS = {kind: number for number, kind in _TYPES.items()}


def encode_record(record: IndexRecord) -> bytes:
    """Encode a record as CBOR: the number of its type, then its fields in order."""
    fields = [getattr(record, field.name) for field in dataclasses.fields(record)]
    return cbor2.dumps([_KINDS[type(record)], *fields])


def decode_record(content: bytes) -> expression.Result[IndexRecord, findings.Finding]:
    """Decode a record; invalid content yields a finding, not an exception."""
    return cbor_input.decode("index", content).bind(_build_record)


def _build_record(content: typing.Any) -> expression.Result[IndexRecord, findings.Finding]:
    try:
        kind, *fields = content
        record = _TYPES[kind](*fields)
    except (ValueError, TypeError, KeyError) as error:
        return expression.Error(findings.Finding("index", f"can't be decoded: {error!r}"[:200]))
    for field in dataclasses.fields(record):
        if type(getattr(record, field.name)) is not field.type:
            return expression.Error(findings.Finding(f"index.{field.name}", "has a wrong type"))
    return expression.Ok(record)
