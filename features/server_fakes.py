"""Fake callers of backend servers, whose behaviour each test chooses."""

import threading
import time

import expression

from oleander_direct import routes, servers

_OK_SECONDS = 0.01
_SLOW_SECONDS = 0.3
_KINDS = {"idempotent": routes.RouteKind.IDEMPOTENT, "once": routes.RouteKind.ONCE}


class FailingCaller(servers.ServerCaller):
    """Fails the test on every call; a subclass overrides the calls that its test expects."""

    def call(self, server, request, deadline, is_cancelled):
        raise AssertionError

    def generate(self, server, request, deadline, is_cancelled):
        raise AssertionError

    def read_state(self, server, deadline):
        raise AssertionError

    def order(self, server, order, deadline):
        raise AssertionError

    def has_idle(self, address):
        """Return False, since there are no connections."""
        return False

    def close_idle(self, address):
        """Do nothing, since there are no connections."""


class FakeCaller(FailingCaller):
    """Answers calls by the behaviour stated for each server, and records which ones ran."""

    def __init__(self, behaviours):
        self.behaviours = behaviours
        self.ran = []
        self.on_start = lambda: None
        self.on_end = lambda server, behaviour: None
        self.cancelled = threading.Event()

    def call(self, server, request, deadline, is_cancelled):
        behaviour = self.behaviours[server.server_id]
        if behaviour == "refuses":
            return expression.Error(servers.CallFailure("refused", False))
        if behaviour in {"full", "other"}:
            return expression.Ok(_answer(503, behaviour == "full", behaviour == "other"))
        self.ran.append(server.server_id)
        self.on_start()
        if behaviour == "lost":
            return expression.Error(servers.CallFailure("reset", True))
        if behaviour.startswith("ends"):
            self.on_end(server, behaviour)
            return expression.Error(servers.CallFailure("reset", True, server_ended=True))
        if behaviour.isdigit():
            return expression.Ok(_answer(int(behaviour)))
        if behaviour == "fails":
            return expression.Ok(_answer(500))
        if behaviour == "silent":
            return self._wait(deadline, is_cancelled)
        time.sleep(_SLOW_SECONDS if behaviour == "slow" else _OK_SECONDS)
        return expression.Ok(_answer(200))

    def _wait(self, deadline, is_cancelled):
        while not deadline.is_past and not is_cancelled():
            time.sleep(_OK_SECONDS)
        self.cancelled.set()
        return expression.Error(servers.CallFailure("no answer", True, is_cancelled()))


def _answer(status, did_not_run=False, is_other=False):
    return servers.CallAnswer(status, (), b"", did_not_run, is_other, "stamp")


def build_route(kind, max_servers):
    """Return a route of a kind whose requests may each be sent to `max_servers` servers."""
    share = (routes.Share("desk", 1),)
    kind = _KINDS[kind]
    return routes.Route("r", "h", "/", kind, 5000, 150, 0, share, max_servers, False, False, 0, 0)
