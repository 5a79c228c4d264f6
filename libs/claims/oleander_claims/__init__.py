"""Who runs a non-repeatable request: decided by the order of records in the log."""
