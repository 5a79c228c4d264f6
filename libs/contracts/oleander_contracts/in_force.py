"""What the configuration stream put in force, and the verdict on each of its records."""

import dataclasses
import enum
import json
import typing

from oleander_contracts import contract, readers

NO_OFFSET = -1
"""Stands before the first record: nothing is in force, or nothing was applied."""


class Decision(enum.Enum):
    """What became of a record."""

    ACCEPTED = "accepted"
    VOID = "void"
    IGNORED = "ignored"
    """It changes nothing by its nature, or it can't be judged yet."""


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """What became of a record, and who holds what it was about."""

    decision: Decision
    reason: str
    in_force_offset: int
    """The record in force for the same customer, model or trainer, after this one."""
    by: str
    """Who wrote the record in force."""


@dataclasses.dataclass(slots=True, frozen=True)
class ContractInForce:
    """A contract in force."""

    contract: contract.Contract
    offset: int
    by: str

    def to_value(self) -> dict[str, typing.Any]:
        """Return the form it has in a snapshot."""
        document = readers.write_document(self.contract)
        return {"document": document, "offset": self.offset, "by": self.by}


@dataclasses.dataclass(slots=True, frozen=True)
class ModelVersion:
    """The newest weight version of a model."""

    model: str
    version: int
    offset: int
    """The fencing number of orders to load it."""
    uri: str
    by: str

    def to_value(self) -> dict[str, typing.Any]:
        """Return the form it has in a snapshot."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(slots=True, frozen=True)
class TrainerIncarnation:
    """The newest run of a trainer."""

    customer: str
    trainer: str
    incarnation: int
    offset: int
    by: str

    def to_value(self) -> dict[str, typing.Any]:
        """Return the form it has in a snapshot."""
        return dataclasses.asdict(self)


def measure_value(value: typing.Any) -> int | None:
    """Return the bytes of a value as JSON; nothing if it is none or is nested too deep."""
    try:
        return len(json.dumps(value, separators=(",", ":")))
    except (TypeError, ValueError, RecursionError):
        return None
