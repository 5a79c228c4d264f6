"""Leases with fencing tokens, stored in the platform's log."""

from oleander_leases import lease

__all__ = ["lease"]
