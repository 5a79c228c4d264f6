"""How much work that can wait an entry may have at one server."""

import dataclasses

INITIAL_WINDOW = 2.0
"""Requests in flight at first, in multiples of a server's slots: one batch runs, one waits, so
that long texts are handed over at the start of a step."""
_MAX_WINDOW = 3.0
"""What is above it waits at the server, where it can't go elsewhere any more."""
_MIN_WINDOW = 1.0
"""A refusal says that a server was full or is loading weights, not that it is slow."""
_TRIAL_INTERVAL_FRACTION = 0.25
"""Of the time for which a server has refused, until the next trial."""
_MIN_TRIAL_INTERVAL_SECONDS = 0.1
"""Between two trials; some round trips, and a small part of a short load."""
_MAX_TRIAL_INTERVAL_SECONDS = 0.4
"""Between two trials at a server that refuses for long; a server that takes work again stands idle
until then."""
_MIN_REFUSAL_TTL_SECONDS = 1.0
"""A server that refused is believed to refuse for so long at least without another refusal."""
_REFUSAL_TIMEOUT_SECONDS = 0.06
"""A server that refuses does so at once: a trial that is not refused by then is queued or
running."""


@dataclasses.dataclass(slots=True)
class RequestWindow:
    """
    Adapts to what a server takes; not thread-safe.

    Entries know nothing of each other's requests at a server. With a fixed number of slots each,
    they fill it together, and nine of ten requests are refused and sent again.

    A server that has refused is tried with one request at a time until it takes one. It loads
    weights, or is full; with the whole window sent again after each pause, a server that loaded
    for 0.9 s refused some 60 requests, and one that loaded for 2.8 s several hundred.

    Waiting until the server has begun with a trial instead left it idle: its slots may be taken
    for long by what it went on with, and what it could queue meanwhile was not sent.

    A refusal is believed for as long as the server was seen to refuse, and a second at least.
    Nothing is tried while there is no work; the next step then began with a single trial, which
    met the next load, and on a quiet day a server of four had no work for three steps.
    """

    size: float = INITIAL_WINDOW
    """How many requests may be in flight, in multiples of the server's slots."""
    refusing_since: float | None = None
    """Since when it has refused everything; nothing while it takes requests."""
    refused_at: float = 0.0
    """When it last refused."""
    last_refusing_seconds: float = 0.0
    """For how long it refused the last time that it did."""
    next_trial_at: float = 0.0
    """While it refuses, nothing is sent before this time."""
    trial_sent_at: float | None = None
    """When a trial was sent that has not been refused yet."""

    @property
    def is_refusing(self) -> bool:
        """Whether the server has refused, and took nothing since."""
        return self.refusing_since is not None

    def is_open(self, in_flight: int, slots: int, now: float) -> bool:
        """Tell whether one more request may be sent."""
        if in_flight >= int(self.size * slots):
            return False
        if self.trial_sent_at is not None and now >= self.trial_sent_at + _REFUSAL_TIMEOUT_SECONDS:
            self._end_refusing(now)
        if self.refusing_since is not None and now >= self.refused_at + self._refusal_ttl_seconds:
            self._end_refusing(self.refused_at)
        return self.refusing_since is None or now >= self.next_trial_at

    def record_started(self, now: float, jitter: float) -> None:
        """Take in that a request is sent; to a server that refuses, it is the trial."""
        if self.refusing_since is not None:
            self.trial_sent_at = now
            self._schedule_trial(now, jitter)

    def record_accepted(self, started_at: float) -> None:
        """
        Take in that the server has begun with a request, or has answered it.

        One that was sent before the refusals began proves nothing: servers that load weights go
        on with what they run.
        """
        if self.refusing_since is not None and started_at >= self.refusing_since:
            self._end_refusing(started_at)

    def record_refused(self, now: float, jitter: float) -> None:
        """
        Take in a refusal; the first of several halves the window.

        All that waits at a server is refused at once when it begins to load; counted one by one,
        they would say that it takes next to nothing.
        """
        if self.refusing_since is None:
            self.refusing_since = now
            self.size = max(_MIN_WINDOW, self.size / 2)
        self.trial_sent_at = None
        self.refused_at = now
        self._schedule_trial(now, jitter)

    def record_success(self, slots: int) -> None:
        """Take in a success; the window grows by one for each window of them."""
        self.size = min(_MAX_WINDOW, self.size + 1.0 / (self.size * slots * slots))

    @property
    def _refusal_ttl_seconds(self) -> float:
        """For how long the last refusal tells that the next request would be refused too."""
        since = self.refused_at if self.refusing_since is None else self.refusing_since
        return max(_MIN_REFUSAL_TTL_SECONDS, self.last_refusing_seconds, self.refused_at - since)

    def _end_refusing(self, ended_at: float) -> None:
        if self.refusing_since is not None:
            self.last_refusing_seconds = ended_at - self.refusing_since
        self.refusing_since = None
        self.trial_sent_at = None

    def _schedule_trial(self, now: float, jitter: float) -> None:
        """Allow the next trial after a pause; a jitter of 0 to 1 spreads those of entries."""
        since = now if self.refusing_since is None else self.refusing_since
        seconds = min(_MAX_TRIAL_INTERVAL_SECONDS, (now - since) * _TRIAL_INTERVAL_FRACTION)
        self.next_trial_at = now + max(_MIN_TRIAL_INTERVAL_SECONDS, seconds) * (1.0 + jitter / 4)
