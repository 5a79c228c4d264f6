"""One log for the whole process: one line an event, bounded under failure."""

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
"""Lines that wait to be written; past this further ones are dropped and counted."""
_MAX_TRACEBACK_CHARACTERS = 2000


class _RepeatLimiter:
    """Lets one line an event through in a while; bounded, oldest events are forgotten."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._next_at: dict[str, float] = {}

    def try_acquire(self, event: str) -> bool:
        """Tell whether this event may be logged now."""
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
    """Sends what libraries log to ours, one bounded line each, without tracebacks."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the first line of a library's message."""
        warn_bounded(f"library-{record.name}", record.getMessage().splitlines()[0][:200])


def configure_log(level: str, as_json: bool, process: str) -> None:
    """Send lines to standard error, as text or as JSON, and take in the libraries' logs."""
    logger.remove()
    logger.configure(extra={"process": process})
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True, backtrace=False, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=_format_line, backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)


def configure_stdout_log(level: str, process: str) -> None:
    """Send lines to standard output, one JSON object each, and take in the libraries' logs."""
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(_LineWriter(process).enqueue, level=level, format="{message}", backtrace=False)
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)


class _LineWriter:
    """
    Writes lines on a thread of its own; at most 2000 wait, further ones are counted and dropped.

    Whoever reads standard output may stop reading. A process that wrote its lines itself would
    stop with it, in the middle of a request and with locks held.
    """

    def __init__(self, process: str) -> None:
        self._process = process
        self._pending: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._dropped_count = 0
        threading.Thread(target=self._write, name="log", daemon=True).start()

    def enqueue(self, message: "loguru.Message") -> None:
        """Take in a line, or count it as dropped."""
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
    """Log a warning that may recur many times a second: one line an event in a while."""
    if _limiter.try_acquire(event):
        logger.bind(event=event, **fields).warning(message)
