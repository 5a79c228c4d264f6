"""Contracts: what each customer was promised, and which of them is in force."""

from oleander_contracts import (
    contract,
    differences,
    fold,
    in_force,
    names,
    readers,
    records,
    windows,
)

__all__ = [
    "contract",
    "differences",
    "fold",
    "in_force",
    "names",
    "readers",
    "records",
    "windows",
]
