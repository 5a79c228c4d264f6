"""Follows the platform's host list and chooses the sidecars that an entry links to."""

from oleander_base import clock, log, tasks
from oleander_platform import hostlist
from oleander_routing import router, subset
from oleanderdeal import peers

_POLL_SECONDS = 0.5
_READ_TIMEOUT_SECONDS = 2.0


class HostFollower:
    """
    Keeps links to a bounded subset of the listed hosts; the list lags, so it is only a hint.

    While the list can't be read, the links of the last list are kept. An empty list is treated
    as unreadable: accepting an empty list gains nothing, and if the list is wrong, it would make
    the entry refuse all work.
    """

    def __init__(
        self,
        name: str,
        host_list: hostlist.HostList,
        links: peers.PeerLinks,
        peer_router: router.Router,
        max_peers: int,
        group: tasks.TaskGroup,
    ) -> None:
        self._name = name
        self._host_list = host_list
        self._links = links
        self._router = peer_router
        self._max_peers = max_peers
        self._group = group

    def follow(self) -> None:
        """Poll the list until the group stops."""
        while not self._group.is_stopping:
            self._read_list()
            self._group.pause(_POLL_SECONDS)

    def _read_list(self) -> None:
        result = self._host_list.read(clock.start_deadline(_READ_TIMEOUT_SECONDS))
        if result.is_error():
            log.warn_bounded("hosts-unread", f"keeping the last host list: {result.error.detail}")
            return
        if not result.ok and self._links.list_links():
            log.warn_bounded("hosts-empty", "keeping the last host list: the new one is empty")
            return
        linked_hosts = self._choose_subset(result.ok)
        self._links.set_hosts(linked_hosts, covers_all=len(linked_hosts) == len(result.ok))
        leaving = (host for host in result.ok if host.state is hostlist.HostState.LEAVING)
        self._router.set_listed_leaving(frozenset(host.name for host in leaving))

    def _choose_subset(self, listed: tuple[hostlist.Host, ...]) -> list[hostlist.Host]:
        by_name = {host.name: host for host in listed}
        candidates = [
            subset.SubsetHost(host.name, host.failure_domain, host.backend) for host in listed
        ]
        subset_hosts = subset.choose_subset(self._name, candidates, self._max_peers)
        return [by_name[name] for name in subset_hosts]
