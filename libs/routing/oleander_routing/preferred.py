"""The few peers of each backend that an entry keeps to."""

from oleander_routing import peers, subset


class PreferredPeers:
    """
    Narrows the peers of a backend to the same few, evenly over failure domains; not thread-safe.

    With connections to all of them their number is entries times servers. Each connection is then
    used so rarely that it idles out, requests open one each, and servers run out of channels.
    """

    def __init__(self, entry_name: str, limit: int) -> None:
        """Prefer so many peers of each backend; 0 prefers none."""
        self._entry_name = entry_name
        self._limit = limit
        self._preferred_by_backend: dict[str, tuple[frozenset[str], frozenset[str]]] = {}

    def narrow(self, usable: list[peers.Peer], candidates: list[peers.Peer]) -> list[peers.Peer]:
        """
        Return the preferred candidates that have room, else the others that have, else all.

        Both lists are of one backend. A full or failing subset must not refuse anybody while other
        servers have places.
        """
        if not self._limit or len(usable) <= self._limit:
            return candidates
        preferred = self._find_preferred(usable)
        available = [peer for peer in candidates if peer.is_available]
        return [peer for peer in available if peer.name in preferred] or available or candidates

    def _find_preferred(self, usable: list[peers.Peer]) -> frozenset[str]:
        backend = usable[0].backend
        names = frozenset(peer.name for peer in usable)
        known = self._preferred_by_backend.get(backend)
        if known is not None and known[0] == names:
            return known[1]
        hosts = [subset.SubsetHost(peer.name, peer.failure_domain) for peer in usable]
        chosen = frozenset(subset.choose_subset(self._entry_name, hosts, self._limit))
        self._preferred_by_backend[backend] = (names, chosen)
        return chosen
