"""
Orders backend servers to load the weight versions that trainers announced.

The servers of a backend load in waves: a wave is the group of servers that load at the same time
while the others serve requests.
"""

import collections.abc
import threading

import expression

from oleander_base import clock, identifiers, log, metrics, tasks
from oleander_batches import journal
from oleander_direct import directory, routes, servers
from oleander_leases import lease
from oleander_orders import claimants, load_guard, load_throttle, order_leases, plan
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
MAX_TASKS = 16
"""
How many servers are asked or ordered at the same time.

A runner holds the leases of many servers. If it called one after the other, each server that does
not answer would delay the orders to all others by the timeout of a call.
"""
_LOADING_SECONDS = 0.08
"""How long an answer whether a server is loading is used; below the pause between rounds."""
_RELEASE_SECONDS = 2.0
"""How long the release of the leases waits for calls in flight, which time out before that."""


class VersionReconciler:
    """
    Sends load orders to the servers whose lease this process holds.

    Rounds run on one thread; the calls to servers run on threads of the group, at most one call
    for each server at a time.
    """

    def __init__(
        self,
        known_servers: directory.Directory,
        order_rights: order_leases.OrderLeases,
        claim_planner: claimants.ClaimPlanner,
        partition_ownership: ownership.PartitionOwnership,
        batch_journal: journal.BatchJournal,
        caller: servers.ServerCaller,
        group: tasks.TaskGroup,
        guard: load_guard.LoadGuard,
    ) -> None:
        self._directory = known_servers
        self._rights = order_rights
        self._claims = claim_planner
        self._ownership = partition_ownership
        self._journal = batch_journal
        self._caller = caller
        self._group = group
        self._load_guard = guard
        self._plan = plan.OrderPlanner()
        self._throttle = load_throttle.LoadThrottle(
            identifiers.hash_text(identifiers.create_nonce())
        )
        self._lock = threading.Lock()
        """Guards the plan and the two collections below, not calls to servers."""
        self._tasks_changed = threading.Condition(self._lock)
        self._busy_incarnations: set[str] = set()
        """Servers that a task is calling."""
        self._loading_by_incarnation: dict[str, tuple[bool, float]] = {}
        """Whether servers are loading, and until when the answer is used."""
        self._is_running = True

    def run(self) -> None:
        """Send due orders until the group stops or stop() is called, then release the leases."""
        while not self._group.is_stopping and self._is_running:
            self.give_due_orders()
            self._group.pause(_PAUSE_SECONDS)
        self._release_leases()

    def stop(self) -> None:
        """Make run() send no more orders and release the leases."""
        self._is_running = False

    def give_due_orders(self) -> None:
        """Run one round: claim leases, check loads in progress, and send due orders."""
        table = self._directory.table
        if table is None:
            return
        engines = [backend for backend in table.backends if backend.models]
        servers_by_backend = {
            item.name: self._directory.list_servers(item.name) for item in engines
        }
        named_versions = self._directory.list_target_versions()
        self._claim_leases(engines, servers_by_backend, named_versions)
        all_servers = [server for found in servers_by_backend.values() for server in found]
        self._remove_lost_servers(all_servers)
        self._check_pending_loads()
        for backend in engines:
            keeps_requests_running = not table.requires_single_version(backend.name)
            servers_of = servers_by_backend[backend.name]
            with self._lock:
                planned = self._plan.plan_orders(
                    servers_of,
                    named_versions,
                    backend.models,
                    self._may_order,
                    self._load_guard.find_server_limit,
                )
            for order in planned:
                self._start_order(order, servers_of, keeps_requests_running)

    def _claim_leases(
        self,
        engines: list[routes.Backend],
        servers_by_backend: dict[str, list[servers.Server]],
        named_versions: dict[str, directory.TargetVersion],
    ) -> None:
        """Record which processes run batches, and update the leases to claim."""
        index = self._journal.index
        for batch in index.list_open():
            if batch.runner and batch.runner_heard_at:
                self._claims.record_runner(
                    batch.accepted.model, batch.runner, batch.runner_heard_at
                )
            if batch.allowed_lag is not None:
                with self._lock:
                    self._plan.record_allowed_lag(batch.accepted.model, batch.allowed_lag)
        models: dict[int, set[str]] = {}
        outdated: set[int] = set()
        for backend in engines:
            for server in servers_by_backend[backend.name]:
                partition = self._rights.find_partition(server.server_id)
                models.setdefault(partition, set()).update(backend.models)
                if partition not in outdated and _is_outdated(server, named_versions):
                    outdated.add(partition)
        demands = [
            claimants.LeaseDemand(partition, frozenset(found), partition in outdated)
            for partition, found in models.items()
        ]
        owned = self._ownership.partitions
        self._rights.update_claims(self._claims.plan_claims(demands, owned, index.complete_as_of))
        metrics.record_gauge(metrics.ORDERS_HELD, self._rights.held_count)

    def _remove_lost_servers(self, listed: list[servers.Server]) -> None:
        self._throttle.remove_lost_servers(listed)
        known = {server.incarnation for server in listed}
        with self._lock:
            for incarnation in self._loading_by_incarnation.keys() - known:
                del self._loading_by_incarnation[incarnation]

    def _may_order(self, server: servers.Server) -> bool:
        is_busy = server.incarnation in self._busy_incarnations
        return not is_busy and self._find_tenure(server) is not None

    def _start_order(
        self, order: plan.PlannedOrder, servers_of: list[servers.Server], keeps_running: bool
    ) -> None:
        self._start_task(
            order.server, lambda: self._process_order(order, servers_of, keeps_running)
        )

    def _start_task(
        self, server: servers.Server, work: collections.abc.Callable[[], None]
    ) -> None:
        """Start calls to a server, unless it is being called or too many are; then do nothing."""
        with self._lock:
            is_busy = server.incarnation in self._busy_incarnations
            if is_busy or len(self._busy_incarnations) >= MAX_TASKS:
                return
            self._busy_incarnations.add(server.incarnation)
        self._group.start(lambda: self._run_task(server, work))

    def _run_task(self, server: servers.Server, work: collections.abc.Callable[[], None]) -> None:
        try:
            work()
        finally:
            with self._tasks_changed:
                self._busy_incarnations.discard(server.incarnation)
                self._tasks_changed.notify_all()

    def _release_leases(self) -> None:
        """Release the leases once no call is in flight; else leave them to expire."""
        with self._tasks_changed:
            is_idle = self._tasks_changed.wait_for(
                lambda: not self._busy_incarnations, _RELEASE_SECONDS
            )
        if is_idle:
            self._rights.release_all()
            return
        log.logger.bind(event="leases-kept").warning("an order is in flight; the leases expire")

    def _find_tenure(self, server: servers.Server) -> lease.Tenure | None:
        right = self._rights.find_lease(server.server_id)
        tenure = right.find_tenure() if right is not None and self._is_running else None
        if tenure is None or tenure.deadline.remaining < _MIN_TENURE_SECONDS:
            return None
        return tenure

    def _check_pending_loads(self) -> None:
        """Ask servers whether they have loaded; their records show this only a heartbeat later."""
        with self._lock:
            unconfirmed = self._plan.list_unconfirmed()
        for order in unconfirmed:
            self._start_check(order)

    def _start_check(self, order: plan.PlannedOrder) -> None:
        self._start_task(order.server, lambda: self._check_load(order))

    def _check_load(self, order: plan.PlannedOrder) -> None:
        state = self._read_state(order.server)
        if state.is_ok():
            self._record_state(order, state.ok)

    def _record_state(self, order: plan.PlannedOrder, state: servers.EngineState) -> None:
        with self._lock:
            is_loaded = self._plan.record_state(order, state)
        if is_loaded:
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
        with self._lock:
            is_loading, valid_until = self._loading_by_incarnation.get(
                server.incarnation, (False, 0.0)
            )
        if clock.read_now() < valid_until:
            return is_loading
        state = self._caller.read_state(server, clock.start_deadline(_NEIGHBOR_TIMEOUT_SECONDS))
        is_loading = state.is_ok() and state.ok.is_loading
        self._record_loading(server, is_loading)
        return is_loading

    def _record_loading(self, server: servers.Server, is_loading: bool) -> None:
        valid_until = clock.read_now() + _LOADING_SECONDS
        with self._lock:
            self._loading_by_incarnation[server.incarnation] = (is_loading, valid_until)

    def _defer(self, order: plan.PlannedOrder) -> None:
        with self._lock:
            self._plan.defer(order)

    def _process_order(
        self,
        order: plan.PlannedOrder,
        backend_servers: list[servers.Server],
        keeps_requests_running: bool,
    ) -> None:
        """Send an order, or defer it, unless the server already has the version."""
        state = self._read_state(order.server)
        if state.is_error() or state.ok.is_loading:
            self._defer(order)
        elif (state.ok.find_version(order.model) or 0) >= order.version:
            self._record_state(order, state.ok)
        elif self._must_defer(order, backend_servers):
            self._defer(order)
        else:
            with self._lock:
                accepted = self._plan.count_accepted(order.server, state.ok)
            self._send_order(order, accepted, keeps_requests_running)

    def _must_defer(self, order: plan.PlannedOrder, backend_servers: list[servers.Server]) -> bool:
        """
        Return whether too many servers are loading at the moment.

        Servers are only asked if the next wave may start while a load of the last one continues,
        since each query may open a connection.
        """
        with self._lock:
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
        with self._lock:
            self._plan.record_outcome(order, accepted, outcome)
        self._record_loading(order.server, True)
        log.logger.bind(
            event="order",
            server=order.server.incarnation,
            model=order.model,
            version=order.version,
            fencing=tenure.fencing,
            tenure_left_ms=tenure.deadline.remaining_ms,
            expected=accepted,
        ).info(str(outcome))


def _is_outdated(
    server: servers.Server, named_versions: dict[str, directory.TargetVersion]
) -> bool:
    """Return whether a server lists an older version of a model than was published."""
    return any(
        item.model in named_versions and item.version < named_versions[item.model].version
        for item in server.models
    )
