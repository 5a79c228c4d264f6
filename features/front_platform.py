"""Runs the front program against a stand-in of its platform, with one engine and one service."""

import tempfile
import time

import front_programs
import platform_messages
import platform_standin

_WAIT_SECONDS = 15.0
_PAUSE_SECONDS = 0.05


class Front(front_programs.FrontProgram):
    """Front program as a process, together with its stand-ins."""

    def __init__(self, window_seconds=0):
        """Start the stand-ins and the program; a window of 0 s turns usage reports off."""
        self.store = platform_standin.Store()
        self.engine = platform_standin.BackendServer("engine-1")
        self.service = platform_standin.BackendServer("desk-1")
        self.store.put("keyed.op", "config", platform_messages.describe_configuration(3))
        for server, service in ((self.engine, "engines"), (self.service, "desk")):
            content = platform_messages.describe_server(server, service)
            self.store.put("keyed.servers", server.name, content)
        self._temporary = tempfile.TemporaryDirectory()
        self.duties = platform_standin.UsageCollector()
        more = ""
        if window_seconds:
            more = front_programs.describe_duties(self.duties.address, window_seconds)
        super().__init__(
            "front-1", self._temporary.name, self.store.address, has_metrics=True, more=more
        )

    def stop(self):
        self.end()
        for standin in (self.store, self.engine, self.service, self.duties):
            standin.stop()
        self._temporary.cleanup()


def wait_until(condition, describe):
    """Wait until a condition holds; past the deadline fail with the text of `describe()`."""
    until = time.monotonic() + _WAIT_SECONDS
    while not condition():
        assert time.monotonic() < until, describe()
        time.sleep(_PAUSE_SECONDS)
