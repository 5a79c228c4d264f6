"""Records of the index: small ones that every process reads, which point into the content."""

import dataclasses
import typing

import cbor2
import expression

from oleander_base import findings

_ACCEPTED = 1
_FINISHED = 2
_ENDED = 3
_PARTIAL = 4
_TAKEN = 5


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """A submission was accepted; the first record of a batch is the one that counts."""

    batch_id: str
    host: str
    path: str
    model: str
    step: int
    oldest_version: int
    content_offset: int
    content_records: int
    """Over how many records in a row the submission is spread."""
    total: int
    """How many items it has."""
    organisation: str = ""
    """Whose batch it is; empty where nobody needs a key."""


@dataclasses.dataclass(slots=True, frozen=True)
class Finished:
    """An item has its result; the first record of an item is the one that counts."""

    batch_id: str
    item_number: int
    content_offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """The trainer wants no more of a batch."""

    batch_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Partial:
    """The start of an item's text stands in the content."""

    batch_id: str
    item_number: int
    content_offset: int
    events: int


@dataclasses.dataclass(slots=True, frozen=True)
class Taken:
    """A process runs the items of a batch, or, with an empty name, hands it to whoever is next."""

    batch_id: str
    runner: str


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
    """Return a record's bytes."""
    fields = [getattr(record, field.name) for field in dataclasses.fields(record)]
    return cbor2.dumps([_KINDS[type(record)], *fields])


def decode_record(content: bytes) -> expression.Result[IndexRecord, findings.Finding]:
    """Return the record of some bytes; those of another writer are a finding."""
    try:
        kind, *fields = cbor2.loads(content)
        record = _TYPES[kind](*fields)
    except (cbor2.CBORDecodeError, ValueError, TypeError, KeyError) as error:
        return expression.Error(findings.Finding("index", f"can't be read: {error!r}"[:200]))
    for field in dataclasses.fields(record):
        if type(getattr(record, field.name)) is not field.type:
            return expression.Error(findings.Finding(f"index.{field.name}", "has a wrong type"))
    return expression.Ok(record)
