"""Contracts: what each customer was promised, and which of them is in force."""

from oleander_contracts import contract, names, readers

__all__ = ["contract", "names", "readers"]
