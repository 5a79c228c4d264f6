"""Calls to backend servers without a sidecar beside them."""

from oleander_direct import calls, comeback, directory, organisations, routes, servers, shares

__all__ = [
    "calls",
    "comeback",
    "directory",
    "organisations",
    "routes",
    "servers",
    "shares",
]
