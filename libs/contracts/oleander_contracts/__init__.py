"""Customer contracts, and the configuration stream that decides which contract is in force."""

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
