"""Estimates the current load of peers from reports that may be out of date."""

import math

from oleander_routing import peers

_DEFAULT_LATENCY_SECONDS = 1.0
"""Assumed latency of a peer that has answered nothing yet."""
_MILLISECONDS = 1000.0


def estimate_loads(candidates: list[peers.Peer], now: float) -> None:
    """
    Update `outstanding`, the estimated number of requests, at each peer of one backend.

    The requests that this entry has in flight are known exactly. Those of other entries are known
    from the peer's last report, and most of them have ended once the latency of a request has
    passed. The estimate therefore decays from the reported number to the mean of all peers, by
    the age of the report. Without the decay all entries would send to a peer that was idle when
    it last reported. Differences from the mean are rounded to whole requests: smaller ones are
    noise, yet would make all entries choose the same peer.
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
