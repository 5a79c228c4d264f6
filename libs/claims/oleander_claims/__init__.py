"""Who runs a non-repeatable request: decided by the order of records in the log."""

from oleander_claims import book, keys, log_health, records, shard, table

__all__ = ["book", "keys", "log_health", "records", "shard", "table"]
