"""The record types of the configuration stream and their JSON form."""

import abc
import collections.abc
import dataclasses
import enum
import typing

import expression

from oleander_base import findings
from oleander_contracts import contract, fields, in_force, nodes, readers

STREAM = "configuration"

MAX_RECORD_BYTES = 2 * 1024 * 1024
"""A larger record of any kind is void; a snapshot is always smaller, see `state`."""

_MAX_SMALL_RECORD_BYTES = readers.MAX_CONTRACT_BYTES + 4096
_MAX_BY_LENGTH = 200
_MAX_NONCE_LENGTH = 64
_MAX_URI_LENGTH = 512
_MAX_SNAPSHOT_ITEMS = 65536
_MAX_NUMBER = 2**53
_NUMBER = fields.Bounds(0, _MAX_NUMBER)
_OFFSET = fields.Bounds(in_force.NO_OFFSET, _MAX_NUMBER)


class Kind(enum.StrEnum):
    """The known kinds of records; other kinds belong to later releases and are ignored."""

    CONTRACT = "contract"
    VERSION = "version"
    TRAINER = "trainer"
    SNAPSHOT = "snapshot"


class Record(abc.ABC):
    """One record of the stream."""

    @abc.abstractmethod
    def to_value(self) -> dict[str, typing.Any]:
        """Return the JSON form."""


@dataclasses.dataclass(slots=True, frozen=True)
class ContractRecord(Record):
    """A new version of a contract; accepted only if the version at `base` is in force."""

    contract: contract.Contract
    base: int
    """The offset of the version that it replaces; `NO_OFFSET` for a customer's first contract."""
    by: str
    nonce: str = ""
    """Lets the publisher recognise its record in the log if the answer to the append was lost."""

    @property
    def customer(self) -> str:
        """The customer of the contract."""
        return self.contract.customer

    def to_value(self) -> dict[str, typing.Any]:
        """Return the JSON form."""
        return {
            "kind": Kind.CONTRACT.value,
            "customer": self.customer,
            "base": self.base,
            "document": readers.write_document(self.contract),
            "by": self.by,
            "nonce": self.nonce,
        }


@dataclasses.dataclass(slots=True, frozen=True)
class VersionRecord(Record):
    """A weight version that its trainer has put into the weight store."""

    model: str
    version: int
    uri: str
    by: str

    def to_value(self) -> dict[str, typing.Any]:
        """Return the JSON form."""
        return {"kind": Kind.VERSION.value, **dataclasses.asdict(self)}


@dataclasses.dataclass(slots=True, frozen=True)
class TrainerRecord(Record):
    """The start of a new incarnation of a trainer; earlier ones are no longer served."""

    customer: str
    trainer: str
    incarnation: int
    by: str

    def to_value(self) -> dict[str, typing.Any]:
        """Return the JSON form."""
        return {"kind": Kind.TRAINER.value, **dataclasses.asdict(self)}


@dataclasses.dataclass(slots=True, frozen=True)
class SnapshotRecord(Record):
    """The configuration in force after the record at offset `through`."""

    through: int
    contracts: tuple[in_force.ContractInForce, ...]
    versions: tuple[in_force.ModelVersion, ...]
    trainers: tuple[in_force.TrainerIncarnation, ...]

    def to_value(self) -> dict[str, typing.Any]:
        """Return the JSON form."""
        return {
            "kind": Kind.SNAPSHOT.value,
            "through": self.through,
            "contracts": [item.to_value() for item in self.contracts],
            "versions": [item.to_value() for item in self.versions],
            "trainers": [item.to_value() for item in self.trainers],
        }


@dataclasses.dataclass(slots=True, frozen=True)
class UnknownRecord(Record):
    """A record of a kind that this release does not know."""

    kind: str

    def to_value(self) -> dict[str, typing.Any]:
        """Return the kind only, as the other fields were not read."""
        return {"kind": self.kind}


def read_record(value: typing.Any) -> expression.Result[Record, findings.Findings]:
    """Read a record from a JSON value; return all errors if it is invalid."""
    found: list[findings.Finding] = []
    record = _read_value(value, found)
    if found or record is None:
        return expression.Error(findings.Findings(tuple(found)))
    return expression.Ok(record)


def _read_value(value: typing.Any, found: list[findings.Finding]) -> Record | None:
    kind = value.get("kind") if isinstance(value, dict) else None
    if not isinstance(kind, str):
        found.append(findings.Finding("kind", "is missing or no text"))
        return None
    read = _READERS.get(kind)
    if read is None:
        return UnknownRecord(kind)
    most = MAX_RECORD_BYTES if kind == Kind.SNAPSHOT else _MAX_SMALL_RECORD_BYTES
    size = in_force.measure_value(value)
    if size is None or size > most:
        found.append(findings.Finding("record", f"is no JSON of at most {most} bytes"))
        return None
    return read(fields.FieldReader(nodes.JsonNode(value), found), found)


