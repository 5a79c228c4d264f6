"""Calls to backend servers without a sidecar beside them."""

from oleander_direct import calls, directory, routes, servers

__all__ = ["calls", "directory", "routes", "servers"]
