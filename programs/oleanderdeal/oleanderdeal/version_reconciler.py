"""
Orders backend servers to load the weight versions that trainers announced.

The servers of a backend load in waves: a wave is the group of servers that load at the same time
while the others serve requests.
"""

import expression

from oleander_base import clock, identifiers, log, metrics, tasks
from oleander_batches import journal
from oleander_direct import directory, servers
from oleander_leases import lease
from oleander_orders import load_guard, load_throttle, order_leases, plan
from oleanderdeal import ownership

_ORDER_TIMEOUT_SECONDS = 0.8
"""An order is acknowledged before the load starts; without an answer it is retried later."""
_STATE_TIMEOUT_SECONDS = 0.4
"""An engine that does not report its state in time is retried later."""
_NEIGHBOR_TIMEOUT_SECONDS = 0.2
"""Timeout for asking whether another server is loading; a dead one must not delay the order."""
_MIN_TENURE_SECONDS = 1.0
"""With less of its lease left, a process sends no order: the order could follow a successor's."""
_PAUSE_SECONDS = 0.1
"""Pause between rounds of orders."""


class VersionReconciler:
    """Sends load orders to the servers whose lease this process holds; not thread-safe."""

    def __init__(
        self,
        known_servers: directory.Directory,
        order_rights: order_leases.OrderLeases,
        partition_ownership: ownership.PartitionOwnership,
        batch_journal: journal.BatchJournal,
        caller: servers.ServerCaller,
        group: tasks.TaskGroup,
        guard: load_guard.LoadGuard,
    ) -> None:
        self._directory = known_servers
        self._rights = order_rights
        self._ownership = partition_ownership
        self._journal = batch_journal
        self._caller = caller
        self._group = group
        self._load_guard = guard
        self._plan = plan.OrderPlanner()
        self._throttle = load_throttle.LoadThrottle(
            identifiers.hash_text(identifiers.create_nonce())
        )
        self._loading_by_incarnation: dict[str, bool] = {}
        self._is_running = True

    def run(self) -> None:
        """Send due orders until the group stops or stop() is called, then release the leases."""
        while not self._group.is_stopping and self._is_running:
            self.give_due_orders()
            self._group.pause(_PAUSE_SECONDS)
        self._rights.release_all()

    def stop(self) -> None:
        """Make run() send no more orders and release the leases."""
        self._is_running = False

    def give_due_orders(self) -> None:
        """Run one round: acquire leases, check loads in progress, and send due orders."""
        table = self._directory.table
        if table is None:
            return
        engines = [backend for backend in table.backends if backend.models]
        servers_by_backend = {
            item.name: self._directory.list_servers(item.name) for item in engines
        }
        all_servers = [server for found in servers_by_backend.values() for server in found]
        self._throttle.remove_lost_servers(all_servers)
        self._rights.update_wanted(
            [server.server_id for server in all_servers], self._ownership.partitions
        )
        metrics.record_gauge(metrics.ORDERS_HELD, self._rights.held_count)
        for batch in self._journal.index.list_open():
            if batch.allowed_lag is not None:
                self._plan.record_allowed_lag(batch.accepted.model, batch.allowed_lag)
        self._check_pending_loads()
        self._loading_by_incarnation.clear()
        named_versions = self._directory.list_target_versions()
        for backend in engines:
            keeps_requests_running = not table.requires_single_version(backend.name)
            servers_of = servers_by_backend[backend.name]
            for order in self._plan.plan_orders(
                servers_of,
                named_versions,
                backend.models,
                self._may_order,
                self._load_guard.find_server_limit,
            ):
                self._process_order(order, servers_of, keeps_requests_running)

    def _may_order(self, server: servers.Server) -> bool:
        return self._find_tenure(server) is not None

    def _find_tenure(self, server: servers.Server) -> lease.Tenure | None:
        right = self._rights.find_lease(server.server_id)
        tenure = right.find_tenure() if right is not None else None
        if tenure is None or tenure.deadline.remaining < _MIN_TENURE_SECONDS:
            return None
        return tenure

    def _check_pending_loads(self) -> None:
        """Ask servers whether they have loaded; their records show this only a heartbeat later."""
        for order in self._plan.list_unconfirmed():
            state = self._read_state(order.server)
            if state.is_ok():
                self._record_state(order, state.ok)

    def _record_state(self, order: plan.PlannedOrder, state: servers.EngineState) -> None:
        if self._plan.record_state(order, state):
            self._load_guard.record_loaded(order.server, order.model, order.version)

    def _read_state(
        self, server: servers.Server
    ) -> expression.Result[servers.EngineState, servers.CallFailure]:
        return self._caller.read_state(server, clock.start_deadline(_STATE_TIMEOUT_SECONDS))

    def _is_loading(self, server: servers.Server) -> bool:
        """
        Return whether a server reports that it is loading, asking it at most once per round.

        A server that does not answer counts as not loading, since it may be gone.
        """
        is_loading = self._loading_by_incarnation.get(server.incarnation)
        if is_loading is None:
            state = self._caller.read_state(
                server, clock.start_deadline(_NEIGHBOR_TIMEOUT_SECONDS)
            )
            is_loading = state.is_ok() and state.ok.is_loading
            self._loading_by_incarnation[server.incarnation] = is_loading
        return is_loading

    def _process_order(
        self,
        order: plan.PlannedOrder,
        backend_servers: list[servers.Server],
        keeps_requests_running: bool,
    ) -> None:
        """Send an order, or defer it, unless the server already has the version."""
        state = self._read_state(order.server)
        if state.is_error() or state.ok.is_loading:
            self._plan.defer(order)
        elif (state.ok.find_version(order.model) or 0) >= order.version:
            self._record_state(order, state.ok)
        elif self._must_defer(order, backend_servers):
            self._plan.defer(order)
        else:
            accepted = self._plan.count_accepted(order.server, state.ok)
            self._send_order(order, accepted, keeps_requests_running)

    def _must_defer(self, order: plan.PlannedOrder, backend_servers: list[servers.Server]) -> bool:
        """
        Return whether too many servers are loading at the moment.

        Servers are only asked if the next wave may start while a load of the last one continues,
        since each query may open a connection.
        """
        if not self._plan.may_waves_overlap:
            return False
        placed = [
            server for server in backend_servers if self._plan.is_placed(server, order.model)
        ]
        max_loading = plan.compute_wave_size(len(backend_servers))
        return self._throttle.must_defer(order, placed, max_loading, self._is_loading)

    def _send_order(
        self, order: plan.PlannedOrder, accepted: int, keeps_requests_running: bool
    ) -> None:
        """
        Send an order and record its outcome.

        The tenure is looked up just before the request is sent, and the request times out before
        the tenure ends, so a process that was suspended in between sees that it has expired.
        """
        tenure = self._find_tenure(order.server)
        right = self._rights.find_lease(order.server.server_id)
        if tenure is None or right is None:
            return
        request = servers.VersionOrder(
            model=order.model,
            version=order.version,
            keeps_requests_running=keeps_requests_running,
            holder=right.name,
            fencing=tenure.fencing,
            accepted_orders=accepted,
        )
        deadline = tenure.deadline.cap(_ORDER_TIMEOUT_SECONDS)
        self._load_guard.register_load(order.server, order.model, order.version)
        outcome = self._caller.order(order.server, request, deadline)
        if isinstance(outcome, servers.OrderRefused):
            self._load_guard.record_refused(order.server)
        metrics.count(metrics.ORDERS)
        self._plan.record_outcome(order, accepted, outcome)
        self._loading_by_incarnation[order.server.incarnation] = True
        log.logger.bind(
            event="order",
            server=order.server.incarnation,
            model=order.model,
            version=order.version,
            fencing=tenure.fencing,
            tenure_left_ms=tenure.deadline.remaining_ms,
            expected=accepted,
        ).info(str(outcome))
