"""Random faults of several front programs, their store and their servers."""

import collections
import signal
import threading
import time

import platform_messages

_MOST_PAUSE_SECONDS = 1.2
_LONGEST_FAULT_SECONDS = 2.5
_STOP_SECONDS = 12.0
"""The programs are told to end within 8 s; the rest is for a busy machine."""


class Faults:
    """Draws faults and mends each after its time; several overlap."""

    def __init__(self, site):
        self._site = site
        self.counts = collections.Counter()
        self.problems = []
        self._busy = set()
        self._lock = threading.Lock()
        self._threads = []
        self._kinds = {
            "kill": self._kill,
            "stop": self._stop,
            "freeze": self._freeze,
            "hang up": self._hang_up,
            "cut": lambda front, seconds: self._cut(front, seconds, front.relay.cut),
            "silence": lambda front, seconds: self._cut(front, seconds, self._silence(front)),
            "drop": lambda front, seconds: front.relay.drop_connections(),
            "store down": lambda front, seconds: self._change_store(seconds, is_down=True),
            "store silent": lambda front, seconds: self._change_store(seconds, is_silent=True),
            "store slow": lambda front, seconds: self._change_store(seconds, slow_seconds=0.25),
            "service slow": self._slow_service,
            "answers lost": self._lose_answers,
            "server replaced": self._replace_server,
            "new version": self._name_version,
            "configuration": self._publish,
        }
        self._version = 1
        self._configuration = 3

    def run(self, seconds):
        until = time.monotonic() + seconds
        source = self._site.random
        while time.monotonic() < until:
            kind = source.choice(sorted(self._kinds))
            front = source.choice(self._site.fronts)
            length = source.uniform(0.1, _LONGEST_FAULT_SECONDS)
            thread = threading.Thread(target=self._apply, args=(kind, front, length))
            thread.start()
            self._threads.append(thread)
            time.sleep(source.uniform(0.0, _MOST_PAUSE_SECONDS))
        for thread in self._threads:
            thread.join()

    def _apply(self, kind, front, seconds):
        target = "store" if kind.startswith("store") else front.name
        with self._lock:
            if target in self._busy:
                return
            self._busy.add(target)
        try:
            self._kinds[kind](front, seconds)
            self.counts[kind] += 1
        except Exception as error:
            self.problems.append(f"{kind} of {target}: {error!r}")
        finally:
            with self._lock:
                self._busy.discard(target)

    def _kill(self, front, seconds):
        front.process.kill()
        front.process.wait(_STOP_SECONDS)
        time.sleep(seconds)
        front.start()

    def _stop(self, front, seconds):
        front.signal(signal.SIGTERM)
        code = front.process.wait(_STOP_SECONDS)
        if code != 0:
            self.problems.append(f"{front.name} ended with {code} after SIGTERM")
        front.start()

    def _freeze(self, front, seconds):
        front.signal(signal.SIGSTOP)
        time.sleep(seconds)
        front.signal(signal.SIGCONT)

    def _hang_up(self, front, seconds):
        front.signal(signal.SIGHUP)

    def _cut(self, front, seconds, cut):
        cut()
        time.sleep(seconds)
        front.relay.heal()

    def _silence(self, front):
        return lambda: front.relay.block(self._site.random.choice(["to_server", "to_client"]))

    def _change_store(self, seconds, **changes):
        before = {name: getattr(self._site.store, name) for name in changes}
        for name, value in changes.items():
            setattr(self._site.store, name, value)
        time.sleep(seconds)
        for name, value in before.items():
            setattr(self._site.store, name, value)

    def _slow_service(self, front, seconds):
        service = self._site.random.choice(self._site.services)
        service.event_seconds = 0.5
        time.sleep(seconds)
        service.event_seconds = 0.01

    def _lose_answers(self, front, seconds):
        for sampler in (*self._site.services, *self._site.engines):
            sampler.lost_answers = 3

    def _replace_server(self, front, seconds):
        self._site.replace_server(self._site.random.choice(self._site.services))

    def _name_version(self, front, seconds):
        self._version += 1
        content = {"model": "m", "version": self._version}
        self._site.store.put("keyed.op", "version/m", content)

    def _publish(self, front, seconds):
        self._configuration += 1
        content = platform_messages.describe_configuration(self._configuration)
        self._site.store.put("keyed.op", "config", content)
