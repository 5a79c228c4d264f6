"""The rights to order all backend servers, spread over the processes."""

import collections.abc
import threading

from oleander_base import identifiers, log, tasks
from oleander_leases import lease
from oleander_platform import recordlog

TOPIC = "oleander.orders"
_LOOK_SECONDS = 0.5
"""Between looks for free rights."""


class OrderRights:
    """
    One right for each partition that has servers; safe to use from several threads.

    With a single right for all servers, the loss of its holder would leave every server without
    new weights for the term and the gap. Spread, a loss concerns the servers of one holder.

    The platform's dealing of partitions says who should claim which; it may change at any time,
    so a holder keeps what it holds as long as it lives.
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
        self._rights: dict[int, lease.FencedLease] = {}
        self._wanted: frozenset[int] = frozenset()

    @property
    def held(self) -> int:
        """How many rights this process holds."""
        with self._lock:
            rights = list(self._rights.values())
        return sum(1 for item in rights if item.find_tenure() is not None)

    def find_partition(self, server_id: str) -> int:
        """Return the partition that a server's right belongs to."""
        return identifiers.hash_text(server_id) % self._partitions

    def want(self, server_ids: collections.abc.Iterable[str], dealt: frozenset[int]) -> None:
        """Claim the rights to these servers in the partitions dealt to this process."""
        wanted = frozenset(self.find_partition(item) for item in server_ids) & dealt
        if wanted != self._wanted:
            log.logger.bind(event="orders-wanted", partitions=sorted(wanted)).info("to claim")
        self._wanted = wanted
        for partition in wanted:
            self._start(partition)

    def find_right(self, server_id: str) -> lease.FencedLease | None:
        """Return the right to order a server, where this process watches or holds it."""
        with self._lock:
            return self._rights.get(self.find_partition(server_id))

    def release(self) -> None:
        """Give all rights up, once no order is on its way."""
        with self._lock:
            rights = list(self._rights.values())
        for item in rights:
            item.release()

    def _start(self, partition: int) -> None:
        with self._lock:
            if partition in self._rights:
                return
            held = lease.FencedLease(self._log, TOPIC, self._host, self._gap_seconds, partition)
            self._rights[partition] = held
        self._group.keep(lambda: self._hold(partition, held))

    def _hold(self, partition: int, held: lease.FencedLease) -> None:
        """Hold a right while it is wanted, and for as long as it is held."""
        while not self._group.is_stopping and held.is_wanted:
            if partition not in self._wanted and held.find_tenure() is None:
                break
            self._group.pause(held.try_hold(0) or _LOOK_SECONDS)
        with self._lock:
            self._rights.pop(partition, None)
