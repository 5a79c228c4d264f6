"""Apply random faults to front programs, their store and their servers."""

import collections
import random
import signal
import threading
import time

import platform_messages

_MAX_PAUSE_SECONDS = 1.2
_MAX_FAULT_SECONDS = 2.5
_MAX_SENT_BYTES = 400
"""More than the head of an answer, less than a stream."""
_EXIT_TIMEOUT_SECONDS = 12.0
"""The settings allow 8 s for a graceful exit; the rest is for a busy machine."""


class Faults:
    """Draw faults and undo each after its duration; faults of different targets overlap.

    `counts` has the number of applied faults by kind, `problems` the faults that raised an error.
    """

    def __init__(self, site):
        self._site = site
        self.counts = collections.Counter()
        self.problems = []
        self._faulty_targets = set()
        self._lock = threading.Lock()
        self._threads = []
        self._actions = {
            "kill": self._kill,
            "stop": self._stop,
            "freeze": self._freeze,
            "hang up": self._reload,
            "cut": lambda front, seconds: self._disturb_link(front, seconds, front.relay.cut),
            "silence": lambda front, seconds: self._disturb_link(
                front, seconds, self._create_one_way_block(front)
            ),
            "drop": lambda front, seconds: front.relay.drop_connections(),
            "store down": lambda front, seconds: self._change_store(seconds, is_down=True),
            "store silent": lambda front, seconds: self._change_store(seconds, is_silent=True),
            "store slow": lambda front, seconds: self._change_store(seconds, slow_seconds=0.25),
            "service slow": self._slow_service,
            "answers lost": self._lose_answers,
            "server replaced": self._replace_server,
            "new version": self._publish_version,
            "configuration": self._publish_configuration,
        }
        self._lengths = random.Random(site.seed)
        self._version_number = 1
        self._configuration_number = 3

    def run(self, seconds):
        """Start faults at random intervals for that time; return when all are undone."""
        deadline = time.monotonic() + seconds
        source = self._site.random
        while time.monotonic() < deadline:
            kind = source.choice(sorted(self._actions))
            front = source.choice(self._site.fronts)
            length = source.uniform(0.1, _MAX_FAULT_SECONDS)
            thread = threading.Thread(target=self._apply, args=(kind, front, length))
            thread.start()
            self._threads.append(thread)
            time.sleep(source.uniform(0.0, _MAX_PAUSE_SECONDS))
        for thread in self._threads:
            thread.join()

    def _apply(self, kind, front, seconds):
        """Apply and undo a fault, or do nothing if its target has another fault."""
        target = "store" if kind.startswith("store") else front.name
        with self._lock:
            if target in self._faulty_targets:
                return
            self._faulty_targets.add(target)
        try:
            self._actions[kind](front, seconds)
            self.counts[kind] += 1
        except Exception as error:
            self.problems.append(f"{kind} of {target}: {error!r}")
        finally:
            with self._lock:
                self._faulty_targets.discard(target)

    def _kill(self, front, seconds):
        front.process.kill()
        front.process.wait(_EXIT_TIMEOUT_SECONDS)
        time.sleep(seconds)
        front.start()

    def _stop(self, front, seconds):
        front.signal(signal.SIGTERM)
        code = front.process.wait(_EXIT_TIMEOUT_SECONDS)
        if code != 0:
            self.problems.append(f"{front.name} exited with code {code} after SIGTERM")
        front.start()

    def _freeze(self, front, seconds):
        front.signal(signal.SIGSTOP)
        time.sleep(seconds)
        front.signal(signal.SIGCONT)

    def _reload(self, front, seconds):
        """Send SIGHUP, upon which the program reloads its settings."""
        front.signal(signal.SIGHUP)

    def _disturb_link(self, front, seconds, cut):
        cut()
        time.sleep(seconds)
        front.relay.heal()

    def _create_one_way_block(self, front):
        """Return a function that blocks the link to the store in a random direction."""
        return lambda: front.relay.block(self._site.random.choice(["to_server", "to_client"]))

    def _change_store(self, seconds, **changes):
        """Set attributes of the store's stand-in and restore them afterwards."""
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
        """Make each server end its next 3 answers early, after it has run the requests."""
        for sampler in (*self._site.services, *self._site.engines):
            sampler.choose_length = lambda: self._lengths.randrange(_MAX_SENT_BYTES)
            sampler.lost_answers = 3

    def _replace_server(self, front, seconds):
        self._site.replace_server(self._site.random.choice(self._site.services))

    def _publish_version(self, front, seconds):
        self._version_number += 1
        content = {"model": "m", "version": self._version_number}
        self._site.store.put("keyed.op", "version/m", content)

    def _publish_configuration(self, front, seconds):
        self._configuration_number += 1
        content = platform_messages.describe_configuration(self._configuration_number)
        self._site.store.put("keyed.op", "config", content)
