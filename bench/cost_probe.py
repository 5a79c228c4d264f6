"""Readings of one process from /proc, and the line through several of them."""

import collections.abc
import concurrent.futures
import dataclasses
import os
import pathlib
import statistics
import time
import typing

import cost_peers

_TICKS = os.sysconf("SC_CLK_TCK")
_MOST_CALLERS = 8
_SETTLE_SECONDS = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class Reading:
    """What a process used at one setting of what is varied."""

    units: float
    resident_kib: float
    cpu_ms_per_second: float
    bytes_per_second: float


@dataclasses.dataclass(slots=True)
class Series:
    """One thing varied, and the readings at each setting."""

    process: str
    unit: str
    readings: list[Reading] = dataclasses.field(default_factory=list)

    def fit(self) -> dict[str, typing.Any]:
        """Return slope and intercept of each reading over the units, by least squares."""
        figures: dict[str, typing.Any] = {"process": self.process, "unit": self.unit}
        units = [reading.units for reading in self.readings]
        for name in ("resident_kib", "cpu_ms_per_second", "bytes_per_second"):
            values = [getattr(reading, name) for reading in self.readings]
            line = statistics.linear_regression(units, values)
            figures[name] = {"slope": round(line.slope, 4), "at_zero": round(line.intercept, 2)}
        figures["points"] = [dataclasses.asdict(reading) for reading in self.readings]
        return figures


class Probe:
    """Reads the processor time, memory and relayed bytes of a process over a while."""

    def __init__(self, pid: int, relays: list[cost_peers.CountingRelay], seconds: float) -> None:
        self._pid = pid
        self._relays = relays
        self._seconds = seconds

    def read(
        self,
        units: float,
        per_second: float = 0.0,
        act: collections.abc.Callable[[int], object] | None = None,
    ) -> Reading:
        """Read while something is done so often; the units are what the reading is filed under."""
        with concurrent.futures.ThreadPoolExecutor(_MOST_CALLERS) as pool:
            self._drive(pool, _SETTLE_SECONDS, per_second, act)
            cpu, count = read_cpu_ms(self._pid), self._count_bytes()
            started = time.monotonic()
            self._drive(pool, self._seconds, per_second, act)
            took = time.monotonic() - started
            used, sent = read_cpu_ms(self._pid) - cpu, self._count_bytes() - count
        resident = read_resident_kib(self._pid)
        return Reading(units, resident, round(used / took, 2), round(sent / took, 1))

    def _drive(
        self,
        pool: concurrent.futures.ThreadPoolExecutor,
        seconds: float,
        per_second: float,
        act: collections.abc.Callable[[int], object] | None,
    ) -> None:
        """Act at a steady rate and wait for the last to end."""
        started = time.monotonic()
        futures = []
        for number in range(int(seconds * per_second) if act else 0):
            time.sleep(max(0.0, started + number / per_second - time.monotonic()))
            futures.append(pool.submit(typing.cast(typing.Any, act), time.monotonic_ns()))
        time.sleep(max(0.0, started + seconds - time.monotonic()))
        for future in futures:
            future.result()

    def _count_bytes(self) -> int:
        return sum(relay.bytes for relay in self._relays)


def read_cpu_ms(pid: int) -> float:
    """Return the processor time that a process has used, in user and system mode."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / _TICKS


def read_resident_kib(pid: int) -> float:
    """Return a process's resident memory."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1])
    raise ValueError(f"process {pid} has no VmRSS")
