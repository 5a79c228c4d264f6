"""
The mapping of idempotency keys to claim shards.

A key is protected against a second run while its claim lies within the window, which is a fixed
number of the newest records of the shard's stream. A key whose claim is older is treated as new.
"""

from oleander_base import identifiers


def compute_shard(customer: str, key: str, shards: int) -> int:
    """Return the shard of a key, which is the same on every host."""
    return identifiers.hash_text(f"{customer}/{key}") % shards
