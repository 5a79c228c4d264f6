"""Waits for the signal that asks a process to stop."""

import os
import signal
import sys
import threading
import types
import typing


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
