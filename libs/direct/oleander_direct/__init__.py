"""Calls from an entry straight to backend servers that have no sidecar."""

from oleander_direct import (
    call_outcomes,
    calls,
    crash_guard,
    directory,
    fair_share,
    organisations,
    retry_advice,
    routes,
    servers,
)

__all__ = [
    "call_outcomes",
    "calls",
    "crash_guard",
    "directory",
    "fair_share",
    "organisations",
    "retry_advice",
    "routes",
    "servers",
]
