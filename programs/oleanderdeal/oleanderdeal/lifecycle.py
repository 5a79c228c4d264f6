"""Process lifecycle: signals to stop or reload, the address line at start, and forced exit."""

import os
import signal
import sys
import threading
import types
import typing


class ReloadSignal:
    """
    Records SIGHUP, which asks the process to reload its settings file.

    Without a handler the signal would end the process with all its requests in progress.
    """

    def __init__(self) -> None:
        self._received = threading.Event()
        signal.signal(signal.SIGHUP, self._receive)

    def consume(self) -> bool:
        """Return whether the signal arrived since the last call."""
        was_received = self._received.is_set()
        self._received.clear()
        return was_received

    def _receive(self, number: int, frame: types.FrameType | None) -> None:
        self._received.set()


class StopSignal:
    """
    Records SIGTERM or SIGINT, which ask the process to finish its requests and stop.

    A second signal is ignored, since stopping at once would cut requests that the first signal
    promised to finish. SIGKILL, or the setting `drain_ms`, ends a stop that takes too long.
    """

    def __init__(self) -> None:
        self._received = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._receive)

    def wait(self, seconds: float) -> bool:
        """Wait up to `seconds` for a signal; return whether the process should stop."""
        return self._received.wait(seconds)

    def _receive(self, number: int, frame: types.FrameType | None) -> None:
        self._received.set()


def announce_address(host: str, port: int) -> None:
    """Print the listening address; with port 0 the port is known only to this process."""
    print(f"listening on {host}:{port}", flush=True)  # noqa: T201


def end_process(code: int) -> typing.NoReturn:
    """Exit immediately without joining threads that are blocked in calls."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
