"""The records of a claims stream."""

import dataclasses
import typing

_KIND = "claim"


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """A statement that one sidecar incarnation, and no other, may run a key's attempt."""

    customer: str
    key: str
    digest: str
    """Of the request's body, so that a key used for another body is noticed."""
    attempt: int
    """1 for the first; a later one needs evidence that the one before it never ran."""
    sidecar: str
    address: str
    incarnation: str
    nonce: str
    """Tells the claimant's own record from another's."""
    evidence: str
    """Why the attempt before can't have run; empty for the first."""

    def to_value(self) -> dict[str, typing.Any]:
        """Return the record's JSON form."""
        return {"kind": _KIND, **dataclasses.asdict(self)}


_FIELD_TYPES = {field.name: field.type for field in dataclasses.fields(Claim)}


def read_claim(value: dict[str, typing.Any]) -> Claim | None:
    """Return the claim in a record, or nothing where another kind of record stands."""
    if value.get("kind") != _KIND:
        return None
    fields = {name: value.get(name) for name in _FIELD_TYPES}
    if any(type(fields[name]) is not kind for name, kind in _FIELD_TYPES.items()):
        return None
    return Claim(**typing.cast(dict[str, typing.Any], fields))


@dataclasses.dataclass(slots=True, frozen=True)
class LoggedClaim:
    """A claim and where it stands in its stream."""

    claim: Claim
    shard: int
    offset: int
    read_at: float = dataclasses.field(default=0.0, compare=False)
    """When this process read it, in monotonic seconds; says only how fresh it is here."""
