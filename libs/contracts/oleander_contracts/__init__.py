"""Contracts: what each customer was promised, and which of them is in force."""

from oleander_contracts import contract

__all__ = ["contract"]
