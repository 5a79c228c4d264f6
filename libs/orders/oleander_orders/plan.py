"""Which backend servers to order to load which weights, and when."""

import dataclasses

from oleander_base import clock
from oleander_direct import servers

_LOADING_PART = 3
"""One server in so many loads a model at once, so that the others serve it meanwhile."""
_LEAST_LOADING = 2
_TAKEN_SECONDS = 4.0
"""An order that was taken shows in the list within this time: the load and two heartbeats."""
_BUSY_SECONDS = 0.3
"""A server that is loading is asked again after a third of a load."""
_DOUBT_SECONDS = 2.0
"""An order without an answer, or a refused one, is given again after this time."""


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedOrder:
    """A server that is to load a version."""

    server: servers.Server
    model: str
    version: int


@dataclasses.dataclass(slots=True)
class _Pending:
    """An order that was given and does not show yet."""

    version: int
    until: float


class OrderPlan:
    """
    Remembers what was ordered; used by one thread.

    An order names how many the server has accepted before. So of an order without an answer and
    the same one given again, at most one has effect, also when the first is carried out late.
    The number comes from the server itself; since its report lags, the orders that it has taken
    from here count too.
    """

    def __init__(self) -> None:
        self._pending: dict[tuple[str, str], _Pending] = {}
        self._accepted: dict[str, int] = {}

    def choose(
        self, listed: list[servers.Server], named: dict[str, int], models: tuple[str, ...]
    ) -> list[PlannedOrder]:
        """Return the orders to give now to the servers of one backend."""
        now = clock.read_now()
        self._forget(listed, now)
        most = max(_LEAST_LOADING, len(listed) // _LOADING_PART)
        busy = {incarnation for incarnation, _ in self._pending}
        planned: list[PlannedOrder] = []
        for model in sorted(models):
            version = named.get(model, 0)
            loading = sum(1 for _, pending_model in self._pending if pending_model == model)
            for server in sorted(listed, key=lambda item: item.find_version(model) or 0):
                if loading >= most:
                    break
                current = server.find_version(model)
                if current is None or current >= version or server.incarnation in busy:
                    continue
                busy.add(server.incarnation)
                loading += 1
                planned.append(PlannedOrder(server, model, version))
        return planned

    def count_accepted(self, server: servers.Server, state: servers.EngineState) -> int:
        """Return how many orders a server has accepted by now."""
        return max(state.accepted_orders, self._accepted.get(server.incarnation, 0))

    def put_off(self, order: PlannedOrder) -> None:
        """Leave an order for later: its server could not be asked, or is loading."""
        until = clock.read_now() + _BUSY_SECONDS
        self._pending[order.server.incarnation, order.model] = _Pending(order.version, until)

    def note(
        self, order: PlannedOrder, accepted_orders: int, outcome: servers.OrderOutcome
    ) -> None:
        """Take in what became of an order."""
        key = (order.server.incarnation, order.model)
        seconds = _DOUBT_SECONDS
        if isinstance(outcome, servers.OrderTaken):
            seconds = _TAKEN_SECONDS
            if not outcome.is_done:
                self._accepted[order.server.incarnation] = accepted_orders + 1
        elif isinstance(outcome, servers.OrderRefused):
            self._accepted.pop(order.server.incarnation, None)
        self._pending[key] = _Pending(order.version, clock.read_now() + seconds)

    def _forget(self, listed: list[servers.Server], now: float) -> None:
        """Forget what shows in the list, what is overdue, and servers that are gone."""
        known = {server.incarnation: server for server in listed}
        for key, pending in list(self._pending.items()):
            server = known.get(key[0])
            shown = server.find_version(key[1]) if server else None
            if server is None or pending.until < now or (shown or 0) >= pending.version:
                del self._pending[key]
        for incarnation in list(self._accepted):
            if incarnation not in known:
                del self._accepted[incarnation]
