"""All links of an entry to sidecars: those that routing uses, and single ones to others."""

import collections.abc
import math
import threading

from oleander_base import clock, tasks
from oleander_platform import hostlist
from oleanderdeal import peer_link


class PeerLinks:
    """
    All links of an entry: those that routing uses, and single ones to other sidecars.

    A claim may name a sidecar outside this entry's subset. Links to such are bounded; at the
    bound the one made longest ago is closed, and calls on it end as if it was lost.
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
        """When a sidecar, with all it remembered, was last found to be gone."""
        with self._lock:
            restarts = [item.restarted_at for item in self._links.values()]
        return max([self._last_retired_at, *restarts])

    def find(self, name: str) -> peer_link.PeerLink | None:
        """Return the routed link to a sidecar."""
        with self._lock:
            return self._links.get(name)

    def find_or_dial(self, name: str, address: str) -> peer_link.PeerLink:
        """Return the link to the sidecar at an address, which need not be open yet."""
        with self._lock:
            found = self._links.get(name)
            if found is None or found.host.address != address:
                found = self._retired.get(address) or self._extra.get(address)
            return found or self._add_extra(name, address)

    def list_routed(self, backend: str) -> list[peer_link.PeerLink]:
        """Return the links to a backend's sidecars, and to those whose backend is not known."""
        with self._lock:
            return [item for item in self._links.values() if item.backend in {"", backend}]

    def list_links(self) -> list[peer_link.PeerLink]:
        """Return every link."""
        with self._lock:
            return [*self._links.values(), *self._retired.values(), *self._extra.values()]

    @property
    def covers_all(self) -> bool:
        """Whether every host of the list is linked to, and not only a subset."""
        return self._covers_all

    def set_hosts(self, hosts: collections.abc.Iterable[hostlist.Host], covers_all: bool) -> None:
        """
        Route to these hosts; a host whose address changed is linked to anew.

        The list lags and may be wrong, and the subset changes as hosts come and go, so a host that
        is not wanted any more gets no new work, but its link stays open until the calls on it have
        ended. There are no more of these links than calls.
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
        """End every link."""
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
        """Return the retired link to a host that is wanted again, if there is one."""
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
        self._group.keep(created.keep_open)
        return created
