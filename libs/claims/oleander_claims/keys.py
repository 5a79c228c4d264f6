"""
Which claims stream a key belongs to.

A key is protected while its claim lies within the window, a number of records counted back from
the newest record of its stream; a key that is older looks like a new one.
"""

from oleander_base import identifiers


def compute_shard(customer: str, key: str, shards: int) -> int:
    """Return the claims stream of a key; the same on every host."""
    return identifiers.hash_text(f"{customer}/{key}") % shards
