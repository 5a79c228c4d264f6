"""Utilities shared by all libraries and programs: time, logs, metrics, HTTP, tasks, checks."""

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
