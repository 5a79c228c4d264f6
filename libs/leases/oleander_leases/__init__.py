"""Leases with fencing numbers, kept in the platform's log."""

from oleander_leases import lease

__all__ = ["lease"]
