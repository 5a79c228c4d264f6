"""Several front programs on one stand-in of the platform, each behind a relay to the store."""

import http.client
import pathlib
import random
import signal
import tempfile
import threading
import time

import front_programs
import platform_standin
from oleander_standins import relay

_START_SECONDS = 20.0
_STOP_SECONDS = 12.0
_PAUSE_SECONDS = 0.05
_INTERPRETER_SECONDS = 0.2
"""Before the interpreter has read the program's first line, no program can take a signal."""
_ASK_SECONDS = 6.0


class FrontProgram:
    """One program, which may be ended and started again under the same name."""

    def __init__(self, name, folder, store_address):
        self.name = name
        self.relay = relay.Relay(store_address)
        self.front, self.ready = front_programs.find_port(), front_programs.find_port()
        self.output = pathlib.Path(folder) / f"{name}.log"
        self._folder = pathlib.Path(folder) / name
        self._folder.mkdir()
        self.is_frozen = False
        self.process = None
        self.start()

    def start(self):
        settings = front_programs.describe_settings(
            self.name, self.front, self.ready, self.relay.address
        )
        self.process = front_programs.start_front(self._folder, settings, self.output, 0)
        time.sleep(_INTERPRETER_SECONDS)

    def ask(self, method, path, body=b"", request_id="", headers=(), port=None):
        """Return status, headers and body, or nothing where no whole answer came."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", port or self.front, timeout=_ASK_SECONDS
        )
        sent = {
            "Host": "h.example",
            "X-Oleanderdeal-Attempt-Id": request_id,
            "X-Oleanderdeal-Deadline-Ms": "3000",
        } | dict(headers)
        try:
            connection.request(method, path, body, sent)
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def is_ready(self):
        answer = self.ask("GET", "/api/ready", port=self.ready)
        return answer is not None and answer[0] == 200

    def describe(self):
        """Return whether it runs, whether it is ready, and its last lines."""
        return self.name, self.process.poll(), self.is_ready(), self.output.read_text()[-1500:]

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        self.signal(signal.SIGCONT)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(_STOP_SECONDS)
        self.relay.close()


class FrontSite:
    """The stand-in of the platform, engines, services and programs."""

    def __init__(self, seed, fronts=3):
        self.random = random.Random(seed)
        self.store = platform_standin.Store()
        self.engines = [platform_standin.Sampler(f"engine-{n}") for n in range(2)]
        self.services = [platform_standin.Sampler(f"desk-{n}") for n in range(2)]
        self.store.put("keyed.op", "config", platform_standin.describe_configuration(3))
        self._lock = threading.Lock()
        for sampler in (*self.engines, *self.services):
            self.register(sampler)
        self._folder = tempfile.TemporaryDirectory()
        names = [f"front-{n}" for n in range(fronts)]
        self.fronts = [FrontProgram(name, self._folder.name, self.store.address) for name in names]
        self.await_ready()

    def register(self, sampler):
        service = "engines" if sampler in self.engines else "desk"
        content = platform_standin.describe_server(sampler, service)
        self.store.put("keyed.servers", sampler.name, content)

    def replace_server(self, sampler):
        """Give a server another name, as a new start does; old requests to it must not run."""
        self.store.put("keyed.servers", sampler.name, {})
        sampler.name = f"{sampler.name.split('+')[0]}+{self.random.randrange(10**6)}"
        self.register(sampler)

    def pick_front(self):
        with self._lock:
            return self.random.choice(self.fronts)

    def await_ready(self):
        until = time.monotonic() + _START_SECONDS
        while not all(front.is_ready() for front in self.fronts):
            assert time.monotonic() < until, [front.describe() for front in self.fronts]
            time.sleep(_PAUSE_SECONDS)

    def read_logs(self):
        return "".join(front.output.read_text() for front in self.fronts)

    def stop(self):
        for front in self.fronts:
            front.stop()
        for stand in (self.store, *self.engines, *self.services):
            stand.stop()
        self._folder.cleanup()
