"""Predicts when the texts of a batch end, from what the router knows of their servers."""

import collections.abc
import dataclasses
import math
import random

from oleander_base import log, metrics
from oleander_batches import submission
from oleander_routing import router, server_speed
from oleander_samples import moves, work

_MOVE_COST_SECONDS = 0.1
"""What a move costs besides the wait for a slot: a connection, the repeated prefill, and the event
that the first server was generating."""
_RETURN_SECONDS = 5.0
"""A text is not moved to a server that it left within this time."""
_OVERDUE_RATIO = 3.0
"""Multiple of the time per event after which a text waits for memory at its server."""
_EQUAL_SECONDS = 0.1
"""Targets where a text is expected to end less than this later than at the best one count as
equal, so that several processes don't move texts to the same server."""
_COMPARED_EVENTS = 30
"""Number of events for which targets are compared before a text's own length is considered."""
_MAX_TARGETS = 6
"""Targets that are compared for each text, which bounds the time of a scan."""
_FIRST_WAIT_SECONDS = 0.15
"""A wait for the first event that is no longer than this is not unusual."""
_DOUBTFUL_ERRORS = 3.0
"""A difference of speeds within this many standard errors counts as none. Each text is looked at
ten times a second, so two are soon reached by chance."""
_NO_SERVERS = router.Outlook({}, (), {})


@dataclasses.dataclass(slots=True, frozen=True)
class _Here:
    """The forecast for a text where it runs."""

    wait_seconds: float
    forecast: server_speed.Forecast

    def predict_seconds(self, events: float) -> float:
        return self.wait_seconds + self.forecast.predict_seconds(events)


