"""
Idempotency keys: the caller's own, and issued ones that say how old they are.

A key is protected while its claim lies within the window, a number of records counted back from
the newest record of its stream. A caller's own key that is older looks like a new one. An issued
key carries the offset at which it was issued, so that every process refuses it once it is older,
with no clock involved.
"""

import dataclasses
import re

from oleander_base import identifiers

_ISSUED = re.compile(r"k1\.([0-9]{1,15})\.([0-9a-f]{16})")


@dataclasses.dataclass(slots=True, frozen=True)
class KeyPlace:
    """Where a key's claims are written, and since when it can exist."""

    shard: int
    issued_offset: int | None
    """No claim for the key can stand before it; nothing for a caller's own key."""


def find_shard(customer: str, name: str, shards: int) -> int:
    """Return the claims stream of a key; the same on every host."""
    return identifiers.hash_text(f"{customer}/{name}") % shards


def find_place(customer: str, key: str, shards: int) -> KeyPlace:
    """Return where a key belongs."""
    issued = _ISSUED.fullmatch(key)
    if issued is None:
        return KeyPlace(find_shard(customer, key, shards), None)
    return KeyPlace(find_shard(customer, issued[2], shards), int(issued[1]))


def write_issued_key(offset: int, name: str) -> str:
    """Return the key that was issued when its stream ended at an offset."""
    return f"k1.{offset}.{name}"
