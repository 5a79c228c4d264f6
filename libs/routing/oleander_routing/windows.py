"""
Adaptive limit on the deferrable requests that an entry has in flight at a server.

The limit is the server's request window, and the requests that it applies to are called windowed.
A trial is the single request that a refusing server gets, to find out whether it accepts again.
"""

import dataclasses

INITIAL_WINDOW = 2.0
"""
Initial limit, in multiples of the server's slots.

With this limit one batch runs and one waits, so that long texts reach a server at the start of a
training step.
"""
_MAX_WINDOW = 3.0
"""Upper limit, in multiples of the slots; queued requests can't move to another server."""
_MIN_WINDOW = 1.0
"""Lower limit, in multiples of the slots; a server that refuses is full or loading, not slow."""
_TRIAL_INTERVAL_FRACTION = 0.25
"""Pause before the next trial, as a fraction of the time for which a server has refused."""
_MIN_TRIAL_INTERVAL_SECONDS = 0.1
"""Minimum pause before the next trial; takes as long as some round trips, and is a small part of
even a short load of weights."""
_MAX_TRIAL_INTERVAL_SECONDS = 0.4
"""Maximum pause before the next trial; a server that has recovered may stay idle for so long."""
_MIN_REFUSAL_TTL_SECONDS = 1.0
"""Minimum time after a refusal for which the server is assumed to refuse further requests."""
_REFUSAL_TIMEOUT_SECONDS = 0.06
"""A trial that is not refused within this time counts as accepted, as servers refuse at once."""


@dataclasses.dataclass(slots=True)
class RequestWindow:
    """
    Limits the windowed requests in flight at one server; not thread-safe.

    The limit grows with successes and is halved by a refusal. Entries don't know of each other's
    requests at a server: with a fixed limit for each entry, the entries together fill the server,
    and nine of ten requests are refused and sent again.

    A server that refuses is full or loads weights. It then gets one request at a time, a
    trial, until one is accepted. Sending the whole window again after each pause made a server
    that loaded for 0.9 s refuse some 60 requests, and one that loaded for 2.8 s several hundred.

    A trial counts as accepted if it is not refused within `_REFUSAL_TIMEOUT_SECONDS`. Waiting for
    the server to begin to run the trial left servers idle: their slots may be held for long by
    earlier requests, and the requests that they could have queued meanwhile were not sent.

    A refusal expires after the time for which the server was seen to refuse, at least one second.
    Trials need requests, so none are made between training steps. Without the expiry the next
    step began with a single trial, which was refused because the server was loading weights
    again, and at low traffic one server of four got no work for three steps.
    """

    size: float = INITIAL_WINDOW
    """Maximum number of requests in flight, in multiples of the server's slots."""
    refusing_since: float | None = None
    """Time of the first refusal since a request was accepted; None while none was refused."""
    refused_at: float = 0.0
    """Time of the last refusal."""
    last_refusing_seconds: float = 0.0
    """How long the server refused requests the last time."""
    next_trial_at: float = 0.0
    """Earliest time of the next trial while the server refuses."""
    trial_sent_at: float | None = None
    """When the trial whose result is not known yet was sent; None if there is none."""

    @property
    def is_refusing(self) -> bool:
        """Whether the server has refused a request and accepted none since."""
        return self.refusing_since is not None

    def is_open(self, in_flight: int, slots: int, now: float) -> bool:
        """Return whether one more request may be sent now."""
        if in_flight >= int(self.size * slots):
            return False
        if self.trial_sent_at is not None and now >= self.trial_sent_at + _REFUSAL_TIMEOUT_SECONDS:
            self._end_refusing(now)
        if self.refusing_since is not None and now >= self.refused_at + self._refusal_ttl_seconds:
            self._end_refusing(self.refused_at)
        return self.refusing_since is None or now >= self.next_trial_at

    def record_started(self, now: float, jitter: float) -> None:
        """Record that a request is sent; if the server refuses, that request is the trial."""
        if self.refusing_since is not None:
            self.trial_sent_at = now
            self._schedule_trial(now, jitter)

    def record_accepted(self, started_at: float) -> None:
        """
        Record that the server has begun to run, or has answered, a request sent at `started_at`.

        A request from before the first refusal does not end the refusing state: a server that
        loads weights continues to run the requests that it has begun.
        """
        if self.refusing_since is not None and started_at >= self.refusing_since:
            self._end_refusing(started_at)

    def record_refused(self, now: float, jitter: float) -> None:
        """
        Record a refusal; only the first of a series halves the window.

        A server that starts to load weights refuses all queued requests at once. If each of them
        counted, the window would shrink to its minimum every time.
        """
        if self.refusing_since is None:
            self.refusing_since = now
            self.size = max(_MIN_WINDOW, self.size / 2)
        self.trial_sent_at = None
        self.refused_at = now
        self._schedule_trial(now, jitter)

    def record_success(self, slots: int) -> None:
        """Record a success; each full window of successes raises the limit by one request."""
        self.size = min(_MAX_WINDOW, self.size + 1.0 / (self.size * slots * slots))

    @property
    def _refusal_ttl_seconds(self) -> float:
        """How long after the last refusal the server is assumed to refuse further requests."""
        since = self.refused_at if self.refusing_since is None else self.refusing_since
        return max(_MIN_REFUSAL_TTL_SECONDS, self.last_refusing_seconds, self.refused_at - since)

    def _end_refusing(self, ended_at: float) -> None:
        if self.refusing_since is not None:
            self.last_refusing_seconds = ended_at - self.refusing_since
        self.refusing_since = None
        self.trial_sent_at = None

    def _schedule_trial(self, now: float, jitter: float) -> None:
        """Schedule the next trial; a jitter from 0 to 1 spreads the trials of several entries."""
        since = now if self.refusing_since is None else self.refusing_since
        seconds = min(_MAX_TRIAL_INTERVAL_SECONDS, (now - since) * _TRIAL_INTERVAL_FRACTION)
        self.next_trial_at = now + max(_MIN_TRIAL_INTERVAL_SECONDS, seconds) * (1.0 + jitter / 4)
