"""What every library and program shares: time, findings, logs, metrics, tasks, invariants."""

from oleander_base import clock, findings, identifiers, invariants, log, metrics, tasks

__all__ = ["clock", "findings", "identifiers", "invariants", "log", "metrics", "tasks"]
