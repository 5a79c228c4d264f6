"""All claims streams together: finds the stream of a key."""

from oleander_base import clock, tasks
from oleander_claims import keys, records, shard
from oleander_platform import logservice

TASKS_PER_SHARD = 2


class ClaimBook:
    """Looks up and proposes claims, each in the stream that its key belongs to."""

    def __init__(
        self, service: logservice.LogService, group: tasks.TaskGroup, shards: int, window: int
    ) -> None:
        self._shards = [shard.ClaimShard(n, service, group, window) for n in range(shards)]

    @property
    def is_settled(self) -> bool:
        """Whether claims are decided as well as they can be: all read, or the log is down."""
        return all(item.is_settled for item in self._shards)

    def start(self) -> None:
        """Start following every stream."""
        for item in self._shards:
            item.start()

    def find(self, customer: str, key: str) -> records.LoggedClaim | None:
        """Return the claim in force for a key, as far as its stream was read."""
        return self._find_shard(customer, key).find(customer, key)

    def propose(self, claim: records.Claim, deadline: clock.Deadline) -> shard.ClaimResult:
        """Append a claim and return the one in force for its key, which may be another's."""
        return self._find_shard(claim.customer, claim.key).propose(claim, deadline)

    def _find_shard(self, customer: str, key: str) -> shard.ClaimShard:
        return self._shards[keys.find_shard(customer, key, len(self._shards))]
