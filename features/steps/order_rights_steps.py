"""Steps for the right to order; time is simulated."""

import contextlib
import unittest.mock

import behave

from oleander_base import clock
from oleander_leases import lease
from oleander_standins import recordlog

_TOPIC = "leases"
_GAP_SECONDS = 3.0
_LOOK_SECONDS = 0.05


class Holders:
    """Several processes that want the right, on one simulated clock."""

    def __init__(self, names):
        self.now = 1000.0
        self._log = recordlog.MemoryRecordLog()
        self._clients = {name: self._log.create_client() for name in names}
        self._rights = {
            name: lease.FencedLease(client, _TOPIC, name, _GAP_SECONDS)
            for name, client in self._clients.items()
        }
        self.permissions = []
        self._actions = {
            "down": lambda name: setattr(self._clients[name].faults, "is_down", True),
            "up": lambda name: setattr(self._clients[name].faults, "is_down", False),
            "lost": lambda name: setattr(self._clients[name].faults, "lost_answers", 1),
            "late": lambda name: setattr(self._clients[name].faults, "late_appends", 1),
            "release": lambda name: self._rights[name].release(),
            "restart": self._restart,
        }

    @contextlib.contextmanager
    def simulate(self):
        with unittest.mock.patch.object(clock, "read_now", lambda: self.now):
            yield

    def act(self, word):
        if word == "late":
            for client in self._clients.values():
                client.apply_late()
        elif word.endswith("s") and word[:-1].isdigit():
            self._pass_time(int(word[:-1]))
        elif "." in word:
            name, action = word.split(".")
            self._actions[action](name)
        elif word.endswith("+"):
            self._rights[word[0]].acquire_or_renew(0)
            self._look()
        else:
            self._look()
            may_order = self._rights[word[0]].find_tenure() is not None
            assert may_order == word.endswith("?"), (word, self.now)

    def _restart(self, name):
        self._rights[name] = lease.FencedLease(self._clients[name], _TOPIC, name, _GAP_SECONDS)

    def _pass_time(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += _LOOK_SECONDS
            self._look()

    def _look(self):
        """Note who may order now: it could order at any of these moments."""
        for name, held in self._rights.items():
            tenure = held.find_tenure()
            if tenure is not None:
                self.permissions.append((self.now, name, tenure.fencing_number, held.name))


@behave.given("the order holders {names}")
def create_holders(context, names):
    context.holders = Holders(names.split())


@behave.when("the holders do {script}")
def act_holders(context, script):
    with context.holders.simulate():
        for word in script.split():
            context.holders.act(word)


@behave.then("no two holders could order within the gap")
def check_gap(context):
    assert context.holders.permissions
    for earlier, later in zip(
        context.holders.permissions, context.holders.permissions[1:], strict=False
    ):
        if earlier[1] != later[1]:
            assert later[0] - earlier[0] > _GAP_SECONDS, (earlier, later)


@behave.then("each holder has a higher fencing token than the one before")
def check_fencing(context):
    for earlier, later in zip(
        context.holders.permissions, context.holders.permissions[1:], strict=False
    ):
        if earlier[3] == later[3]:
            assert earlier[2] == later[2], (earlier, later)
        else:
            assert earlier[2] < later[2], (earlier, later)