class ServerEstimator(moves.CompletionEstimator):
    """Predicts the ends of one batch's texts; used by one thread at a time."""

    def __init__(
        self,
        router_: router.Router,
        build_request: collections.abc.Callable[[], router.RouteRequest | None],
        event_tokens: int,
        is_single_version: bool = False,
    ) -> None:
        """
        Create an estimator; `build_request` names the servers that the batch may use.

        With `is_single_version` a text is moved only to a server that has its weight version.
        """
        self._is_single_version = is_single_version
        self._router = router_
        self._build_request = build_request
        self._event_tokens = event_tokens
        self._random = random.Random(event_tokens)
        self._servers: dict[int, str] = {}
        """The server of each item's last attempt."""
        self._left: dict[tuple[int, str], float] = {}
        """When an item was moved away from a server."""
        self._now = 0.0
        self._backend = ""
        self._outlook = _NO_SERVERS
        self._ranked: list[str] = []
        self._here: dict[str, _Here] = {}
        self._targets: dict[str, str | None] = {}

    def record_server(self, number: int, name: str) -> None:
        """Record the server that an item's attempt is sent to."""
        self._servers[number] = name

    def record_move(self, move: work.Move, submitted: submission.Submission) -> None:
        """Record and log that an item leaves its server."""
        server = self._servers.get(move.number, "")
        self._left[move.number, server] = self._now
        metrics.count(metrics.ITEMS_MOVED)
        log.logger.bind(
            event="item-moved",
            id=submitted.items[move.number].item_id,
            batch=submitted.batch_id,
            server=server,
            target=move.target,
            here_s=round(move.here_seconds, 2),
            elsewhere_s=round(move.elsewhere_seconds, 2),
            gain_s=round(move.gain_seconds, 2),
            reason=move.reason,
        ).info("ends sooner at another server")

    def refresh(self, now: float) -> None:
        """Read the present state of the servers."""
        request = self._build_request()
        self._now = now
        self._backend = request.backend if request is not None else ""
        self._outlook = self._router.read_outlook(request) if request is not None else _NO_SERVERS
        forecasts = self._outlook.forecasts
        self._ranked = sorted(
            (name for name in self._outlook.targets if forecasts[name].event_seconds),
            key=lambda name: forecasts[name].predict_new_seconds(_COMPARED_EVENTS),
        )
        self._here.clear()
        self._targets.clear()

    def predict_here(self, attempt: work.Attempt, tokens: float) -> float:
        """Return the seconds until an attempt has that many further tokens where it runs."""
        return self._find_here(attempt).predict_seconds(tokens / self._event_tokens)

    def predict_elsewhere(self, attempt: work.Attempt, tokens: float) -> float:
        """Return the same at the attempt's target with the cost of the move, or infinity."""
        target = self.find_target(attempt)
        if target is None:
            return math.inf
        forecast = self._outlook.forecasts[target]
        here = self._find_here(attempt).forecast
        if _is_gain_doubtful(here, forecast):
            forecast = dataclasses.replace(forecast, event_seconds=here.event_seconds)
        return _MOVE_COST_SECONDS + forecast.predict_new_seconds(tokens / self._event_tokens)

    def predict_unstarted(self, tokens: float) -> float:
        """Return the seconds until a text that waits to be started has that many tokens."""
        if not self._ranked:
            return 0.0
        forecast = self._outlook.forecasts[self._ranked[len(self._ranked) // 2]]
        return forecast.predict_new_seconds(tokens / self._event_tokens)

    def find_target(self, attempt: work.Attempt) -> str | None:
        """Return the server to which an attempt would be moved, or None if there is none."""
        work_id = attempt.work.work_id
        if work_id not in self._targets:
            self._targets[work_id] = self._choose_target(attempt)
        return self._targets[work_id]

    def explain(self, attempt: work.Attempt) -> str:
        """Return in a word why an attempt ends later where it runs."""
        here = self._find_here(attempt)
        if here.wait_seconds:
            return "waits" if not attempt.generated_tokens else "paused"
        return "slow-period" if here.forecast.slow_seconds else "slower-server"

    def _choose_target(self, attempt: work.Attempt) -> str | None:
        number = attempt.work.number
        here = self._servers.get(number, "")
        possible = [
            name
            for name in self._ranked
            if name != here
            and not self._has_left(number, name)
            and self._can_continue_at(attempt, name)
        ][:_MAX_TARGETS]
        events = attempt.work.expected_tokens / self._event_tokens
        ends = {
            name: self._outlook.forecasts[name].predict_new_seconds(events) for name in possible
        }
        latest = min(ends.values(), default=0.0) + _EQUAL_SECONDS
        equal = [name for name, seconds in ends.items() if seconds <= latest]
        return self._random.choice(equal) if equal else None

    def _can_continue_at(self, attempt: work.Attempt, name: str) -> bool:
        versions = {self._outlook.versions.get(name)}
        return not self._is_single_version or attempt.versions <= versions

    def _has_left(self, number: int, name: str) -> bool:
        return self._now < self._left.get((number, name), -math.inf) + _RETURN_SECONDS

    def _find_here(self, attempt: work.Attempt) -> _Here:
        work_id = attempt.work.work_id
        if work_id not in self._here:
            self._here[work_id] = self._build_here(attempt)
        return self._here[work_id]

    def _build_here(self, attempt: work.Attempt) -> _Here:
        name = self._servers.get(attempt.work.number, "")
        forecast = self._outlook.forecasts.get(name, server_speed.Forecast())
        silence = attempt.measure_silence(self._now)
        if not attempt.generated_tokens:
            is_overdue = silence > _FIRST_WAIT_SECONDS
            usual = max(0.0, forecast.wait_seconds - silence)
            wait = self._router.predict_wait(self._backend, silence) if is_overdue else usual
            return _Here(wait, forecast)
        pace = max(forecast.event_seconds, forecast.slow_event_seconds)
        if not pace or silence <= _OVERDUE_RATIO * pace:
            return _Here(0.0, forecast)
        return _Here(self._router.predict_wait(self._backend, silence), forecast)


def _is_gain_doubtful(here: server_speed.Forecast, there: server_speed.Forecast) -> bool:
    """Return whether a server may look faster only because few events of the two were seen."""
    gain = here.event_seconds - there.event_seconds
    error = math.hypot(here.event_error_seconds, there.event_error_seconds)
    return 0.0 < gain < _DOUBTFUL_ERRORS * error
