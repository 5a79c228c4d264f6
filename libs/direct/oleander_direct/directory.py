"""The known backend servers and the configuration in force, as read from the platform."""

import collections.abc
import dataclasses
import threading

from oleander_base import clock, log
from oleander_direct import routes, servers
from oleander_routing import peers, router

REMOVAL_GRACE_SECONDS = 2.0
"""
How long removals are deferred after an outage of the platform.

A live server whose registration expired during the outage registers again within this time.
"""
_OUTAGE_SECONDS = 2.0
"""The time without a read of the server list after which registrations may have expired."""


@dataclasses.dataclass(slots=True, frozen=True)
class TargetVersion:
    """The newest weight version that a trainer published for its model."""

    version: int
    read_at: float
    """When this process read the version's record, in monotonic seconds."""


class Directory:
    """
    Keeps the process's view of servers, routes and target versions; thread-safe.

    Registrations can expire during an outage of the platform although the servers are alive.
    Removals that are read right after an outage are therefore deferred for two seconds, within
    which a live server registers again. If they took effect at once, requests to a whole backend
    would be refused for that time.
    """

    def __init__(self, router_: router.Router, caller: servers.ServerCaller) -> None:
        self._router = router_
        self._caller = caller
        self._lock = threading.Lock()
        self._servers: dict[str, servers.Server] = {}
        self._deferred_removals: dict[str, float] = {}
        self._table: routes.RouteTable | None = None
        self._has_server_list = False
        self._list_read_at = clock.read_now()
        self._configuration_read_at = clock.read_now()
        self._outage_ended_at = 0.0
        self._target_versions: dict[str, TargetVersion] = {}
        self._loss_callbacks: list[collections.abc.Callable[[servers.Server], None]] = []

    @property
    def table(self) -> routes.RouteTable | None:
        """The configuration in force, or None before the first was read."""
        return self._table

    @property
    def has_server_list(self) -> bool:
        """Whether the list of servers was read to its end at least once."""
        return self._has_server_list

    @property
    def list_age_seconds(self) -> float:
        """Seconds since the list of servers was last read to its end."""
        return clock.read_now() - self._list_read_at

    @property
    def configuration_age_seconds(self) -> float:
        """Seconds since the configuration in force was last known to be the newest."""
        return clock.read_now() - self._configuration_read_at

    def record_configuration_read(self) -> None:
        """Record that the operator's configuration records were read to their end."""
        self._configuration_read_at = clock.read_now()

    def record_list_read(self) -> None:
        """Record that the list of servers was read to its end, and finish deferred removals."""
        now = clock.read_now()
        if now - self._list_read_at > _OUTAGE_SECONDS:
            self._outage_ended_at = now
            log.logger.bind(
                event="platform-regained", silent_s=round(now - self._list_read_at, 2)
            ).info("the list of servers can be read again")
        self._list_read_at = now
        self._has_server_list = True
        self._finish_deferred_removals(now)

    def add_loss_callback(self, on_lost: collections.abc.Callable[[servers.Server], None]) -> None:
        """Add a callback for servers that disappear without having announced that they leave."""
        self._loss_callbacks.append(on_lost)

    def update_table(self, table: routes.RouteTable) -> None:
        """Put a configuration in force unless it is older than the current one."""
        with self._lock:
            if self._table is not None and table.version <= self._table.version:
                return
            self._table = table
        log.logger.bind(
            event="configuration",
            version=table.version,
            routes=len(table.routes),
            organisations=table.keys.count if table.keys is not None else None,
        ).info("in force")

    def set_target_version(self, model: str, version: int) -> None:
        """Record a version that a trainer published, unless a newer one is known."""
        with self._lock:
            known = self._target_versions.get(model)
            if known is not None and version <= known.version:
                return
            self._target_versions[model] = TargetVersion(version, clock.read_now())
        log.logger.bind(event="version-named", model=model, version=version).info("noted")

    def list_target_versions(self) -> dict[str, TargetVersion]:
        """Return the target version of each model."""
        with self._lock:
            return dict(self._target_versions)

    def update_server(self, server: servers.Server) -> None:
        """Record a server's own description of itself, and pass it on to the router."""
        with self._lock:
            known = self._servers.get(server.server_id)
            self._servers[server.server_id] = server
            self._deferred_removals.pop(server.server_id, None)
        if known is None or known.incarnation != server.incarnation:
            log.logger.bind(
                event="server-seen", server=server.incarnation, backend=server.backend
            ).info("in rotation")
            self._notify_replaced(known, server)
        if known is not None and known.is_leaving != server.is_leaving:
            log.logger.bind(event="server-leaving", server=server.incarnation).info(
                "leaving; accepts no new requests"
            )
        self._router.update(server.server_id, _build_peer_report(server))

    def remove_server(self, server_id: str) -> None:
        """Remove a server whose registration is gone; after an outage, only after a delay."""
        with self._lock:
            if server_id not in self._servers:
                return
            returns_by = self._outage_ended_at + REMOVAL_GRACE_SECONDS
            if self.list_age_seconds > _OUTAGE_SECONDS:
                returns_by = clock.read_now() + REMOVAL_GRACE_SECONDS
            if clock.read_now() < returns_by:
                self._deferred_removals[server_id] = returns_by
                return
        self._remove_now(server_id)

    def retain_servers(self, server_ids: set[str]) -> None:
        """Remove the servers that are missing from a complete read of the list."""
        with self._lock:
            missing = [known for known in self._servers if known not in server_ids]
        for server_id in missing:
            self.remove_server(server_id)

    def find_server(self, server_id: str) -> servers.Server | None:
        """Return the server with an id, or None if it is not listed."""
        with self._lock:
            return self._servers.get(server_id)

    def list_servers(self, backend: str) -> list[servers.Server]:
        """Return a backend's servers, except those that are leaving."""
        with self._lock:
            found = [item for item in self._servers.values() if item.backend == backend]
        return [item for item in found if not item.is_leaving]

    def _notify_replaced(self, known: servers.Server | None, server: servers.Server) -> None:
        """Report as lost the earlier incarnations whose id or address a new incarnation uses."""
        with self._lock:
            replaced = [
                item
                for item in self._servers.values()
                if item.address == server.address and item.server_id != server.server_id
            ]
        for item in [*replaced, *([known] if known is not None else [])]:
            self._notify_loss(item)

    def _notify_loss(self, server: servers.Server) -> None:
        if server.is_leaving:
            return
        for on_lost in self._loss_callbacks:
            on_lost(server)

    def _finish_deferred_removals(self, now: float) -> None:
        with self._lock:
            expired = [name for name, until in self._deferred_removals.items() if until <= now]
            for name in expired:
                del self._deferred_removals[name]
        for name in expired:
            self._remove_now(name)

    def _remove_now(self, server_id: str) -> None:
        with self._lock:
            server = self._servers.pop(server_id, None)
        if server is None:
            return
        self._router.remove(server_id)
        self._caller.close_idle(server.address)
        log.logger.bind(event="server-gone", server=server.incarnation).info("out of rotation")
        self._notify_loss(server)


def _build_peer_report(server: servers.Server) -> peers.PeerReport:
    return peers.PeerReport(
        failure_domain=server.failure_domain,
        backend=server.backend,
        incarnation=server.incarnation,
        queued=0,
        running=0,
        slots=server.slots,
        wait_ms=0,
        version=None,
        in_rotation=True,
        leaving=server.is_leaving,
        models={item.model: item.version for item in server.models},
    )
