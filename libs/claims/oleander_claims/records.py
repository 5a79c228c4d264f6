"""The records of a claims stream, encoded as JSON."""

import dataclasses
import typing

from oleander_base import json_input

_KIND = "claim"


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """A claim of a sidecar incarnation to be the only one to run an attempt of a key."""

    customer: str
    key: str
    digest: str
    """The digest of the request's body, which detects that a key is used for another body."""
    attempt: int
    """1 for the first attempt; a later one needs evidence that the one before it never ran."""
    sidecar: str
    address: str
    incarnation: str
    nonce: str
    """A unique value by which the claimant recognises its own record."""
    evidence: str
    """Why the previous attempt can't have run; empty for the first."""

    def to_value(self) -> dict[str, typing.Any]:
        """Return the record as a JSON object."""
        return {"kind": _KIND, **dataclasses.asdict(self)}


_FIELD_TYPES = {field.name: field.type for field in dataclasses.fields(Claim)}


def read_claim(value: dict[str, typing.Any]) -> Claim | None:
    """Return the claim in a record, or None if it is of another kind or has other fields."""
    if value.get("kind") != _KIND:
        return None
    fields = {name: value.get(name) for name in _FIELD_TYPES}
    if any(type(fields[name]) is not kind for name, kind in _FIELD_TYPES.items()):
        return None
    if not json_input.is_count(fields["attempt"]):
        return None
    return Claim(**typing.cast(dict[str, typing.Any], fields))


@dataclasses.dataclass(slots=True, frozen=True)
class LoggedClaim:
    """A claim with its position in the log."""

    claim: Claim
    shard: int
    offset: int
    read_at: float = dataclasses.field(default=0.0, compare=False)
    """When this process read the record, in monotonic seconds; differs between processes."""
