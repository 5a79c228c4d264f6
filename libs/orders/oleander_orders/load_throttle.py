"""A limit on how many servers load weights at once, based on the servers' own reports."""

import collections.abc
import random
import threading

from oleander_base import clock, log
from oleander_direct import servers
from oleander_orders import plan

_MAX_ASKED_SERVERS = 12
"""How many servers are asked before an order; if there are more, a random sample is asked."""
_MAX_WAIT_SECONDS = 8.0
"""
How long an order may be deferred before it is sent anyway.

Servers that report for ever that they are loading must not keep the others from new weights.
"""


class LoadThrottle:
    """
    Keeps servers from all loading weights at once; thread-safe.

    Processes that hold the leases of different servers order them in waves, by the time since a
    version was published. Waves that are shorter than a load overlap, until all servers load at
    once and none serves requests. The duration of a load is not known in advance, so the servers
    are asked whether they are loading.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._waiting_since: dict[tuple[str, str], float] = {}

    def must_defer(
        self,
        order: plan.PlannedOrder,
        placed: list[servers.Server],
        max_loading: int,
        is_loading: collections.abc.Callable[[servers.Server], bool],
    ) -> bool:
        """Return whether too many of the servers that lack the order's version are loading."""
        outdated = _list_outdated(order, placed)
        with self._lock:
            asked = self._random.sample(outdated, min(_MAX_ASKED_SERVERS, len(outdated)))
        loading = sum(map(is_loading, asked))
        is_crowded = loading * len(outdated) >= max_loading * len(asked)
        with self._lock:
            if not asked or not is_crowded:
                self._waiting_since.pop(_build_key(order), None)
                return False
            return not self._has_waited_long(order, loading, len(asked))

    def remove_lost_servers(self, listed: collections.abc.Iterable[servers.Server]) -> None:
        """Remove the state of servers that are no longer listed."""
        known = {server.incarnation for server in listed}
        with self._lock:
            for key in [item for item in self._waiting_since if item[0] not in known]:
                del self._waiting_since[key]

    def _has_waited_long(self, order: plan.PlannedOrder, loading: int, asked: int) -> bool:
        key = _build_key(order)
        now = clock.read_now()
        if key not in self._waiting_since:
            self._waiting_since[key] = now
            log.logger.bind(
                event="order-waits",
                server=order.server.incarnation,
                model=order.model,
                version=order.version,
                loading=loading,
                asked=asked,
            ).info("deferred, since too many servers are loading")
        if now - self._waiting_since[key] < _MAX_WAIT_SECONDS:
            return False
        del self._waiting_since[key]
        return True


def _build_key(order: plan.PlannedOrder) -> tuple[str, str]:
    return order.server.incarnation, order.model


def _list_outdated(order: plan.PlannedOrder, listed: list[servers.Server]) -> list[servers.Server]:
    """Return the other servers that have an older version of the order's model."""
    return [
        other
        for other in listed
        if other.incarnation != order.server.incarnation
        and (version := other.find_version(order.model)) is not None
        and version < order.version
    ]
