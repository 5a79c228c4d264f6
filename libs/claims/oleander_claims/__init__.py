"""Who runs a non-repeatable request: decided by the order of records in the log."""

from oleander_claims import book, keys, records, shard

__all__ = ["book", "keys", "records", "shard"]
