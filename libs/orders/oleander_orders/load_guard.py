"""Quarantine of weight versions that crash the backend servers loading them."""

import collections.abc
import dataclasses
import threading

from oleander_base import clock, identifiers, log, metrics
from oleander_direct import crash_guard, directory, servers
from oleander_quarantine import ledger, records

_ATTRIBUTION_SECONDS = 8.0
"""
How long after an order the loss of a server is attributed to the load.

A lost server leaves the list, or is replaced at its address, within a few heartbeats.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class _OrderedLoad:
    """A load that was ordered from a server and is not known to be complete."""

    model: str
    version: int
    expires_at: float
    """Monotonic seconds after which the loss of the server is not attributed to the load."""


class LoadGuard:
    """
    Records in the crash ledger which servers were lost while loading weights; thread-safe.

    Weights that caused repeated crashes are quarantined. After the quarantine one server at a
    time may load them, until one has done so.
    """

    def __init__(
        self,
        directory_: directory.Directory,
        crashes: ledger.CrashLedger,
        publisher: crash_guard.CrashPublisher,
        read_now: collections.abc.Callable[[], float] = clock.read_now,
    ) -> None:
        self._ledger = crashes
        self._publisher = publisher
        self._read_now = read_now
        self._lock = threading.Lock()
        self._loads: dict[str, list[_OrderedLoad]] = {}
        """The loads ordered from each server incarnation, the last one last."""
        directory_.add_loss_callback(self.record_loss)

    def find_server_limit(
        self, listed: list[servers.Server], model: str, version: int
    ) -> int | None:
        """Return how many servers may load a version now, or None if there is no limit."""
        fingerprint = _compute_fingerprint(model, version)
        if not self._ledger.is_recurrent(fingerprint):
            return None
        if any((item.find_version(model) or 0) >= version for item in listed):
            return None
        quarantine = self._find_quarantine(fingerprint)
        if quarantine is None:
            return 1
        log.warn_bounded(
            "load-quarantined",
            "quarantined, since servers ended while loading it",
            model=model,
            version=version,
            quarantine_s=int(quarantine.remaining),
        )
        return 0

    def register_load(self, server: servers.Server, model: str, version: int) -> None:
        """Register a load; must be called before it is ordered."""
        now = self._read_now()
        with self._lock:
            self._remove_expired(now)
            ordered = self._loads.setdefault(server.incarnation, [])
            ordered.append(_OrderedLoad(model, version, now + _ATTRIBUTION_SECONDS))

    def record_refused(self, server: servers.Server) -> None:
        """
        Record that a server refused its last order.

        It may still load what an earlier order asked for: if that was not answered, or is being
        carried out, the same order is refused when it is repeated.
        """
        with self._lock:
            ordered = self._loads.get(server.incarnation, [])
            if ordered:
                ordered.pop()

    def record_loaded(self, server: servers.Server, model: str, version: int) -> None:
        """Record that a server has loaded a version, which clears the version's crashes."""
        with self._lock:
            self._loads.pop(server.incarnation, None)
        dropped = self._ledger.record_answer(_compute_fingerprint(model, version))
        if not dropped:
            return
        self._publisher.withdraw(dropped)
        log.logger.bind(
            event="load-crash-cleared", model=model, version=version, crashes=len(dropped)
        ).info("crashes cleared, since a server loaded the version")

    def record_loss(self, server: servers.Server) -> None:
        """Record a crash if an unannounced loss of a server ended a load."""
        with self._lock:
            ordered = self._loads.pop(server.incarnation, [])
        if not ordered or ordered[-1].expires_at < self._read_now():
            return
        load = ordered[-1]
        if (server.find_version(load.model) or 0) < load.version:
            self._record_crash(server, load)

    def _find_quarantine(self, fingerprint: str) -> clock.Deadline | None:
        return self._ledger.find_quarantine(
            fingerprint, ledger.LOAD_QUARANTINE_SECONDS, ledger.MAX_LOAD_QUARANTINE_SECONDS
        )

    def _remove_expired(self, now: float) -> None:
        for incarnation, ordered in list(self._loads.items()):
            current = [item for item in ordered if item.expires_at >= now]
            if current:
                self._loads[incarnation] = current
            else:
                del self._loads[incarnation]

    def _record_crash(self, server: servers.Server, load: _OrderedLoad) -> None:
        fingerprint = _compute_fingerprint(load.model, load.version)
        crash = records.create_crash(fingerprint, server.incarnation, was_alone=False)
        if not self._ledger.record_crash(crash.key, crash.was_alone):
            return
        metrics.count(metrics.LOAD_CRASHES)
        self._publisher.publish(crash)
        quarantine = self._find_quarantine(fingerprint)
        log.logger.bind(
            event="load-crash",
            request=fingerprint,
            model=load.model,
            version=load.version,
            server=server.incarnation,
            quarantine_s=int(quarantine.remaining) if quarantine else 0,
        ).info("a server ended while loading weights")


def _compute_fingerprint(model: str, version: int) -> str:
    return f"load-{identifiers.hash_text(model):016x}-{version}"
