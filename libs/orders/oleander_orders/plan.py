"""
The plan of which backend servers to order to load which weights, and when.

The servers of a model load a new version in waves: groups of servers to which the orders are sent
one group after the other, so that the other servers can serve requests meanwhile.
"""

import collections.abc
import dataclasses

from oleander_base import clock, identifiers
from oleander_direct import directory, servers
from oleander_orders import load_capacity, placement

_WAVE_DIVISOR = 3
"""One server in this many loads a model at a time, so that the others can serve it meanwhile."""
_MIN_WAVE_SIZE = 2
"""The smallest number of servers that load a model at a time, for small backends."""
_WAVE_SECONDS = 1.2
"""The time after which the next wave starts even if the last one is not known to be done."""
_SHORT_LOAD_SECONDS = 1.5
"""
The longest recorded load time that counts as fitting into a wave.

It exceeds a wave, since the end of a load is noticed up to `_CHECK_INTERVAL_SECONDS` late.
"""
_FIRST_CHECK_SECONDS = 0.8
"""The time from an order to the first check whether the server has loaded the version."""
_CHECK_INTERVAL_SECONDS = 0.25
"""The interval between later checks; the server list shows a load only with the next heartbeat."""
_ACCEPTED_TIMEOUT_SECONDS = 4.0
"""The time after which an accepted order is repeated if its version has not appeared."""
_BUSY_RETRY_SECONDS = 0.3
"""The time after which a server that was loading or unreachable is asked again."""
_UNCONFIRMED_RETRY_SECONDS = 2.0
"""The time after which an order that was refused or not answered is repeated."""


LoadLimit = collections.abc.Callable[[list[servers.Server], str, int], int | None]
"""Returns how many of the listed servers may load a model's version, or None for no limit."""


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedOrder:
    """An order to a server to load a version of a model."""

    server: servers.Server
    model: str
    version: int


@dataclasses.dataclass(slots=True)
class _PendingOrder:
    """An order that was sent or deferred, and whose version is not known to be loaded."""

    order: PlannedOrder
    is_accepted: bool
    ordered_at: float
    check_at: float
    """When to ask the server next whether it has loaded the version, in monotonic seconds."""
    expires_at: float
    """When the order may be sent again, in monotonic seconds."""


