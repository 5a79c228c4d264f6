"""The table of claims in force, computed from the records of one stream."""

import collections

from oleander_base import clock
from oleander_claims import records


class ClaimTable:
    """
    Holds the claim in force for each key, which is the first record of its newest attempt.

    Every process that applies the same records has the same table. It holds the claims among the
    newest `window` records. Older ones are evicted by offset, so every host evicts the same.
    """

    def __init__(self, shard: int, window: int) -> None:
        self._shard = shard
        self._window = window
        self._in_force: collections.OrderedDict[tuple[str, str], records.LoggedClaim] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of keys with a claim in force."""
        return len(self._in_force)

    def find(self, customer: str, key: str) -> records.LoggedClaim | None:
        """Return the claim in force for a key, or None."""
        return self._in_force.get((customer, key))

    def apply(self, offset: int, claim: records.Claim) -> records.LoggedClaim:
        """Apply the next record and return the claim that is then in force for its key."""
        self._evict_before(offset - self._window)
        name = (claim.customer, claim.key)
        current = self._in_force.get(name)
        logged = records.LoggedClaim(claim, self._shard, offset, clock.read_now())
        if current is not None and claim.attempt != current.claim.attempt + 1:
            return current
        self._in_force[name] = logged
        self._in_force.move_to_end(name)
        return logged

    def _evict_before(self, offset: int) -> None:
        while self._in_force:
            oldest = next(iter(self._in_force.values()))
            if oldest.offset >= offset:
                return
            self._in_force.popitem(last=False)
