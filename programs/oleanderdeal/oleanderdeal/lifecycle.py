"""Waits for the signal that asks a process to stop."""

import os
import signal
import sys
import threading
import types
import typing


class ReloadSignal:
    """
    Set by SIGHUP, which says that the settings file has changed.

    Without a handler the signal ends the process, with all requests in progress.
    """

    def __init__(self) -> None:
        self._received = threading.Event()
        signal.signal(signal.SIGHUP, self._receive)

    def consume(self) -> bool:
        """Return whether the signal came since the last call."""
        was_received = self._received.is_set()
        self._received.clear()
        return was_received

    def _receive(self, number: int, frame: types.FrameType | None) -> None:
        self._received.set()


class StopSignal:
    """
    Set by SIGTERM or SIGINT; a planned stop then finishes what runs.

    A second signal changes nothing: whoever sends it twice would cut requests that the first one
    promised to finish. SIGKILL, or the setting `drain_ms`, ends a stop that takes too long.
    """

    def __init__(self) -> None:
        self._received = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._receive)

    def wait(self, seconds: float) -> bool:
        """Wait; return whether the process should stop."""
        return self._received.wait(seconds)

    def _receive(self, number: int, frame: types.FrameType | None) -> None:
        self._received.set()


def announce_address(host: str, port: int) -> None:
    """Print where the process listens; with port 0 nobody else knows."""
    print(f"listening on {host}:{port}", flush=True)  # noqa: T201


def end_process(code: int) -> typing.NoReturn:
    """End at once, for a process with threads that are blocked in calls nobody waits for."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
