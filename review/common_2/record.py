"""The record of a script case: what was sent, answered and run, with times in seconds."""

import json
import threading
import time


class Record:
    """Writes one JSON line for each event; thread-safe."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self.events = []

    def add(self, event, **fields):
        entry = {"at": round(time.monotonic() - self._started_at, 3), "event": event, **fields}
        with self._lock:
            self.events.append(entry)
            self._file.write(json.dumps(entry, separators=(",", ":")) + "\n")
            self._file.flush()

    def list(self, event, **fields):
        """Return the entries of one kind with these values."""
        with self._lock:
            found = [item for item in self.events if item["event"] == event]
        return [item for item in found if all(item.get(k) == v for k, v in fields.items())]

    def close(self):
        self._file.close()
