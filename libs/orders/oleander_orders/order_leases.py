"""Leases that give processes the exclusive right to order backend servers."""

import threading

from oleander_base import clock, identifiers, log, tasks
from oleander_leases import lease
from oleander_platform import recordlog

TOPIC = "oleander.orders"
_POLL_SECONDS = 1.0
"""
The interval between reads of a lease that another process holds.

A successor counts the term and the gap from its last read that returned a record, and claims the
lease right when they have passed. So a lost holder is replaced this much later at most.
"""
_RETRY_SECONDS = 0.2
"""The shortest pause between two attempts to claim a lease."""
_CHECK_SECONDS = 0.1
"""The interval at which changed terms of a claim are noticed."""


class OrderLeases:
    """
    Holds a lease for each partition of servers that this process claims first; thread-safe.

    With a single lease for all servers, the loss of its holder would leave every server without
    new weights until the lease's term and the gap after it have passed. With a lease for each
    partition, the loss affects only the servers of the partitions that the holder had.

    `claimants` says which processes claim a lease, and which come first. That may change at any
    time, so a holder keeps its leases for as long as it lives.
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
        self._claim_terms: dict[int, lease.ClaimTerms] = {}

    @property
    def held_count(self) -> int:
        """The number of leases that this process holds."""
        with self._lock:
            leases = list(self._leases.values())
        return sum(1 for item in leases if item.find_tenure() is not None)

    def find_partition(self, server_id: str) -> int:
        """Return the partition that a server belongs to."""
        return identifiers.hash_text(server_id) % self._partitions

    def update_claims(self, claim_terms: dict[int, lease.ClaimTerms]) -> None:
        """Start to follow the leases of these partitions, and claim each on its terms."""
        if claim_terms.keys() != self._claim_terms.keys():
            log.logger.bind(event="orders-wanted", partitions=sorted(claim_terms)).info(
                "leases to claim"
            )
        self._claim_terms = claim_terms
        for partition in claim_terms:
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
            terms = self._claim_terms.get(partition)
            if terms is None and lease_.find_tenure() is None:
                break
            seconds = lease_.acquire_or_renew(0, terms or lease.AT_ONCE)
            self._group.pause(seconds or _RETRY_SECONDS)
            if not seconds:
                self._await_attempt(partition, lease_)
        with self._lock:
            self._leases.pop(partition, None)

    def _await_attempt(self, partition: int, lease_: lease.FencedLease) -> None:
        """Wait until the lease is to be read again, or may be claimed on its present terms."""
        read_at = clock.start_deadline(_POLL_SECONDS - _RETRY_SECONDS)
        while lease_.find_tenure() is None and lease_.is_wanted:
            terms = self._claim_terms.get(partition)
            if terms is None or self._group.is_stopping:
                return
            wait = min(lease_.find_claim_wait(terms), read_at.remaining)
            if wait <= 0.0:
                return
            self._group.pause(min(wait, _CHECK_SECONDS))
