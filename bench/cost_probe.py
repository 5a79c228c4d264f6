"""Read a process's resource use from /proc and fit a line through several readings."""

import collections.abc
import concurrent.futures
import dataclasses
import os
import pathlib
import statistics
import time
import typing

import cost_peers

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_MAX_CALLERS = 8
_SETTLE_SECONDS = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class Reading:
    """The resource use of a process at one value of the varied quantity."""

    units: float
    resident_kib: float
    cpu_ms_per_second: float
    bytes_per_second: float


@dataclasses.dataclass(slots=True)
class Series:
    """The readings for each value of one varied quantity, whose unit is `unit`."""

    process: str
    unit: str
    readings: list[Reading] = dataclasses.field(default_factory=list)

    def fit(self) -> dict[str, typing.Any]:
        """Fit a least-squares line to each resource; return slopes and intercepts."""
        figures: dict[str, typing.Any] = {"process": self.process, "unit": self.unit}
        units = [reading.units for reading in self.readings]
        for name in ("resident_kib", "cpu_ms_per_second", "bytes_per_second"):
            values = [getattr(reading, name) for reading in self.readings]
            line = statistics.linear_regression(units, values)
            figures[name] = {"slope": round(line.slope, 4), "at_zero": round(line.intercept, 2)}
        figures["points"] = [dataclasses.asdict(reading) for reading in self.readings]
        return figures


class Probe:
    """Measures CPU time, memory and relayed bytes of a process over `seconds` seconds."""

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
        """Measure while `act` is called at a rate; `units` is the value of the varied quantity."""
        with concurrent.futures.ThreadPoolExecutor(_MAX_CALLERS) as pool:
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
        """Call `act` at a constant rate and wait until all calls have returned."""
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
    """Return the CPU time of a process in user and system mode, in milliseconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / _TICKS_PER_SECOND


def read_resident_kib(pid: int) -> float:
    """Return the resident memory of a process in KiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1])
    raise ValueError(f"process {pid} has no VmRSS")
