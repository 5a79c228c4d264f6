"""Pick one of several peers by load, or by where a prompt prefix is cached."""

import math
import random

from oleander_base import identifiers
from oleander_routing import peers

_LOAD_BOUND = 1.25
"""How far above the mean load a peer may be and still be given work for its prefixes."""
_HASH_RANGE = 2.0**64


def pick_by_load(
    candidates: list[peers.Peer], budget_ms: int, source: random.Random
) -> peers.Peer:
    """
    Return the less loaded of two random peers.

    The least loaded of all would be the same one for every entry until the next reports, and all
    would send to it at once. Two random choices are nearly as even and don't herd.
    """
    first = _pick_weighted(candidates, source)
    others = [peer for peer in candidates if peer is not first]
    if not any(peer.weight for peer in others):
        return first
    second = _pick_weighted(others, source)
    return min(first, second, key=lambda peer: (peer.wait_ms > budget_ms, peer.load))


def pick_by_affinity(
    candidates: list[peers.Peer], prefix: str, budget_ms: int
) -> peers.Peer | None:
    """
    Return the first peer in the prefix's rank that is not overloaded, or nothing.

    Each prefix ranks the peers by a hash, so that every entry agrees and a peer that comes or goes
    moves only its own prefixes. A popular prefix would overload its first peer; above the bound
    it goes to the next in rank, which then has it cached too.
    """
    slots = sum(max(1, peer.slots) for peer in candidates)
    outstanding = sum(peer.outstanding for peer in candidates) + 1
    for peer in sorted(candidates, key=lambda item: _hash_pair(item.name, prefix), reverse=True):
        bound = math.ceil(_LOAD_BOUND * outstanding * max(1, peer.slots) / slots)
        if peer.outstanding >= max(bound, peer.slots) or peer.wait_ms > budget_ms:
            continue
        if _hash_pair(prefix, peer.name) < peer.weight * _HASH_RANGE:
            return peer
    return None


def _pick_weighted(candidates: list[peers.Peer], source: random.Random) -> peers.Peer:
    return source.choices(candidates, [peer.weight for peer in candidates])[0]


def _hash_pair(first: str, second: str) -> int:
    return identifiers.hash_text(f"{first}\n{second}")
