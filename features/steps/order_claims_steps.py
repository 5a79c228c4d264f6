"""Steps for the processes that claim the leases to order engines; time is simulated."""

import itertools
import types
import unittest.mock

import behave

import virtual_time
from oleander_base import clock
from oleander_leases import lease
from oleander_orders import claimants, order_leases
from oleander_standins import recordlog

_GAP_SECONDS = 3.0
_ROUND_SECONDS = 0.1
_ANNOUNCE_SECONDS = 0.5
"""How often a runner writes a record about its batches."""
_REASSIGN_SECONDS = 2.5
"""How long after a process ended its partitions are dealt to the others."""


class Process:
    """One process: its claims, its leases, and what it knows of the batch index."""

    def __init__(self, site, name, leases):
        self.name = name
        self.client = site.log.create_client()
        self.is_alive = True
        self.is_running = False
        self.is_old_build = False
        self.heard_at = 0.0
        self.index_as_of = 0.0
        self._site = site
        self._known = {}
        self._planner = claimants.ClaimPlanner(name)
        self.group = types.SimpleNamespace(
            is_stopping=False, pause=self._pause, supervise=site.time.start
        )
        self.rights = order_leases.OrderLeases(
            self.client, f"host-{name}", _GAP_SECONDS, leases, self.group
        )

    def work(self):
        while not self.group.is_stopping:
            if not self.client.faults.is_down:
                self._read_index()
            for name, heard_at in self._known.items():
                self._planner.record_runner("m", name, heard_at)
            owned = frozenset(
                item for item, owner in self._site.owners.items() if owner == self.name
            )
            demands = [
                claimants.LeaseDemand(item, frozenset("m"), self._site.is_due)
                for item in self._site.owners
            ]
            claims = self._planner.plan_claims(demands, owned, self.index_as_of)
            if self.is_old_build:
                claims = dict.fromkeys(owned, lease.AT_ONCE)
            self.rights.update_claims(claims)
            self._site.time.sleep(_ROUND_SECONDS)

    def find_tenure(self, server_id):
        held = self.rights.find_lease(server_id) if self.is_alive else None
        return held.find_tenure() if held else None

    def _read_index(self):
        self.index_as_of = clock.read_now()
        if self.is_running and self.index_as_of - self.heard_at >= _ANNOUNCE_SECONDS:
            self.heard_at = self.index_as_of
        self._known = {item.name: item.heard_at for item in self._site.processes.values()}

    def _pause(self, seconds):
        self._site.time.sleep(seconds)
        return not self.group.is_stopping


class Site:
    """The processes, the partitions that the platform deals, and the words of a script."""

    def __init__(self, count, leases):
        self.time = virtual_time.VirtualTime()
        self.log = recordlog.MemoryRecordLog()
        self.is_due = False
        self.tenures = []
        self.processes = {f"p{n}": Process(self, f"p{n}", leases) for n in range(1, count + 1)}
        self.owners = dict.fromkeys(range(leases))
        self._deal()
        self._server_ids = self._choose_servers(leases)
        self._checked = {}
        self._is_over = False

    def run(self, script):
        for process in self.processes.values():
            self.time.start(process.work)
        self.time.start(self._record_tenures)
        try:
            for word in script.split():
                self._do(word)
        finally:
            self._is_over = True
            for process in self.processes.values():
                process.group.is_stopping = True

    def _do(self, word):
        if word.endswith("s") and word[0].isdigit():
            self.time.sleep(float(word[:-1]))
        elif word.startswith("="):
            self._check(word[1:])
        elif word == "due":
            self.is_due = True
        else:
            name, action = word.split(".")
            chosen = self.processes.values() if name == "all" else [self.processes[name]]
            for process in chosen:
                getattr(self, f"_{action}")(process)

    def _runs(self, process):
        process.is_running = True

    def _rests(self, process):
        process.is_running = False

    def _old(self, process):
        process.is_old_build = True

    def _cut(self, process):
        process.client.faults.is_down = True

    def _back(self, process):
        process.client.faults.is_down = False

    def _dies(self, process):
        process.is_alive = process.is_running = False
        process.group.is_stopping = True
        self.time.start(self._reassign)

    def _leaves(self, process):
        process.rights.release_all()
        self._dies(process)

    def _reassign(self):
        self.time.sleep(_REASSIGN_SECONDS)
        self._deal()

    def _deal(self):
        alive = [item.name for item in self.processes.values() if item.is_alive]
        for partition, name in zip(self.owners, itertools.cycle(alive), strict=False):
            self.owners[partition] = name

    def _choose_servers(self, leases):
        """Return the name of a server in each partition."""
        rights = self.processes["p1"].rights
        numbers = range(100 * leases)
        return {rights.find_partition(f"s{number}"): f"s{number}" for number in numbers}

    def _find_holders(self):
        holders = {}
        for partition, server_id in self._server_ids.items():
            for process in self.processes.values():
                tenure = process.find_tenure(server_id)
                if tenure is not None:
                    holders[partition] = process.name
                    fencing = tenure.fencing
                    self.tenures.append((partition, clock.read_now(), process.name, fencing))
        return holders

    def _record_tenures(self):
        while not self._is_over:
            self._find_holders()
            self.time.sleep(_ROUND_SECONDS / 2)

    def _check(self, wanted):
        holders = self._find_holders()
        if wanted == "none":
            assert not holders, holders
            return
        assert holders.keys() == self.owners.keys(), (wanted, holders)
        if wanted == "same":
            assert holders == self._checked, (holders, self._checked)
        elif wanted != "any":
            assert set(holders.values()) == set(wanted.split(",")), (wanted, holders)
        self._checked = holders


@behave.given("{count:d} processes that share {leases:d} leases")
def create_site(context, count, leases):
    context.site = Site(count, leases)


@behave.when("the processes do {script}")
def run_script(context, script):
    time = context.site.time
    with unittest.mock.patch.object(clock, "read_now", time.read_now):
        time.run(context.site.run, script)


def _list_changes(context):
    """Return each record of a lease with the one before it, if its holder changed between."""
    newest = {}
    changes = []
    for partition, *record in context.site.tenures:
        before = newest.get(partition)
        if before is not None and before[1] != record[1]:
            changes.append((before, record))
        newest[partition] = record
    return changes


@behave.then("at no moment two of them could order the same engines within the gap")
def check_gap(context):
    assert context.site.tenures
    for before, after in _list_changes(context):
        assert after[0] - before[0] > _GAP_SECONDS, (before, after)


@behave.then("each later holder had a higher fencing token")
def check_fencing(context):
    for before, after in _list_changes(context):
        assert after[2] > before[2], (before, after)
