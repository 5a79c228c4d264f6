"""
Model of the speed of servers that stream events: the typical time per event, and slow periods.

A slow period is a time in which a server's events take much longer than they typically do. It may
be short, so that a text loses less by staying than by being moved, or lasting.
"""

import bisect
import collections
import dataclasses
import math
import statistics

from oleander_base import log, metrics

_MAX_SERVERS = 4096
"""Bounds the memory; the server whose record is oldest is forgotten first."""
_MAX_INTERVALS = 256
"""Intervals kept for each server. With fewer, a slow period of some seconds would pass for the
typical speed."""
_TYPICAL_QUANTILE = 0.25
"""Low, so that the typical time stays right while most of the recent events were slow."""
_MIN_INTERVALS = 2
_MIN_OBSERVED_SECONDS = 2.0
"""Until a server's intervals cover this time, one that is far slower than its backend is taken for
one in a slow period."""
_INTERVAL_SCATTER = 0.05
"""Fraction by which single events scatter around the time that their server typically takes; two
events that were a few percent late say nothing about the next hundred."""
_FEW_EVENTS = 10
"""From this many events on, a server's typical time is taken as it is."""
_SLOW_RATIO = 1.6
"""Multiple of the typical time above which an event is slow. The slowest hardware that is known
takes a third more time than the fastest, and slow periods more than twice the typical time."""
_SLOW_EVENTS = 3
"""Slow events in a row that begin a slow period; one or two are delays of the network."""
_NORMAL_EVENTS = 2
"""Normal events in a row that end a slow period."""
_SILENCE_RATIO = 3.0
"""Multiple of the current time per event after which a server without an event is slow."""
_MIN_DURATION_SECONDS = 0.25
"""Shorter periods aren't kept: they are delays of the network, and would displace the others."""
_MAX_DURATION_SECONDS = 30.0
_MAX_DURATIONS = 128
"""Ended slow periods that are kept for each backend."""
_LASTING_SECONDS = 1.0
"""Slow periods of this length are logged."""
_UNSEEN_SECONDS = 0.5
"""Time without an event after which the end of a slow period was not seen."""
_PACE_WEIGHT = 1 / 1000
"""Weight of an event in the average slowdown of its backend."""
_MAX_SLOWDOWN = 2.0
_WAIT_WEIGHT = 0.1
"""Weight of a stream's wait for its first event in the average wait of its backend."""
_WAIT_AGE_SECONDS = 1.0
"""Age at which a server's last wait counts for about a third; slots are taken and freed by other
processes meanwhile."""
_TYPICAL_AGE_SECONDS = 0.5
"""How long a backend's typical time is kept before it is computed again."""


@dataclasses.dataclass(slots=True, frozen=True)
class Forecast:
    """What is expected of a stream at one server; all times are in seconds."""

    event_seconds: float = 0.0
    """Time per event, with the usual share of slow periods; 0 if unknown."""
    wait_seconds: float = 0.0
    """Wait of a new stream for its first event."""
    slow_seconds: float = 0.0
    """How much longer the current slow period is expected to last; 0 if there is none."""
    slow_event_seconds: float = 0.0
    """Time per event in the current slow period."""
    is_slow: bool = False
    """Whether the server may still be in a slow period."""
    event_error_seconds: float = 0.0
    """Standard error of the time per event, from the number of events that were seen."""

    def predict_seconds(self, events: float) -> float:
        """Return the time for that many further events of a stream that runs."""
        if not self.slow_seconds or self.slow_event_seconds <= self.event_seconds:
            return events * self.event_seconds
        slow_events = self.slow_seconds / self.slow_event_seconds
        if events <= slow_events:
            return events * self.slow_event_seconds
        return self.slow_seconds + (events - slow_events) * self.event_seconds

    def predict_new_seconds(self, events: float) -> float:
        """Return the time for that many events of a new stream, with its wait."""
        return self.wait_seconds + self.predict_seconds(events)


