"""The record of a run: what was sent, answered and run, with the time since the start."""

import pathlib
import threading
import time


class Record:
    """Appends lines to a file; thread-safe."""

    def __init__(self, path: pathlib.Path) -> None:
        """Create the file, or empty an earlier one."""
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        """Seconds since the record was started."""
        return time.monotonic() - self._started_at

    def write(self, source: str, text: str) -> None:
        """Write one line, with the time and the process or stand-in that it is about."""
        with self._lock:
            self._file.write(f"{self.now:8.3f}  {source:<12} {text}\n")
            self._file.flush()
