"""Brings the weights of backend servers to the versions that trainers named."""

import expression

from oleander_base import clock, identifiers, log, metrics, tasks
from oleander_batches import journal
from oleander_direct import directory, servers
from oleander_leases import lease
from oleander_orders import load_guard, load_throttle, order_leases, plan
from oleanderdeal import ownership

_ORDER_SECONDS = 0.8
"""An order is answered before the load; a server that is silent for so long is left for later."""
_STATE_SECONDS = 0.4
"""An engine that does not say its state in this time is left for later."""
_NEIGHBOR_SECONDS = 0.2
"""For asking whether another server loads; one that is gone must not hold up the order."""
_LEAST_TENURE_SECONDS = 1.0
"""With less of the right left no order is begun: it could arrive when a successor may order."""
_PAUSE_SECONDS = 0.1
"""Between rounds of orders."""


class VersionKeeper:
    """Gives orders to the servers that this process has the right to; one thread."""

    def __init__(
        self,
        known: directory.Directory,
        held: order_leases.OrderLeases,
        owned: ownership.Ownership,
        kept: journal.BatchJournal,
        caller: servers.ServerCaller,
        group: tasks.TaskGroup,
        loads: load_guard.LoadGuard,
    ) -> None:
        self._directory = known
        self._rights = held
        self._owned = owned
        self._journal = kept
        self._caller = caller
        self._group = group
        self._loads = loads
        self._plan = plan.OrderPlanner()
        self._throttle = load_throttle.LoadThrottle(
            identifiers.hash_text(identifiers.create_nonce())
        )
        self._loading: dict[str, bool] = {}
        self._is_wanted = True

    def keep(self) -> None:
        """Order until the group stops or the process is about to leave."""
        while not self._group.is_stopping and self._is_wanted:
            self.order_due()
            self._group.pause(_PAUSE_SECONDS)
        self._rights.release_all()

    def leave(self) -> None:
        """Give no more orders and release the rights."""
        self._is_wanted = False

    def order_due(self) -> None:
        """Give the orders that are due now."""
        table = self._directory.table
        if table is None:
            return
        engines = [backend for backend in table.backends if backend.models]
        listed = {item.name: self._directory.list_servers(item.name) for item in engines}
        every = [server for found in listed.values() for server in found]
        self._throttle.remove_lost_servers(every)
        self._rights.update_wanted([server.server_id for server in every], self._owned.partitions)
        metrics.record_gauge(metrics.ORDERS_HELD, self._rights.held_count)
        for batch in self._journal.index.list_open():
            if batch.allowed_lag is not None:
                self._plan.record_allowed_lag(batch.accepted.model, batch.allowed_lag)
        self._check_taken()
        self._loading.clear()
        named = self._directory.list_target_versions()
        for backend in engines:
            keeps_requests_running = not table.requires_single_version(backend.name)
            servers_of = listed[backend.name]
            for order in self._plan.plan_orders(
                servers_of, named, backend.models, self._may_order, self._loads.find_server_limit
            ):
                self._give(order, servers_of, keeps_requests_running)

    def _may_order(self, server: servers.Server) -> bool:
        return self._find_tenure(server) is not None

    def _find_tenure(self, server: servers.Server) -> lease.Tenure | None:
        held = self._rights.find_lease(server.server_id)
        tenure = held.find_tenure() if held is not None else None
        if tenure is None or tenure.deadline.remaining < _LEAST_TENURE_SECONDS:
            return None
        return tenure

    def _check_taken(self) -> None:
        """Ask servers whether they have loaded; the list would tell a heartbeat later."""
        for order in self._plan.list_unconfirmed():
            state = self._read_state(order.server)
            if state.is_ok():
                self._record_state(order, state.ok)

    def _record_state(self, order: plan.PlannedOrder, state: servers.EngineState) -> None:
        if self._plan.record_state(order, state):
            self._loads.record_loaded(order.server, order.model, order.version)

    def _read_state(
        self, server: servers.Server
    ) -> expression.Result[servers.EngineState, servers.CallFailure]:
        return self._caller.read_state(server, clock.start_deadline(_STATE_SECONDS))

    def _is_loading(self, server: servers.Server) -> bool:
        """
        Return whether a server says that it loads; asked once for all orders that are due now.

        One that says nothing is taken not to load: it may be gone.
        """
        known = self._loading.get(server.incarnation)
        if known is None:
            state = self._caller.read_state(server, clock.start_deadline(_NEIGHBOR_SECONDS))
            known = state.is_ok() and state.ok.is_loading
            self._loading[server.incarnation] = known
        return known

    def _give(
        self, order: plan.PlannedOrder, listed: list[servers.Server], keeps_requests_running: bool
    ) -> None:
        """Give one order, unless the server has the version or it is not the time."""
        state = self._read_state(order.server)
        if state.is_error() or state.ok.is_loading:
            self._plan.defer(order)
        elif (state.ok.find_version(order.model) or 0) >= order.version:
            self._record_state(order, state.ok)
        elif self._must_wait(order, listed):
            self._plan.defer(order)
        else:
            accepted = self._plan.count_accepted(order.server, state.ok)
            self._send(order, accepted, keeps_requests_running)

    def _must_wait(self, order: plan.PlannedOrder, listed: list[servers.Server]) -> bool:
        """
        Return whether too many servers load just now.

        Nobody is asked where loads are seen to end within their wave: each question may open a
        connection.
        """
        if not self._plan.may_waves_overlap:
            return False
        placed = [server for server in listed if self._plan.is_placed(server, order.model)]
        most_loading = plan.compute_wave_size(len(listed))
        return self._throttle.must_defer(order, placed, most_loading, self._is_loading)

    def _send(self, order: plan.PlannedOrder, accepted: int, keeps_requests_running: bool) -> None:
        """
        Send one order and take in what became of it.

        The tenure is looked up right before the request leaves, and an order ends before it
        does: a process that was suspended in between finds that it has passed.
        """
        tenure = self._find_tenure(order.server)
        held = self._rights.find_lease(order.server.server_id)
        if tenure is None or held is None:
            return
        sent = servers.VersionOrder(
            model=order.model,
            version=order.version,
            keeps_requests_running=keeps_requests_running,
            holder=held.name,
            fencing=tenure.fencing,
            accepted_orders=accepted,
        )
        deadline = tenure.deadline.earlier(_ORDER_SECONDS)
        self._loads.register_load(order.server, order.model, order.version)
        outcome = self._caller.order(order.server, sent, deadline)
        if isinstance(outcome, servers.OrderRefused):
            self._loads.record_refused(order.server)
        metrics.count(metrics.ORDERS)
        self._plan.record_outcome(order, accepted, outcome)
        self._loading[order.server.incarnation] = True
        log.logger.bind(
            event="order",
            server=order.server.incarnation,
            model=order.model,
            version=order.version,
            fencing=tenure.fencing,
            tenure_left_ms=tenure.deadline.remaining_ms,
            expected=accepted,
        ).info(str(outcome))
