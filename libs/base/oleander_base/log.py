"""The log of the process: one line per event, rate-limited for recurring failures."""

import json
import logging
import queue
import sys
import threading
import traceback
import typing

import loguru

from oleander_base import clock

logger = loguru.logger

_REPEAT_INTERVAL_SECONDS = 10.0
_MAX_TRACKED_EVENTS = 1000
_MAX_PENDING_LINES = 2000
"""The maximum number of lines queued for writing; further ones are dropped and counted."""
_MAX_TRACEBACK_CHARACTERS = 2000


class _RepeatLimiter:
    """Admits each event at most once in ten seconds; tracks 1000 events, evicting the oldest."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._next_at: dict[str, float] = {}

    def try_acquire(self, event: str) -> bool:
        """Return whether the event may be logged now, and if so block it for the interval."""
        now = clock.read_now()
        with self._lock:
            if self._next_at.get(event, 0.0) > now:
                return False
            while len(self._next_at) >= _MAX_TRACKED_EVENTS:
                self._next_at.pop(next(iter(self._next_at)))
            self._next_at[event] = now + _REPEAT_INTERVAL_SECONDS
            return True


_limiter = _RepeatLimiter()


class _LibraryHandler(logging.Handler):
    """Forwards log records of libraries as rate-limited single lines without tracebacks."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the first line of the message, up to 200 characters, as a warning."""
        warn_bounded(f"library-{record.name}", record.getMessage().splitlines()[0][:200])


def configure_log(level: str, as_json: bool, process: str) -> None:
    """Log to standard error, as text or JSON, and include warnings of libraries."""
    logger.remove()
    logger.configure(extra={"process": process})
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True, backtrace=False, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=_format_line, backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)


def configure_stdout_log(level: str, process: str) -> None:
    """Log to standard output, one JSON object per line, and include warnings of libraries."""
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(_LineWriter(process).enqueue, level=level, format="{message}", backtrace=False)
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)


class _LineWriter:
    """
    Writes lines on its own thread; at most 2000 are queued, further ones are dropped and counted.

    The reader of standard output may stop reading. If the logging threads wrote to it themselves,
    they would block in the middle of a request and with locks held.
    """

    def __init__(self, process: str) -> None:
        self._process = process
        self._pending: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._dropped_count = 0
        threading.Thread(target=self._write, name="log", daemon=True).start()

    def enqueue(self, message: "loguru.Message") -> None:
        """Queue a line, or count it as dropped if the queue is full."""
        if self._pending.qsize() >= _MAX_PENDING_LINES:
            self._dropped_count += 1
            return
        self._pending.put(_format_json(message.record))

    def _write(self) -> None:
        while True:
            lines = [self._pending.get()]
            while not self._pending.empty():
                lines.append(self._pending.get())
            if self._dropped_count:
                dropped, self._dropped_count = self._dropped_count, 0
                lines.append(
                    json.dumps(
                        {"process": self._process, "event": "log-dropped", "lines": dropped}
                    )
                )
            sys.stdout.write("\n".join(lines) + "\n")
            sys.stdout.flush()


def _format_json(record: "loguru.Record") -> str:
    fields = {
        "at": f"{record['time']:HH:mm:ss.SSS}",
        "level": record["level"].name,
        **record["extra"],
        "message": record["message"],
    }
    if record["exception"] is not None:
        lines = traceback.format_exception(*record["exception"])
        fields["exception"] = "".join(lines)[-_MAX_TRACEBACK_CHARACTERS:]
    return json.dumps(fields, default=str)


def _format_line(record: "loguru.Record") -> str:
    fields = " ".join(f"{name}={value}" for name, value in record["extra"].items())
    safe = fields.replace("{", "{{").replace("}", "}}").replace("<", r"\<")
    return "{time:HH:mm:ss.SSS} {level} " + safe + " {message}\n{exception}"


def warn_bounded(event: str, message: str, **fields: typing.Any) -> None:
    """Log a warning that may recur many times a second, at most once in ten seconds per event."""
    if _limiter.try_acquire(event):
        logger.bind(event=event, **fields).warning(message)