class _Intervals:
    """The last intervals of a server in sorted order."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._sorted)

    @property
    def typical(self) -> float:
        """A low quantile of the intervals; 0 if there are none."""
        return self._sorted[int(len(self) * _TYPICAL_QUANTILE)] if self._sorted else 0.0

    def add(self, seconds: float) -> None:
        """Add an interval, and drop the oldest above the bound."""
        if len(self._recent) >= _MAX_INTERVALS:
            del self._sorted[bisect.bisect_left(self._sorted, self._recent.popleft())]
        self._recent.append(seconds)
        bisect.insort(self._sorted, seconds)


@dataclasses.dataclass(slots=True)
class _SlowPeriod:
    """Slow events in a row; a slow period once there are `_SLOW_EVENTS`, or after a silence."""

    since: float
    last_slow_at: float
    events: int = 0
    seconds: float = 0.0
    """Sum of the slow intervals."""
    normal_events: int = 0
    """Normal events since the last slow one."""
    is_confirmed: bool = False
    is_logged: bool = False

    @property
    def event_seconds(self) -> float:
        return self.seconds / max(1, self.events)

    @property
    def seen_seconds(self) -> float:
        return self.last_slow_at - self.since

    def add(self, interval: float, now: float) -> None:
        self.events += 1
        self.seconds += interval
        self.normal_events = 0
        self.last_slow_at = now


@dataclasses.dataclass(slots=True)
class _ServerSpeed:
    """What is known of one server."""

    backend: str
    first_event_at: float
    last_event_at: float
    observed_seconds: float = 0.0
    """Time that the intervals cover, without the pauses between streams."""
    intervals: _Intervals = dataclasses.field(default_factory=_Intervals)
    period: _SlowPeriod | None = None
    wait_seconds: float = 0.0
    """The last wait of a stream for its first event."""
    waited_at: float = -math.inf

    @property
    def relative_error(self) -> float:
        """
        The standard error of its typical time, as a fraction; 0 from `_FEW_EVENTS` on.

        Events of several streams at the same time count as one, since what delays one delays all.
        """
        typical = self.intervals.typical
        independent = self.observed_seconds / typical if typical else 0.0
        events = max(1.0, min(len(self.intervals), independent))
        return _INTERVAL_SCATTER / math.sqrt(events) if events < _FEW_EVENTS else 0.0

    @property
    def is_settled(self) -> bool:
        """Whether its own intervals show its typical speed."""
        observed = self.last_event_at - self.first_event_at
        return len(self.intervals) >= _MIN_INTERVALS and observed >= _MIN_OBSERVED_SECONDS


class _SlowPeriods:
    """
    The durations of a backend's last slow periods.

    The end of many is not seen, because their texts end or are moved. Of these it is only known
    that they lasted longer: without them, lasting periods would look rarer and shorter than they
    are.
    """

    def __init__(self) -> None:
        self._recent: collections.deque[tuple[float, bool]] = collections.deque()
        self._sorted: list[tuple[float, bool]] = []

    def add(self, seconds: float, is_end_seen: bool) -> None:
        """Add a period that was seen for this time."""
        if seconds < _MIN_DURATION_SECONDS:
            return
        if len(self._recent) >= _MAX_DURATIONS:
            del self._sorted[bisect.bisect_left(self._sorted, self._recent.popleft())]
        self._recent.append((min(seconds, _MAX_DURATION_SECONDS), is_end_seen))
        bisect.insort(self._sorted, self._recent[-1])

    def predict_remaining(self, elapsed: float) -> float:
        """
        Return how much longer a slow period is expected to last.

        It is the mean over the past periods that lasted longer (Kaplan-Meier). One that lasts
        longer than all of them is expected to last as long again as it has lasted.
        """
        index = bisect.bisect_right(self._sorted, (elapsed, True))
        remaining = 0.0
        survival = 1.0
        since = elapsed
        for position in range(index, len(self._sorted)):
            seconds, is_end_seen = self._sorted[position]
            remaining += survival * (seconds - since)
            since = seconds
            if is_end_seen:
                survival *= 1.0 - 1.0 / (len(self._sorted) - position)
        return remaining + survival * since


class _BackendSpeed:
    """What the servers of a backend have in common."""

    def __init__(self) -> None:
        self.slowdown = 1.0
        """Average ratio of the intervals to the typical one of their server."""
        self.wait_seconds = 0.0
        self.typical = 0.0
        self.typical_at = -math.inf
        self.periods = _SlowPeriods()


class ServerSpeedModel:
    """
    Predicts the time of streams at servers from the events of all streams; not thread-safe.

    The servers of a backend are expected to run the same kind of work, so that the durations of
    their slow periods are comparable. At most 4096 servers are kept.
    """

    def __init__(self) -> None:
        self._servers: dict[str, _ServerSpeed] = {}
        self._backends: dict[str, _BackendSpeed] = collections.defaultdict(_BackendSpeed)

    def record_first_event(self, backend: str, name: str, wait_seconds: float, now: float) -> None:
        """Record the first event of a stream, and the time since the stream was requested."""
        server = self._find_or_add(backend, name, now)
        server.last_event_at = now
        server.wait_seconds = wait_seconds
        server.waited_at = now
        group = self._backends[backend]
        group.wait_seconds += _WAIT_WEIGHT * (wait_seconds - group.wait_seconds)

    def record_event(self, backend: str, name: str, interval: float, now: float) -> None:
        """Record an event, and the seconds since the event before it of the same stream."""
        server = self._find_or_add(backend, name, now)
        silence = min(interval, now - server.last_event_at)
        typical = self._read_typical(server, now)
        server.intervals.add(interval)
        server.observed_seconds += silence
        server.last_event_at = now
        if not typical:
            return
        group = self._backends[backend]
        group.slowdown += _PACE_WEIGHT * (interval / typical - group.slowdown)
        if interval > _SLOW_RATIO * typical:
            self._record_slow_event(name, server, interval, now)
            if silence > _SILENCE_RATIO * typical and server.period is not None:
                server.period.is_confirmed = True
        elif server.period is not None:
            self._record_normal_event(name, server, interval, now)

    def predict(self, backend: str, name: str, now: float, has_streams: bool) -> Forecast:
        """
        Return the forecast for a server; for one without any event, that of its backend.

        `has_streams` tells whether streams of this process that have had an event run there, so
        that a time without events is a silence of the server.
        """
        group = self._backends[backend]
        slowdown = min(_MAX_SLOWDOWN, max(1.0, group.slowdown))
        server = self._servers.get(name)
        if server is None or server.backend != backend:
            typical = self._read_backend_typical(backend, now)
            pace = typical * slowdown
            return Forecast(pace, group.wait_seconds, event_error_seconds=pace * _INTERVAL_SCATTER)
        typical = self._read_typical(server, now)
        weight = math.exp(-max(0.0, now - server.waited_at) / _WAIT_AGE_SECONDS)
        wait = weight * server.wait_seconds + (1.0 - weight) * group.wait_seconds
        silence = now - server.last_event_at if has_streams else 0.0
        period = self._find_slow_period(server, typical, silence, now)
        is_slow = period is not None
        slow = period if period is not None and period[0] > 0.0 else (0.0, 0.0)
        own = typical if slow[0] else server.intervals.typical or typical
        error = own * slowdown * server.relative_error
        return Forecast(own * slowdown, wait, *slow, is_slow, error)

    def predict_wait(self, backend: str, elapsed: float) -> float:
        """
        Return how much longer a stream waits for an event that is `elapsed` seconds overdue.

        The wait is for a slot, or for memory. Once it is longer than usual, it is expected to last
        as long again.
        """
        usual = self._backends[backend].wait_seconds
        return usual - elapsed if elapsed < usual / 2 else elapsed

    def read_interval(self, name: str, now: float) -> float:
        """Return a server's present time per event in seconds; 0 if unknown."""
        server = self._servers.get(name)
        if server is None:
            return 0.0
        if server.period is not None and server.period.is_confirmed:
            return server.period.event_seconds
        return self._read_typical(server, now)

    def forget(self, name: str) -> None:
        """Forget a server, because another one has its name now."""
        self._servers.pop(name, None)

    def _find_slow_period(
        self, server: _ServerSpeed, typical: float, silence: float, now: float
    ) -> tuple[float, float] | None:
        """
        Return how much longer a server's slow period lasts, and its time per event.

        None if it is in none. The remaining time is 0 if the period should be over and no stream
        has shown yet that it is.
        """
        periods = self._backends[server.backend].periods
        period = server.period if server.period and server.period.is_confirmed else None
        pace = max(typical, period.event_seconds if period else 0.0)
        if typical and silence > _SILENCE_RATIO * pace:
            since = period.since if period else server.last_event_at
            return periods.predict_remaining(now - since), max(pace, silence)
        if period is None:
            return None
        if now - period.last_slow_at <= _UNSEEN_SECONDS:
            return periods.predict_remaining(now - period.since), pace
        remaining = periods.predict_remaining(period.seen_seconds)
        ends_at = period.last_slow_at + remaining
        if now >= ends_at + remaining:
            return None
        return max(0.0, ends_at - now), pace

    def _record_slow_event(
        self, name: str, server: _ServerSpeed, interval: float, now: float
    ) -> None:
        group = self._backends[server.backend]
        period = server.period
        unseen = now - interval - period.last_slow_at if period is not None else 0.0
        if period is not None and unseen > _UNSEEN_SECONDS:
            if not period.is_confirmed:
                server.period = None
            elif unseen > 2 * group.periods.predict_remaining(period.seen_seconds):
                self._end_period(name, server, now - interval)
        if server.period is None:
            server.period = _SlowPeriod(now - interval, now)
        period = server.period
        period.add(interval, now)
        if period.events >= _SLOW_EVENTS:
            period.is_confirmed = True
        is_lasting = period.is_confirmed and period.seen_seconds >= _LASTING_SECONDS
        if is_lasting and not period.is_logged:
            period.is_logged = True
            _log_begin(name, period, self._read_typical(server, now))

    def _record_normal_event(
        self, name: str, server: _ServerSpeed, interval: float, now: float
    ) -> None:
        period = server.period
        if period is None:
            return
        if not period.is_confirmed:
            server.period = None
            return
        period.normal_events += 1
        if period.normal_events >= _NORMAL_EVENTS:
            self._end_period(name, server, now - interval)

    def _end_period(self, name: str, server: _ServerSpeed, ended_at: float) -> None:
        """End a slow period and record its duration; its end was seen if it was just now."""
        period = server.period
        if period is None:
            return
        server.period = None
        is_end_seen = ended_at - period.last_slow_at <= _UNSEEN_SECONDS
        self._backends[server.backend].periods.add(period.seen_seconds, is_end_seen)
        metrics.count(metrics.SLOW_PERIODS)
        if period.is_logged:
            log.warn_bounded(
                f"server-normal-{name}",
                "the slow period is over",
                seconds=round(period.seen_seconds, 2),
            )

    def _read_typical(self, server: _ServerSpeed, now: float) -> float:
        own = server.intervals.typical
        if server.is_settled:
            return own
        usual = self._read_backend_typical(server.backend, now)
        is_unlikely = usual and own > _SLOW_RATIO * usual
        return usual if is_unlikely or not own else own

    def _read_backend_typical(self, backend: str, now: float) -> float:
        """Return the median of the typical times of the backend's servers; 0 if unknown."""
        group = self._backends[backend]
        if now - group.typical_at >= _TYPICAL_AGE_SECONDS or not group.typical:
            group.typical_at = now
            known = [server for server in self._servers.values() if server.backend == backend]
            settled = [server.intervals.typical for server in known if server.is_settled]
            others = [server.intervals.typical for server in known if len(server.intervals) > 1]
            group.typical = statistics.median_low(settled or others or [0.0])
        return group.typical

    def _find_or_add(self, backend: str, name: str, now: float) -> _ServerSpeed:
        server = self._servers.get(name)
        if server is None or server.backend != backend:
            while len(self._servers) >= _MAX_SERVERS:
                self._servers.pop(next(iter(self._servers)))
            server = self._servers[name] = _ServerSpeed(backend, now, now)
        return server


def _log_begin(name: str, period: _SlowPeriod, typical: float) -> None:
    log.warn_bounded(
        f"server-slow-{name}",
        "a slow period lasts",
        seconds=round(period.seen_seconds, 2),
        event_ms=int(period.event_seconds * 1000),
        typical_ms=int(typical * 1000),
    )
