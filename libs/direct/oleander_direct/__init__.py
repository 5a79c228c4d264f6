"""Calls to backend servers without a sidecar beside them."""

from oleander_direct import calls, comeback, directory, routes, servers

__all__ = ["calls", "comeback", "directory", "routes", "servers"]
