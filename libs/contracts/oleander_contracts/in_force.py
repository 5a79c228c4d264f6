"""Items of the configuration in force, and verdicts on the records that set them."""

import dataclasses
import enum
import json
import typing

from oleander_contracts import contract, readers

NO_OFFSET = -1
"""The offset of "no record": nothing is in force, or no record was applied."""


class Decision(enum.Enum):
    """The effect of a record on the configuration."""

    ACCEPTED = "accepted"
    VOID = "void"
    """The record is invalid or conflicts with the configuration, so it has no effect."""
    IGNORED = "ignored"
    """The record is of a kind that has no effect, or can't be evaluated yet."""


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """The decision on a record, and the record that is in force for the same item."""

    decision: Decision
    reason: str
    in_force_offset: int
    """The offset of the record in force for the same customer, model or trainer afterwards."""
    by: str
    """The author of the record in force."""


@dataclasses.dataclass(slots=True, frozen=True)
class ContractInForce:
    """A contract in force with the offset and the author of its record."""

    contract: contract.Contract
    offset: int
    by: str

    def to_value(self) -> dict[str, typing.Any]:
        """Return the JSON value for a snapshot."""
        document = readers.write_document(self.contract)
        return {"document": document, "offset": self.offset, "by": self.by}


@dataclasses.dataclass(slots=True, frozen=True)
class ModelVersion:
    """The newest weight version of a model."""

    model: str
    version: int
    offset: int
    """The offset of its record, which is also the fencing number of orders to load it."""
    uri: str
    by: str

    def to_value(self) -> dict[str, typing.Any]:
        """Return the JSON value for a snapshot."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(slots=True, frozen=True)
class TrainerIncarnation:
    """The newest incarnation (run) of a trainer."""

    customer: str
    trainer: str
    incarnation: int
    offset: int
    by: str

    def to_value(self) -> dict[str, typing.Any]:
        """Return the JSON value for a snapshot."""
        return dataclasses.asdict(self)


def measure_value(value: typing.Any) -> int | None:
    """
    Return the size in bytes of a value as compact JSON, or None.

    None means that the value can't be encoded as JSON or is nested too deeply.
    """
    try:
        return len(json.dumps(value, separators=(",", ":")))
    except (TypeError, ValueError, RecursionError):
        return None
