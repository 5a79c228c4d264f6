"""Run several front programs on a stand-in for the platform, each with a relay to its store."""

import http.client
import random
import tempfile
import threading
import time

import front_programs
import platform_messages
import platform_standin
from oleander_standins import relay

_READY_TIMEOUT_SECONDS = 20.0
_POLL_SECONDS = 0.05
_RESTART_SECONDS = 0.4
"""Delay from the crash of a server on a fatal request to its restart."""
_INTERPRETER_START_SECONDS = 0.2
"""
Time until the interpreter runs the program.

Before that a signal ends the process instead of reaching the program's handlers.
"""


class RelayedProgram(front_programs.FrontProgram):
    """A program that reaches the store through a relay, so that the link can be cut."""

    def __init__(self, name, folder, store_address):
        self.relay = relay.Relay(store_address)
        super().__init__(name, folder, self.relay.address)

    def start(self):
        super().start()
        time.sleep(_INTERPRETER_START_SECONDS)

    def try_ask(self, *arguments, **named):
        """Return status, headers and body, or None if no complete answer arrives."""
        try:
            return self.ask(*arguments, **named)
        except (OSError, http.client.HTTPException):
            return None

    def end(self):
        super().end()
        self.relay.close()


class FrontSite:
    """The stand-in for the platform, the engines and services, and the front programs."""

    def __init__(self, seed, fronts=3, services=2, engines=2):
        self.seed = seed
        self.random = random.Random(seed)
        self.store = platform_standin.Store()
        self.engines = [platform_standin.BackendServer(f"engine-{n}") for n in range(engines)]
        self.services = [platform_standin.BackendServer(f"desk-{n}") for n in range(services)]
        self.store.put("keyed.op", "config", platform_messages.describe_configuration(3))
        self._lock = threading.Lock()
        for sampler in (*self.engines, *self.services):
            sampler.on_ended = self._schedule_restart
            self.register(sampler)
        self._folder = tempfile.TemporaryDirectory()
        names = [f"front-{n}" for n in range(fronts)]
        self.fronts = [
            RelayedProgram(name, self._folder.name, self.store.address) for name in names
        ]
        self.await_ready()

    def register(self, sampler):
        """Publish the address of an engine or service in the store."""
        service = "engines" if sampler in self.engines else "desk"
        content = platform_messages.describe_server(sampler, service)
        self.store.put("keyed.servers", sampler.name, content)

    def replace_server(self, sampler):
        """Give a server a new name, as a restart does; requests to the old name must not run."""
        self.store.put("keyed.servers", sampler.name, {})
        sampler.name = f"{sampler.name.split('+')[0]}+{self.random.randrange(10**6)}"
        self.register(sampler)

    def _schedule_restart(self, sampler):
        """Restart a crashed server after a pause, without blocking the thread it crashed in."""
        timer = threading.Timer(_RESTART_SECONDS, self._restart_server, (sampler,))
        timer.daemon = True
        timer.start()

    def _restart_server(self, sampler):
        sampler.start_again()
        self.replace_server(sampler)

    def pick_front(self):
        with self._lock:
            return self.random.choice(self.fronts)

    def await_ready(self):
        """Wait until all programs are ready; fail with their states after a time limit."""
        deadline = time.monotonic() + _READY_TIMEOUT_SECONDS
        while not all(front.is_ready() for front in self.fronts):
            assert time.monotonic() < deadline, [front.describe() for front in self.fronts]
            time.sleep(_POLL_SECONDS)

    def read_logs(self):
        return "".join(front.output.read_text() for front in self.fronts)

    def stop(self):
        for front in self.fronts:
            front.end()
        for stand_in in (self.store, *self.engines, *self.services):
            stand_in.stop()
        self._folder.cleanup()
