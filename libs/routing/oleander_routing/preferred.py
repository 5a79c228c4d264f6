"""Restricts an entry to a few peers of each backend."""

from oleander_routing import peers, subset


class PreferredPeers:
    """
    Picks a fixed subset of each backend's peers, evenly over failure domains; not thread-safe.

    If every entry used every server, each pair of an entry and a server would have a connection.
    Each connection would be used so rarely that it is closed as idle, so that every request opens
    a new one and the servers run out of channels.
    """

    def __init__(self, entry_name: str, limit: int) -> None:
        """Prefer at most `limit` peers of each backend; 0 means no preference."""
        self._entry_name = entry_name
        self._limit = limit
        self._preferred_by_backend: dict[str, tuple[frozenset[str], frozenset[str]]] = {}

    def narrow(self, usable: list[peers.Peer], candidates: list[peers.Peer]) -> list[peers.Peer]:
        """
        Return the available preferred candidates, else all available ones, else all.

        `usable` and `candidates` are peers of one backend, the candidates a part of the usable
        ones. Falling back to other peers keeps requests from being refused while the preferred
        ones are full or failing and others have free slots.
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
