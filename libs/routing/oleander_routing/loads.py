"""How loaded peers are now, from reports that are old."""

import math

from oleander_routing import peers

_DEFAULT_LATENCY_SECONDS = 1.0
_MILLISECONDS = 1000.0


def estimate_loads(candidates: list[peers.Peer], now: float) -> None:
    """
    Set how many requests are outstanding at each peer of one backend.

    What this entry has in flight is known exactly. What others have there is known from a report,
    and most of that has ended after the time that a request takes; so the older the report, the
    closer the estimate is to the mean of all peers. Reports that are trusted for longer send all
    entries to a peer that was idle once. The rest is rounded to whole requests, since smaller
    differences say nothing, yet all entries would follow them to the same peer.
    """
    if not candidates:
        return
    mean = sum(peer.other_requests for peer in candidates) / len(candidates)
    for peer in candidates:
        difference = round((peer.other_requests - mean) * _compute_report_weight(peer, now))
        peer.outstanding = peer.in_flight + max(0.0, mean + difference)


def _compute_report_weight(peer: peers.Peer, now: float) -> float:
    latency_seconds = peer.latency_ms / _MILLISECONDS or _DEFAULT_LATENCY_SECONDS
    return math.exp(-max(0.0, now - peer.reported_at) / latency_seconds)
