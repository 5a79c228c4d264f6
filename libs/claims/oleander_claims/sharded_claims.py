"""All claim shards together, with each key mapped to its shard."""

import threading

from oleander_base import clock, tasks
from oleander_claims import keys, log_health, records, shard
from oleander_platform import logservice

TASKS_PER_SHARD = 2
"""One task follows the shard's stream, one appends to it."""


class ShardedClaims:
    """Looks up and proposes claims, each in the shard that its key belongs to."""

    def __init__(
        self, service: logservice.LogService, group: tasks.TaskGroup, shards: int, window: int
    ) -> None:
        append_hung = threading.Event()
        self._shards = [
            shard.ClaimShard(n, service, group, window, log_health.LogHealth(append_hung))
            for n in range(shards)
        ]

    @property
    def is_ready(self) -> bool:
        """Whether every shard has caught up with its stream or failed at its last read."""
        return all(item.is_ready for item in self._shards)

    def start(self) -> None:
        """Start the tasks of every shard."""
        for item in self._shards:
            item.start()

    def find(self, customer: str, key: str) -> records.LoggedClaim | None:
        """Return the claim in force for a key, as far as its stream was read, or None."""
        return self._find_shard(customer, key).find(customer, key)

    def find_last_read_time(self, customer: str, key: str) -> float:
        """Return when the last read to the end of a key's stream began, in monotonic seconds."""
        return self._find_shard(customer, key).last_read_at

    def propose(self, claim: records.Claim, deadline: clock.Deadline) -> shard.ClaimResult:
        """Append a claim and return the one in force for its key, which may be another one."""
        return self._find_shard(claim.customer, claim.key).propose(claim, deadline)

    def _find_shard(self, customer: str, key: str) -> shard.ClaimShard:
        return self._shards[keys.compute_shard(customer, key, len(self._shards))]
