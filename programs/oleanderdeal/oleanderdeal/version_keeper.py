"""Brings the weights of backend servers to the versions that trainers named."""

from oleander_base import clock, log, metrics, tasks
from oleander_direct import directory, servers
from oleander_orders import plan, right

_ORDER_SECONDS = 0.8
"""An order is answered before the load; a server that is silent for so long is left for later."""
_STATE_SECONDS = 0.4
_LEAST_TENURE_SECONDS = 1.0
"""With less of the right left no order is begun: it could arrive when a successor may order."""
_PAUSE_SECONDS = 0.1


class VersionKeeper:
    """Gives orders while this process has the right to; one thread."""

    def __init__(
        self,
        known: directory.Directory,
        held: right.OrderRight,
        caller: servers.ServerCaller,
        group: tasks.TaskGroup,
    ) -> None:
        self._directory = known
        self._right = held
        self._caller = caller
        self._group = group
        self._plan = plan.OrderPlan()
        self._is_wanted = True

    def keep(self) -> None:
        """Order until the group stops or the process is about to leave."""
        while not self._group.is_stopping and self._is_wanted:
            self._order_once()
            self._group.pause(_PAUSE_SECONDS)
        self._right.release()

    def leave(self) -> None:
        """Give no more orders and release the right."""
        self._is_wanted = False

    def _order_once(self) -> None:
        table = self._directory.table
        is_held = self._right.find_tenure() is not None
        metrics.record_gauge(metrics.ORDERS_HELD, float(is_held))
        if table is None or not is_held:
            return
        named = self._directory.list_named()
        for backend in table.backends:
            if not backend.models:
                continue
            listed = self._directory.list_servers(backend.name)
            keeps_running = not table.wants_single_version(backend.name)
            for order in self._plan.choose(listed, named, backend.models):
                if not self._give(order, keeps_running):
                    return

    def _give(self, order: plan.PlannedOrder, keeps_running: bool) -> bool:
        """
        Give one order; return whether the right still stands.

        The tenure is looked up right before the request leaves, and an order ends before it
        does: a process that was suspended in between finds that it has passed.
        """
        state = self._caller.read_state(order.server, clock.start_deadline(_STATE_SECONDS))
        if state.is_error() or state.ok.is_loading:
            self._plan.put_off(order)
            return True
        if (state.ok.find_version(order.model) or 0) >= order.version:
            self._plan.note(order, 0, servers.OrderTaken(is_done=True))
            return True
        tenure = self._right.find_tenure()
        if tenure is None or tenure.deadline.remaining < _LEAST_TENURE_SECONDS:
            return False
        accepted = self._plan.count_accepted(order.server, state.ok)
        sent = servers.VersionOrder(
            model=order.model,
            version=order.version,
            keeps_running=keeps_running,
            holder=self._right.name,
            fencing=tenure.fencing,
            accepted_orders=accepted,
        )
        outcome = self._caller.order(order.server, sent, tenure.deadline.earlier(_ORDER_SECONDS))
        metrics.count(metrics.ORDERS)
        self._plan.note(order, accepted, outcome)
        log.logger.bind(
            event="order",
            server=order.server.incarnation,
            model=order.model,
            version=order.version,
            fencing=tenure.fencing,
            tenure_left_ms=tenure.deadline.remaining_ms,
            expected=accepted,
        ).info(str(outcome))
        return True
