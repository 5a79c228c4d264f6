"""Manages an entry's links to sidecars."""

import collections.abc
import math
import threading

from oleander_base import clock, tasks
from oleander_platform import hostlist
from oleanderdeal import peer_link


class PeerLinks:
    """
    An entry's links: routed ones to its subset of sidecars, and extra ones to other sidecars.

    Extra links are needed because a claim may name a sidecar outside this entry's subset. Their
    number is bounded: at the bound the oldest is closed, and its calls end as on a lost link.
    """

    def __init__(
        self,
        create_link: collections.abc.Callable[[hostlist.Host, bool], peer_link.PeerLink],
        group: tasks.TaskGroup,
        max_extra: int,
    ) -> None:
        self._create_link = create_link
        self._group = group
        self._max_extra = max_extra
        self._lock = threading.Lock()
        self._links: dict[str, peer_link.PeerLink] = {}
        self._extra: dict[str, peer_link.PeerLink] = {}
        self._retired: dict[str, peer_link.PeerLink] = {}
        self._covers_all = False
        self._last_retired_at = -math.inf

    @property
    def lost_at(self) -> float:
        """When a sidecar was last found removed or restarted, which loses its in-memory state."""
        with self._lock:
            restarts = [item.restarted_at for item in self._links.values()]
        return max([self._last_retired_at, *restarts])

    def find(self, name: str) -> peer_link.PeerLink | None:
        """Return the routed link to a sidecar by name, or None."""
        with self._lock:
            return self._links.get(name)

    def find_or_dial(self, name: str, address: str) -> peer_link.PeerLink:
        """Return the link to a sidecar's address, dialling if needed; it may not be open yet."""
        with self._lock:
            found = self._links.get(name)
            if found is None or found.host.address != address:
                found = self._retired.get(address) or self._extra.get(address)
            return found or self._add_extra(name, address)

    def list_routed(self, backend: str) -> list[peer_link.PeerLink]:
        """Return routed links to a backend's sidecars and to sidecars of unknown backend."""
        with self._lock:
            return [item for item in self._links.values() if item.backend in {"", backend}]

    def list_links(self) -> list[peer_link.PeerLink]:
        """Return all links: routed, retired and extra."""
        with self._lock:
            return [*self._links.values(), *self._retired.values(), *self._extra.values()]

    @property
    def covers_all(self) -> bool:
        """Whether there are routed links to every listed host, not only to a subset."""
        return self._covers_all

    def set_hosts(self, hosts: collections.abc.Iterable[hostlist.Host], covers_all: bool) -> None:
        """
        Replace the set of routed hosts; a host whose address changed gets a new link.

        The host list lags and may be wrong, and the subset changes as hosts come and go. So a
        host that is dropped gets no new work, but its link is retired and stays open until the
        calls on it have ended. There are never more retired links than calls.
        """
        wanted = {host.name: host for host in hosts}
        self._covers_all = covers_all
        with self._lock:
            self._retire_unwanted(wanted)
            added = [host for name, host in wanted.items() if name not in self._links]
            for host in added:
                self._links[host.name] = self._restore(host) or self._start(host, is_routed=True)
            ended = self._pop_ended()
        for item in ended:
            item.stop()

    def stop(self) -> None:
        """Close every link and stop redialling."""
        for item in self.list_links():
            item.stop()

    def _retire_unwanted(self, wanted: dict[str, hostlist.Host]) -> None:
        unwanted = [
            item
            for name, item in self._links.items()
            if name not in wanted or wanted[name].address != item.host.address
        ]
        for item in unwanted:
            self._last_retired_at = clock.read_now()
            item.retire()
            self._retired[item.host.address] = self._links.pop(item.name)

    def _restore(self, host: hostlist.Host) -> peer_link.PeerLink | None:
        """Return a host's retired link to routing, if there is one; else return None."""
        found = self._retired.get(host.address)
        if found is None or found.host != host:
            return None
        found.restore()
        return self._retired.pop(host.address)

    def _pop_ended(self) -> list[peer_link.PeerLink]:
        ended = [item for item in self._retired.values() if not item.has_calls]
        for item in ended:
            del self._retired[item.host.address]
        return ended

    def _add_extra(self, name: str, address: str) -> peer_link.PeerLink:
        while len(self._extra) >= self._max_extra:
            self._extra.pop(next(iter(self._extra))).stop()
        host = hostlist.Host(name, address, "", hostlist.HostState.LIVE)
        self._extra[address] = self._start(host, is_routed=False)
        return self._extra[address]

    def _start(self, host: hostlist.Host, is_routed: bool) -> peer_link.PeerLink:
        created = self._create_link(host, is_routed)
        self._group.supervise(created.keep_open)
        return created
