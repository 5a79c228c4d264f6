"""Leases that give processes the exclusive right to order backend servers."""

import collections.abc
import threading

from oleander_base import identifiers, log, tasks
from oleander_leases import lease
from oleander_platform import recordlog

TOPIC = "oleander.orders"
_POLL_SECONDS = 0.5
"""The interval between attempts to acquire a lease that another process holds."""


class OrderLeases:
    """
    Holds one lease for each assigned partition that has servers; thread-safe.

    With a single lease for all servers, the loss of its holder would leave every server without
    new weights until the lease's term and the gap after it have passed. With a lease for each
    partition, the loss affects only the servers of the partitions that the holder had.

    The platform assigns partitions to processes, which tells each which leases to claim. The
    assignment may change at any time, so a holder keeps its leases for as long as it lives.
    """

    def __init__(
        self,
        log_service: recordlog.RecordLog,
        host: str,
        gap_seconds: float,
        partitions: int,
        group: tasks.TaskGroup,
    ) -> None:
        self._log = log_service
        self._host = host
        self._gap_seconds = gap_seconds
        self._partitions = partitions
        self._group = group
        self._lock = threading.Lock()
        self._leases: dict[int, lease.FencedLease] = {}
        self._wanted_partitions: frozenset[int] = frozenset()

    @property
    def held_count(self) -> int:
        """The number of leases that this process holds."""
        with self._lock:
            leases = list(self._leases.values())
        return sum(1 for item in leases if item.find_tenure() is not None)

    def find_partition(self, server_id: str) -> int:
        """Return the partition that a server belongs to."""
        return identifiers.hash_text(server_id) % self._partitions

    def update_wanted(
        self, server_ids: collections.abc.Iterable[str], assigned_partitions: frozenset[int]
    ) -> None:
        """Start to claim the leases for servers in the partitions assigned to this process."""
        wanted = frozenset(self.find_partition(item) for item in server_ids) & assigned_partitions
        if wanted != self._wanted_partitions:
            log.logger.bind(event="orders-wanted", partitions=sorted(wanted)).info(
                "leases to claim"
            )
        self._wanted_partitions = wanted
        for partition in wanted:
            self._start_holding(partition)

    def find_lease(self, server_id: str) -> lease.FencedLease | None:
        """Return the lease for a server if this process holds it or tries to, else None."""
        with self._lock:
            return self._leases.get(self.find_partition(server_id))

    def release_all(self) -> None:
        """Release all leases; must be called only when no order is in flight."""
        with self._lock:
            leases = list(self._leases.values())
        for item in leases:
            item.release()

    def _start_holding(self, partition: int) -> None:
        with self._lock:
            if partition in self._leases:
                return
            lease_ = lease.FencedLease(self._log, TOPIC, self._host, self._gap_seconds, partition)
            self._leases[partition] = lease_
        self._group.supervise(lambda: self._hold(partition, lease_))

    def _hold(self, partition: int, lease_: lease.FencedLease) -> None:
        """Claim and renew a lease until it is neither wanted nor held."""
        while not self._group.is_stopping and lease_.is_wanted:
            if partition not in self._wanted_partitions and lease_.find_tenure() is None:
                break
            self._group.pause(lease_.acquire_or_renew(0) or _POLL_SECONDS)
        with self._lock:
            self._leases.pop(partition, None)