def _read_contract_record(
    reader: fields.FieldReader, found: list[findings.Finding]
) -> ContractRecord:
    customer = reader.read_name("customer")
    record = ContractRecord(
        contract=_read_document(reader, found),
        base=reader.read_integer("base", _OFFSET),
        by=reader.read_text("by", _MAX_BY_LENGTH),
        nonce=reader.read_text("nonce", _MAX_NONCE_LENGTH, default=""),
    )
    if record.customer != customer:
        place = reader.find_place("customer")
        found.append(findings.Finding(place, f"is {customer}, the document's {record.customer}"))
    return record


def _read_document(reader: fields.FieldReader, found: list[findings.Finding]) -> contract.Contract:
    node = reader.read_node("document")
    return readers.read_terms(node or nodes.JsonNode({}, "document"), found)


def _read_version_record(
    reader: fields.FieldReader, found: list[findings.Finding]
) -> VersionRecord:
    return VersionRecord(
        model=reader.read_name("model"),
        version=reader.read_integer("version", _NUMBER),
        uri=reader.read_text("uri", _MAX_URI_LENGTH),
        by=reader.read_text("by", _MAX_BY_LENGTH),
    )


def _read_trainer_record(
    reader: fields.FieldReader, found: list[findings.Finding]
) -> TrainerRecord:
    return TrainerRecord(
        customer=reader.read_name("customer"),
        trainer=reader.read_name("trainer"),
        incarnation=reader.read_integer("incarnation", _NUMBER),
        by=reader.read_text("by", _MAX_BY_LENGTH),
    )


def _read_snapshot_record(
    reader: fields.FieldReader, found: list[findings.Finding]
) -> SnapshotRecord:
    through = reader.read_integer("through", _OFFSET)
    offsets = fields.Bounds(0, max(0, through))
    record = SnapshotRecord(
        through=through,
        contracts=tuple(
            _read_in_force(fields.FieldReader(node, found), found, offsets)
            for node in reader.read_items("contracts", _MAX_SNAPSHOT_ITEMS, required=True)
        ),
        versions=tuple(
            _read_model_version(fields.FieldReader(node, found), offsets)
            for node in reader.read_items("versions", _MAX_SNAPSHOT_ITEMS, required=True)
        ),
        trainers=tuple(
            _read_incarnation(fields.FieldReader(node, found), offsets)
            for node in reader.read_items("trainers", _MAX_SNAPSHOT_ITEMS, required=True)
        ),
    )
    _check_distinct("contracts", [item.contract.customer for item in record.contracts], found)
    _check_distinct("versions", [item.model for item in record.versions], found)
    _check_distinct("trainers", [f"{i.customer}/{i.trainer}" for i in record.trainers], found)
    return record


def _read_in_force(
    reader: fields.FieldReader, found: list[findings.Finding], offsets: fields.Bounds
) -> in_force.ContractInForce:
    return in_force.ContractInForce(
        contract=_read_document(reader, found),
        offset=reader.read_integer("offset", offsets),
        by=reader.read_text("by", _MAX_BY_LENGTH),
    )


def _read_model_version(
    reader: fields.FieldReader, offsets: fields.Bounds
) -> in_force.ModelVersion:
    return in_force.ModelVersion(
        model=reader.read_name("model"),
        version=reader.read_integer("version", _NUMBER),
        offset=reader.read_integer("offset", offsets),
        uri=reader.read_text("uri", _MAX_URI_LENGTH),
        by=reader.read_text("by", _MAX_BY_LENGTH),
    )


def _read_incarnation(
    reader: fields.FieldReader, offsets: fields.Bounds
) -> in_force.TrainerIncarnation:
    return in_force.TrainerIncarnation(
        customer=reader.read_name("customer"),
        trainer=reader.read_name("trainer"),
        incarnation=reader.read_integer("incarnation", _NUMBER),
        offset=reader.read_integer("offset", offsets),
        by=reader.read_text("by", _MAX_BY_LENGTH),
    )


def _check_distinct(place: str, keys: list[str], found: list[findings.Finding]) -> None:
    if len(set(keys)) != len(keys):
        found.append(findings.Finding(place, "name one thing twice"))


_Reader = collections.abc.Callable[[fields.FieldReader, list[findings.Finding]], Record]
_READERS: dict[str, _Reader] = {
    Kind.CONTRACT: _read_contract_record,
    Kind.VERSION: _read_version_record,
    Kind.TRAINER: _read_trainer_record,
    Kind.SNAPSHOT: _read_snapshot_record,
}
