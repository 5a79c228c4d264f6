"""Requests that are kept from backend servers because servers ended under them."""

from oleander_quarantine import ledger, records

__all__ = ["ledger", "records"]
