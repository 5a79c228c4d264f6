"""Which backend servers to order to load which weights, and when."""

import collections.abc
import dataclasses

from oleander_base import clock, identifiers
from oleander_direct import directory, servers
from oleander_orders import load_capacity, placement

_WAVE_DIVISOR = 3
"""One server in so many loads a model at once, so that the others serve it meanwhile."""
_MIN_WAVE_SIZE = 2
"""The same where there are few servers."""
_WAVE_SECONDS = 1.2
"""After this the next wave begins, also where the last is not seen to be done."""
_SHORT_LOAD_SECONDS = 1.5
"""A load seen to end by then fits a wave; ends are seen up to `_CHECK_SECONDS` late."""
_FIRST_CHECK_SECONDS = 0.8
"""From an order to the first question whether the server has loaded."""
_CHECK_INTERVAL_SECONDS = 0.25
"""Between further such questions; the list tells a heartbeat later."""
_ACCEPTED_TIMEOUT_SECONDS = 4.0
"""An accepted order whose version does not show for so long is given again."""
_BUSY_RETRY_SECONDS = 0.3
"""A server that is loading is asked again after this."""
_UNCONFIRMED_RETRY_SECONDS = 2.0
"""An order without an answer, or a refused one, is given again after this time."""


LoadLimit = collections.abc.Callable[[list[servers.Server], str, int], int | None]
"""Returns how many of the listed servers may load a version of a model; nothing for any number."""


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedOrder:
    """A server that is to load a version."""

    server: servers.Server
    model: str
    version: int


@dataclasses.dataclass(slots=True)
class _PendingOrder:
    """An order that was given and does not show yet."""

    order: PlannedOrder
    is_accepted: bool
    ordered_at: float
    check_at: float
    expires_at: float


def compute_wave_size(count: int) -> int:
    """Return how many of so many servers may load a model at once."""
    return max(_MIN_WAVE_SIZE, count // _WAVE_DIVISOR)


class OrderPlanner:
    """
    Remembers what was ordered; used by one thread.

    Servers load in waves, in an order that all processes work out alike from the list, so that
    those with rights to different servers leave enough of them to serve without a word between
    them.

    An order names how many the server has accepted before. So of an order without an answer and
    the same one given again, at most one has effect, also when the first is carried out late.
    The number comes from the server itself; since its report lags, the orders that it has taken
    from here count too.
    """

    def __init__(self) -> None:
        self._capacity = load_capacity.LoadCapacity()
        self._allowed_lags: dict[str, int] = {}
        self._pending: dict[tuple[str, str], _PendingOrder] = {}
        self._accepted_counts: dict[str, int] = {}
        self._loaded_versions: dict[tuple[str, str], int] = {}
        self._placement: dict[str, frozenset[str]] = {}
        self._placement_inputs: tuple[frozenset[str], frozenset[str], int] | None = None
        """The servers and models of the placement, and how many share a server."""

    def plan_orders(
        self,
        listed: list[servers.Server],
        targets: dict[str, directory.TargetVersion],
        models: tuple[str, ...],
        may_order: collections.abc.Callable[[servers.Server], bool],
        find_limit: LoadLimit,
    ) -> list[PlannedOrder]:
        """
        Return the orders to give now to the servers of one backend, one for each server.

        A server goes first to the model that is furthest behind there, then to the one named
        first. In a fixed order the last model would never have its turn where versions come
        about as fast as they load, and its trainer would run out of servers.

        Where only some servers may load a version, these are the first ones that are due, which
        all processes work out alike.
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
        """Return whether a server is to load a model, as of the last orders that were chosen."""
        return model not in self._placement or server.server_id in self._placement[model]

    def count_accepted(self, server: servers.Server, state: servers.EngineState) -> int:
        """Return how many orders a server has accepted by now."""
        return max(state.accepted_orders, self._accepted_counts.get(server.incarnation, 0))

    def defer(self, order: PlannedOrder) -> None:
        """Defer an order: its server could not be asked, or is loading."""
        self._add_pending(order, False, _BUSY_RETRY_SECONDS)

    def record_outcome(
        self, order: PlannedOrder, accepted_orders: int, outcome: servers.OrderOutcome
    ) -> None:
        """Record what became of an order."""
        if isinstance(outcome, servers.OrderAccepted):
            if not outcome.is_done:
                self._accepted_counts[order.server.incarnation] = accepted_orders + 1
            self._add_pending(order, True, _ACCEPTED_TIMEOUT_SECONDS)
            return
        if isinstance(outcome, servers.OrderRefused):
            self._accepted_counts.pop(order.server.incarnation, None)
        self._add_pending(order, False, _UNCONFIRMED_RETRY_SECONDS)

    def list_unconfirmed(self) -> list[PlannedOrder]:
        """Return taken orders whose servers should be asked now whether they have loaded."""
        now = clock.read_now()
        due = [
            item for item in self._pending.values() if item.is_accepted and item.check_at <= now
        ]
        for item in due:
            item.check_at = now + _CHECK_INTERVAL_SECONDS
        return [item.order for item in due]

    def record_state(self, order: PlannedOrder, state: servers.EngineState) -> bool:
        """Record what a server says of itself after an order; return whether it has loaded."""
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
        """Whether a wave may begin while the one before it still loads, as far as was seen."""
        return not self._capacity.fits_wave(_SHORT_LOAD_SECONDS)

    def record_allowed_lag(self, model: str, lag: int) -> None:
        """Record how many versions behind the newest a trainer's steps allow."""
        self._allowed_lags[model] = lag

    def _list_due(
        self,
        listed: list[servers.Server],
        model: str,
        target: directory.TargetVersion,
        now: float,
    ) -> list[servers.Server]:
        """
        Return the servers that should load the target now, in the waves' order.

        Where not every server can load every version, each model has a placement, and its servers
        skip every second version, those of odd and of even rank in turns, as long as its trainer
        allows what they have. So at each new version half of them go on at once.
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
        Choose the servers of each model, unless all load every version.

        Servers that load for all trainers would spend most of their time on it, and take no work
        meanwhile.
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
        """Return whether so many servers can't load every version."""
        return self._capacity.exceeds_capacity(count, compute_wave_size(count))

    def _may_skip(self, server: servers.Server, rank: int, model: str, version: int) -> bool:
        is_allowed = self._find_version(server, model) >= version - self._allowed_lags.get(
            model, 0
        )
        return is_allowed and (version + rank) % 2 == 1

    def _compute_lag(self, order: PlannedOrder) -> int:
        return order.version - self._find_version(order.server, order.model)

    def _find_version(self, server: servers.Server, model: str) -> int:
        """Return the version that a server has, by the list or by its own word since."""
        listed = server.find_version(model) or 0
        return max(listed, self._loaded_versions.get((server.incarnation, model), 0))

    def _add_pending(self, order: PlannedOrder, is_accepted: bool, seconds: float) -> None:
        now = clock.read_now()
        key = (order.server.incarnation, order.model)
        self._pending[key] = _PendingOrder(
            order, is_accepted, now, now + _FIRST_CHECK_SECONDS, now + seconds
        )

    def _remove_finished(self, listed: list[servers.Server], now: float) -> None:
        """Forget what shows in the list, what is overdue, and servers that are gone."""
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
