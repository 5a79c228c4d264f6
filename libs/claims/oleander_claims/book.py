"""All claims streams together: finds the stream of a key."""

import threading

from oleander_base import clock, identifiers, tasks
from oleander_claims import keys, log_health, records, shard
from oleander_platform import logservice

TASKS_PER_SHARD = 2


class ClaimBook:
    """Looks up and proposes claims, each in the stream that its key belongs to."""

    def __init__(
        self, service: logservice.LogService, group: tasks.TaskGroup, shards: int, window: int
    ) -> None:
        hung = threading.Event()
        self._shards = [
            shard.ClaimShard(n, service, group, window, log_health.LogHealth(hung))
            for n in range(shards)
        ]

    @property
    def is_caught_up(self) -> bool:
        """Whether every stream was read to what was its end at start."""
        return all(item.is_caught_up for item in self._shards)

    def start(self) -> None:
        """Start following every stream."""
        for item in self._shards:
            item.start()

    def find(self, customer: str, key: str) -> records.LoggedClaim | None:
        """Return the claim in force for a key, as far as its stream was read."""
        place = keys.find_place(customer, key, len(self._shards))
        return self._shards[place.shard].find(customer, key)

    def find_read_time(self, customer: str, key: str) -> float:
        """Return when the newest whole read of a key's stream began, in monotonic seconds."""
        place = keys.find_place(customer, key, len(self._shards))
        return self._shards[place.shard].read_at

    def propose(self, claim: records.Claim, deadline: clock.Deadline) -> shard.ClaimResult:
        """Append a claim and return the one in force for its key, which may be another's."""
        place = keys.find_place(claim.customer, claim.key, len(self._shards))
        return self._shards[place.shard].propose(claim, place.issued_offset, deadline)

    def issue_key(self, customer: str) -> str:
        """Return a new key that says since when it can exist."""
        name = identifiers.create_nonce()
        place = keys.find_shard(customer, name, len(self._shards))
        return keys.write_issued_key(self._shards[place].next_offset, name)
