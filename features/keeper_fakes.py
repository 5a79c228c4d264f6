"""A version keeper of a test, whose rights and batches are faked."""

import types

from oleander_base import clock
from oleander_leases import lease
from oleanderdeal import version_keeper

_TENURE_SECONDS = 5.0


def create_keeper(known, owned_ids, caller):
    """Return a keeper that has the right to order some servers and knows of no batches."""
    held = types.SimpleNamespace(
        want=lambda ids, dealt: None,
        held=len(owned_ids),
        find_right=lambda server_id: _find_right(owned_ids, server_id),
    )
    owned = types.SimpleNamespace(partitions=frozenset())
    kept = types.SimpleNamespace(index=types.SimpleNamespace(list_open=list))
    return version_keeper.VersionKeeper(known, held, owned, kept, caller, None)


def _find_right(owned_ids, server_id):
    if server_id not in owned_ids:
        return None
    tenure = lease.Tenure(1, clock.start_deadline(_TENURE_SECONDS))
    return types.SimpleNamespace(name=server_id, find_tenure=lambda: tenure)