def compute_wave_size(count: int) -> int:
    """Return how many servers of a backend with `count` servers may load a model at once."""
    return max(_MIN_WAVE_SIZE, count // _WAVE_DIVISOR)


class OrderPlanner:
    """
    Plans orders and tracks those that are pending; not thread-safe.

    Servers load in waves. Every process computes the same sequence of servers from the list, so
    processes that hold the leases of different servers leave enough of them serving without
    communicating.

    An order states how many orders the server has accepted before. So if an order that was not
    answered is repeated, at most one of the two takes effect, even if the first arrives late. The
    number comes from the server's own report. The report may be out of date, so orders of this
    process that the server has accepted since are counted too.
    """

    def __init__(self) -> None:
        self._capacity = load_capacity.LoadCapacity()
        self._allowed_lags: dict[str, int] = {}
        self._pending: dict[tuple[str, str], _PendingOrder] = {}
        self._accepted_counts: dict[str, int] = {}
        self._loaded_versions: dict[tuple[str, str], int] = {}
        self._placement: dict[str, frozenset[str]] = {}
        self._placement_inputs: tuple[frozenset[str], frozenset[str], int] | None = None
        """The server ids, models and models per server that the placement was computed from."""

    def plan_orders(
        self,
        listed: list[servers.Server],
        targets: dict[str, directory.TargetVersion],
        models: tuple[str, ...],
        may_order: collections.abc.Callable[[servers.Server], bool],
        find_limit: LoadLimit,
    ) -> list[PlannedOrder]:
        """
        Return the orders to send now to the servers of one backend, at most one for each server.

        A server first loads the model that is the most versions behind on that server, and among
        equals the one whose version was published first. In a fixed order of models, the last
        would never be loaded if versions are published about as fast as they load, and no server
        would be left for its trainer.

        If only a limited number of servers may load a version, they are the first that are due,
        in an order that is the same in every process.
        """
        now = clock.read_now()
        self._remove_finished(listed, now)
        for model, target in targets.items():
            self._capacity.record_version(model, target.read_at)
        self._update_placement(listed, frozenset(model for model in models if model in targets))
        limits = {
            model: find_limit(listed, model, targets[model].version)
            for model in models
            if model in targets
        }
        due = [
            PlannedOrder(server, model, targets[model].version)
            for model in models
            if model in targets
            for server in self._list_due(listed, model, targets[model], now)[: limits[model]]
        ]
        due.sort(
            key=lambda item: (-self._compute_lag(item), targets[item.model].read_at, item.model)
        )
        busy = {incarnation for incarnation, _ in self._pending}
        planned: list[PlannedOrder] = []
        for order in due:
            if order.server.incarnation not in busy and may_order(order.server):
                busy.add(order.server.incarnation)
                planned.append(order)
        return planned

    def is_placed(self, server: servers.Server, model: str) -> bool:
        """Return whether a model is placed on a server, as of the last call of `plan_orders`."""
        return model not in self._placement or server.server_id in self._placement[model]

    def count_accepted(self, server: servers.Server, state: servers.EngineState) -> int:
        """Return how many orders a server is known to have accepted."""
        return max(state.accepted_orders, self._accepted_counts.get(server.incarnation, 0))

    def defer(self, order: PlannedOrder) -> None:
        """Defer an order because its server could not be asked or too many servers are loading."""
        self._add_pending(order, False, _BUSY_RETRY_SECONDS)

    def record_outcome(
        self, order: PlannedOrder, accepted_orders: int, outcome: servers.OrderOutcome
    ) -> None:
        """Record the outcome of sending an order."""
        if isinstance(outcome, servers.OrderTaken):
            if not outcome.is_done:
                self._accepted_counts[order.server.incarnation] = accepted_orders + 1
            self._add_pending(order, True, _ACCEPTED_TIMEOUT_SECONDS)
            return
        if isinstance(outcome, servers.OrderRefused):
            self._accepted_counts.pop(order.server.incarnation, None)
        self._add_pending(order, False, _UNCONFIRMED_RETRY_SECONDS)

    def list_unconfirmed(self) -> list[PlannedOrder]:
        """Return accepted orders whose servers should be asked now if the version is loaded."""
        now = clock.read_now()
        due = [
            item for item in self._pending.values() if item.is_accepted and item.check_at <= now
        ]
        for item in due:
            item.check_at = now + _CHECK_INTERVAL_SECONDS
        return [item.order for item in due]

    def record_state(self, order: PlannedOrder, state: servers.EngineState) -> bool:
        """Record a server's own state after an order; return whether it has loaded the version."""
        version = state.find_version(order.model) or 0
        is_loaded = not state.is_loading and version >= order.version
        if is_loaded:
            key = (order.server.incarnation, order.model)
            self._loaded_versions[key] = version
            pending = self._pending.pop(key, None)
            if pending is not None and pending.is_accepted:
                self._capacity.record_load(clock.read_now() - pending.ordered_at)
        return is_loaded

    @property
    def may_waves_overlap(self) -> bool:
        """Whether, by the measured load times, a wave may start while another still loads."""
        return not self._capacity.fits_wave(_SHORT_LOAD_SECONDS)

    def record_allowed_lag(self, model: str, lag: int) -> None:
        """Record how many versions behind the newest a model's trainer accepts."""
        self._allowed_lags[model] = lag

    def _list_due(
        self,
        listed: list[servers.Server],
        model: str,
        target: directory.TargetVersion,
        now: float,
    ) -> list[servers.Server]:
        """
        Return the servers that should load the target now, in the order of the waves.

        If not every server can load every version, each model is placed on some servers only.
        Those servers skip every second version as long as the trainer still accepts the one that
        they have: servers of odd and of even rank skip alternately. So when a version is
        published, half of the servers can continue to serve without loading it.
        """
        size = compute_wave_size(len(listed))
        skips_versions = self._must_skip_versions(len(listed))
        ranked = sorted(
            (
                item
                for item in listed
                if item.find_version(model) is not None and self.is_placed(item, model)
            ),
            key=lambda item: identifiers.hash_text(f"{model}\n{item.server_id}"),
        )
        waves = int((now - target.read_at) / _WAVE_SECONDS) + 1
        missing = [
            server
            for rank, server in enumerate(ranked)
            if self._find_version(server, model) < target.version
            and not (skips_versions and self._may_skip(server, rank, model, target.version))
        ]
        done = len(ranked) - len(missing)
        reached = max(waves, done // size + 1) * size
        due = set(map(id, ranked[:reached]))
        return [item for item in missing if id(item) in due]

    def _update_placement(self, listed: list[servers.Server], models: frozenset[str]) -> None:
        """
        Update the placement of models on servers, which is empty if all can load every version.

        Without a placement, servers that can't load every version would load for all trainers and
        spend most of their time loading, when they serve no requests.
        """
        if not self._must_skip_versions(len(listed)):
            self._placement, self._placement_inputs = {}, None
            return
        models_per_server = self._capacity.choose_models_per_server(
            len(listed), compute_wave_size(len(listed))
        )
        inputs = (frozenset(item.server_id for item in listed), models, models_per_server)
        if inputs != self._placement_inputs:
            self._placement, self._placement_inputs = placement.choose_placement(*inputs), inputs

    def _must_skip_versions(self, count: int) -> bool:
        """Return whether a backend's `count` servers can't each load every version."""
        return self._capacity.exceeds_capacity(count, compute_wave_size(count))

    def _may_skip(self, server: servers.Server, rank: int, model: str, version: int) -> bool:
        is_allowed = self._find_version(server, model) >= version - self._allowed_lags.get(
            model, 0
        )
        return is_allowed and (version + rank) % 2 == 1

    def _compute_lag(self, order: PlannedOrder) -> int:
        return order.version - self._find_version(order.server, order.model)

    def _find_version(self, server: servers.Server, model: str) -> int:
        """Return the version that a server has by the list or its own report, if newer."""
        listed = server.find_version(model) or 0
        return max(listed, self._loaded_versions.get((server.incarnation, model), 0))

    def _add_pending(self, order: PlannedOrder, is_accepted: bool, seconds: float) -> None:
        now = clock.read_now()
        key = (order.server.incarnation, order.model)
        self._pending[key] = _PendingOrder(
            order, is_accepted, now, now + _FIRST_CHECK_SECONDS, now + seconds
        )

    def _remove_finished(self, listed: list[servers.Server], now: float) -> None:
        """Drop orders that are done or overdue, and the state of servers that are gone."""
        known = {server.incarnation: server for server in listed}
        for key, pending in list(self._pending.items()):
            server = known.get(key[0])
            shown = self._find_version(server, key[1]) if server else 0
            if server is None or pending.expires_at < now or shown >= pending.order.version:
                del self._pending[key]
        for incarnation in [item for item in self._accepted_counts if item not in known]:
            del self._accepted_counts[incarnation]
        for key in [item for item in self._loaded_versions if item[0] not in known]:
            del self._loaded_versions[key]
