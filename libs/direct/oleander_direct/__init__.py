"""Calls to backend servers without a sidecar beside them."""

from oleander_direct import (
    call_outcomes,
    calls,
    comeback,
    crash_guard,
    directory,
    organisations,
    routes,
    servers,
    shares,
)

__all__ = [
    "call_outcomes",
    "calls",
    "comeback",
    "crash_guard",
    "directory",
    "organisations",
    "routes",
    "servers",
    "shares",
]
