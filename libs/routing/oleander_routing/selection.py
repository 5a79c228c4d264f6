"""Selection of a peer by load, stream speed or prompt prefix."""

import collections.abc
import math
import random

from oleander_base import identifiers
from oleander_routing import peers, server_speed

_MAX_LOAD_RATIO = 1.25
"""Multiple of the mean load up to which a peer is given requests for its prefixes."""
_HASH_RANGE = 2.0**64
_MAX_DELAY_SECONDS = 0.4
"""A peer is too slow if a stream is expected to end more than this later than on the fastest."""
_EQUAL_SECONDS = 0.25
"""Peers where a stream is expected to end less than this later count as equal: load affects them
too, and entries don't all choose the same peer. Short texts therefore run at slow peers, too."""

_MAX_ASKED_PEERS = 16
"""How many peers are checked for an idle connection, which bounds the time of a choice."""
_EQUAL_LATENCY_RATIO = 1.5
"""Peers whose average latencies differ by less count as equally fast; calls differ in length."""


def pick_by_load(
    candidates: list[peers.Peer], budget_ms: int, random_source: random.Random
) -> peers.Peer:
    """
    Return the less loaded of two random peers ("power of two choices").

    The least loaded of all peers would be the same for every entry until the next reports, and
    all would send to it at once. Two random choices balance nearly as well and avoid that.
    """
    first = _pick_weighted(candidates, random_source)
    others = [peer for peer in candidates if peer is not first]
    if not any(peer.weight for peer in others):
        return first
    second = _pick_weighted(others, random_source)
    return min(first, second, key=lambda peer: (peer.wait_ms > budget_ms, peer.load))


def prefer_connected(
    picked: peers.Peer,
    candidates: list[peers.Peer],
    has_connection: collections.abc.Callable[[str], bool],
    random_source: random.Random,
) -> peers.Peer:
    """
    Return a peer with an idle connection that is as good as the picked one, else the picked one.

    Servers close connections that are idle for some seconds. An entry that spreads few calls over
    several peers uses each connection so rarely that most calls open a new one. Only peers count
    that are no more loaded than the picked one and answer about as fast, so no call waits longer.
    """
    if has_connection(picked.name):
        return picked
    equal = [peer for peer in candidates if _is_as_good(peer, picked)]
    asked = random_source.sample(equal, min(_MAX_ASKED_PEERS, len(equal)))
    return next((peer for peer in asked if has_connection(peer.name)), picked)


def pick_by_affinity(
    candidates: list[peers.Peer], prefix: str, budget_ms: int
) -> peers.Peer | None:
    """
    Return the first peer that is not overloaded in the prefix's ranking, or None.

    Rendezvous hashing with bounded loads: each prefix ranks the peers by a hash, so that all
    entries agree and a peer that joins or leaves moves only its own prefixes. A popular prefix
    would overload its first peer; above `_MAX_LOAD_RATIO` the next in the ranking gets it and
    then caches it too. A peer that was just readmitted gets a fixed part of its prefixes, by its
    weight.
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


def filter_by_forecast(
    candidates: list[peers.Peer],
    forecasts: collections.abc.Mapping[str, server_speed.Forecast],
    events: float,
) -> list[peers.Peer]:
    """
    Return the candidates with a free slot where a stream ends soonest, else all that are fast.

    `events` is the expected number of events in the stream. Peers that are in a slow period are
    returned only if no other has a free slot.
    """
    fast = _keep_soonest(candidates, forecasts, events, _MAX_DELAY_SECONDS)
    free = [peer for peer in fast if peer.has_free_slot]
    normal = [peer for peer in free if not forecasts[peer.name].is_slow]
    return _keep_soonest(normal or free, forecasts, events, _EQUAL_SECONDS) or fast


def _keep_soonest(
    candidates: list[peers.Peer],
    forecasts: collections.abc.Mapping[str, server_speed.Forecast],
    events: float,
    delay_seconds: float,
) -> list[peers.Peer]:
    """
    Return the peers where a stream ends at most so much later than at the best one.

    The longest texts decide when a training step is complete: on a peer that is a third slower
    they end seconds later, while short texts lose less time on such a peer than by waiting for a
    faster one. Peers of unknown speed are kept.
    """
    ends = {
        peer.name: forecasts[peer.name].predict_new_seconds(events)
        for peer in candidates
        if forecasts[peer.name].event_seconds
    }
    latest = min(ends.values(), default=0.0) + delay_seconds
    return [peer for peer in candidates if ends.get(peer.name, 0.0) <= latest]


def _pick_weighted(candidates: list[peers.Peer], random_source: random.Random) -> peers.Peer:
    return random_source.choices(candidates, [peer.weight for peer in candidates])[0]


def _is_as_good(peer: peers.Peer, other: peers.Peer) -> bool:
    """Return whether a peer is at most as loaded as another, as healthy and about as fast."""
    return (
        peer.load <= other.load
        and peer.wait_ms <= other.wait_ms
        and peer.weight >= other.weight
        and (not other.latency_ms or peer.latency_ms <= other.latency_ms * _EQUAL_LATENCY_RATIO)
    )


def _hash_pair(first: str, second: str) -> int:
    return identifiers.hash_text(f"{first}\n{second}")
