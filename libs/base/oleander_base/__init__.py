"""What every library and program shares: time, findings, logs, metrics, tasks, invariants."""

from oleander_base import (
    clock,
    findings,
    http_exchange,
    identifiers,
    invariants,
    json_input,
    log,
    metrics,
    tasks,
)

__all__ = [
    "clock",
    "findings",
    "http_exchange",
    "identifiers",
    "invariants",
    "json_input",
    "log",
    "metrics",
    "tasks",
]
