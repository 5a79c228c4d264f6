"""A version keeper for tests, with fake leases and without batches."""

import types

from oleander_base import clock
from oleander_direct import crash_guard
from oleander_leases import lease
from oleander_orders import claimants, load_guard
from oleander_quarantine import ledger
from oleanderdeal import version_reconciler

_SEED = 3
_TENURE_SECONDS = 5.0


class SharedLedgers(crash_guard.CrashPublisher):
    """Publishes crashes to the ledgers of all processes at once."""

    def __init__(self):
        self.ledgers = []

    def publish(self, crash):
        for item in self.ledgers:
            item.record_crash(crash.key, crash.was_alone)

    def withdraw(self, keys):
        for item in self.ledgers:
            for key in keys:
                item.remove_crash(key)


def run_at_once(work):
    """Run the calls to a server before the next server is called."""
    work()


def create_keeper(known, owned_ids, caller, shared, start=run_at_once):
    """Return a keeper that holds the leases of some servers and has no batches."""
    crashes = ledger.CrashLedger(_SEED, lambda: clock.read_now())
    shared.ledgers.append(crashes)
    loads = load_guard.LoadGuard(known, crashes, shared, lambda: clock.read_now())
    held = types.SimpleNamespace(
        update_claims=lambda terms: None,
        find_partition=lambda server_id: 0,
        held_count=len(owned_ids),
        find_lease=lambda server_id: _find_lease(owned_ids, server_id),
    )
    owned = types.SimpleNamespace(partitions=frozenset())
    index = types.SimpleNamespace(list_open=list, complete_as_of=0.0)
    kept = types.SimpleNamespace(index=index)
    claims = claimants.ClaimPlanner("e")
    group = types.SimpleNamespace(start=start)
    return version_reconciler.VersionReconciler(
        known, held, claims, owned, kept, caller, group, loads
    )


def _find_lease(owned_ids, server_id):
    if server_id not in owned_ids:
        return None
    tenure = lease.Tenure(1, clock.start_deadline(_TENURE_SECONDS))
    return types.SimpleNamespace(name=server_id, find_tenure=lambda: tenure)


def allow_any_server(server):
    """Allow orders to a server."""
    return True


def find_no_limit(listed, model, version):
    """Return no limit on the servers that may load a version."""
