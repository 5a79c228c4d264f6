"""Pick one of several peers by load, by rate, or by where a prompt prefix is cached."""

import math
import random

from oleander_base import identifiers
from oleander_routing import peers

_MAX_LOAD_RATIO = 1.25
"""How far above the mean load a peer may be and still be given work for its prefixes."""
_HASH_RANGE = 2.0**64
_MAX_DELAY_MS = 400
"""The most by which a stream may be expected to end later than on the fastest peer."""
_EQUAL_INTERVAL_RATIO = 1.15
"""Peers whose rates differ by a smaller factor count as equally fast: load alone changes rates."""


def pick_by_load(
    candidates: list[peers.Peer], budget_ms: int, random_source: random.Random
) -> peers.Peer:
    """
    Return the less loaded of two random peers.

    The least loaded of all would be the same one for every entry until the next reports, and all
    would send to it at once. Two random choices are nearly as even and don't herd.
    """
    first = _pick_weighted(candidates, random_source)
    others = [peer for peer in candidates if peer is not first]
    if not any(peer.weight for peer in others):
        return first
    second = _pick_weighted(others, random_source)
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
        bound = math.ceil(_MAX_LOAD_RATIO * outstanding * max(1, peer.slots) / slots)
        if peer.outstanding >= max(bound, peer.slots) or peer.wait_ms > budget_ms:
            continue
        if _hash_pair(prefix, peer.name) < peer.weight * _HASH_RANGE:
            return peer
    return None


def filter_by_event_interval(candidates: list[peers.Peer], events: float) -> list[peers.Peer]:
    """
    Return the fastest of those that seem to have a free slot, else all that are fast enough.

    The events are those that the stream is expected to have; 0 where that is unknown.
    """
    fast = _drop_slow(candidates, events)
    free = [peer for peer in fast if peer.has_free_slot]
    return _keep_fastest(free) or fast


def _drop_slow(candidates: list[peers.Peer], events: float) -> list[peers.Peer]:
    """
    Return the peers on which a stream ends little later than on the fastest; unknown ones too.

    The longest texts decide when a step is whole. On a peer that is a third slower they end
    seconds later, while short ones lose less there than by waiting for a faster one.
    """
    fastest = min(
        (peer.event_interval_ms for peer in candidates if peer.event_interval_ms), default=0.0
    )
    if not events or not fastest:
        return candidates
    max_interval_ms = fastest + _MAX_DELAY_MS / events
    return [peer for peer in candidates if peer.event_interval_ms <= max_interval_ms]


def _keep_fastest(candidates: list[peers.Peer]) -> list[peers.Peer]:
    """Return the peers that are about as fast as the fastest, and unknown ones."""
    fastest = min(
        (peer.event_interval_ms for peer in candidates if peer.event_interval_ms), default=0.0
    )
    return [
        peer for peer in candidates if peer.event_interval_ms <= fastest * _EQUAL_INTERVAL_RATIO
    ]


def _pick_weighted(candidates: list[peers.Peer], random_source: random.Random) -> peers.Peer:
    return random_source.choices(candidates, [peer.weight for peer in candidates])[0]


def _hash_pair(first: str, second: str) -> int:
    return identifiers.hash_text(f"{first}\n{second}")
