"""Claims that decide, by the order of records in the log, who runs a non-repeatable request."""

from oleander_claims import keys, log_health, records, shard, sharded_claims, table

__all__ = ["keys", "log_health", "records", "shard", "sharded_claims", "table"]
