"""Who runs a non-repeatable request: decided by the order of records in the log."""

from oleander_claims import book, keys, records, shard, table

__all__ = ["book", "keys", "records", "shard", "table"]
