"""Calls to backend servers without a sidecar beside them."""

from oleander_direct import (
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
    "calls",
    "comeback",
    "crash_guard",
    "directory",
    "organisations",
    "routes",
    "servers",
    "shares",
]
