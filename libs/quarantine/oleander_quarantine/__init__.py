"""Quarantine of requests and weights that repeatedly crash backend servers."""

from oleander_quarantine import ledger, records

__all__ = ["ledger", "records"]
