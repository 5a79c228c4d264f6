"""The state of one caller's request over all its attempts."""

import dataclasses

from oleander_base import clock
from oleander_direct import attempts, call_outcomes, retry_advice, routes, servers

_MIN_ATTEMPT_SECONDS = 0.02
"""The least time left for an attempt; with less no server answers in time, so its work is lost."""


@dataclasses.dataclass(slots=True)
class CallProgress:
    """The state of one request, updated after each attempt."""

    request: servers.CallRequest
    route: routes.Route
    backend: str
    deadline: clock.Deadline
    is_windowed: bool
    """Whether this is work of a batch, sent only to servers whose request window is open."""
    keeps_to_slots: bool = False
    """As in `router.RouteRequest`."""
    excluded: set[str] = dataclasses.field(default_factory=set)
    """The ids of servers that were already asked."""
    sent_count: int = 0
    """How many servers may have received the request."""
    has_ended_server: bool = False
    """Whether a server ended under the request."""
    error_count: int = 0
    """How many servers ran the request and answered `servers.FAILED_STATUS`."""
    may_have_run: bool = False
    last_failure: call_outcomes.Answered | None = None
    reason: str = ""
    """Why the last attempt failed, for logs and for the outcome."""
    was_suspect: bool = False
    """Whether a crash was already recorded for the request when one of its attempts started."""
    quarantine: clock.Deadline | None = None
    """The end of the quarantine, if the request was not sent because of one."""
    is_finished: bool = False
    """Whether the outcome is decided; attempts that are still running are then cancelled."""

    @property
    def priority(self) -> int:
        """The organisation's priority, or the route's if the organisation has none."""
        own_priority = self.request.priority
        return self.route.priority if own_priority is None else own_priority

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent to another server."""
        if self.sent_count >= self.route.max_servers:
            return False
        if self.is_windowed and self.has_ended_server:
            return False  # Its sender pauses first, for longer each time.
        if self.may_have_run and not self.request.may_repeat:
            return False
        return self.deadline.remaining > _MIN_ATTEMPT_SECONDS

    def record_attempt(
        self, result: attempts.AttemptResult, server_id: str
    ) -> call_outcomes.Answered | None:
        """Record one attempt; return its answer if it is final, or None to try another server."""
        if result.is_error():
            self._record_failure(result.error)
            return None
        answer = result.ok
        if answer.did_not_run or answer.is_wrong_server:
            self.reason = f"refused-{answer.status}"
            return None
        self.may_have_run = True
        if answer.status in servers.REFUSAL_STATUSES:
            self.reason = f"unproven-{answer.status}"
            return None
        if answer.status < attempts.FIRST_FAILURE_STATUS:
            return call_outcomes.Answered(answer, server_id)
        if answer.status == servers.FAILED_STATUS:
            self.error_count += 1
        self.last_failure = call_outcomes.Answered(answer, server_id, self.error_count)
        self.reason = f"status-{answer.status}"
        return None

    def conclude(self, advisor: retry_advice.RetryAdvisor) -> call_outcomes.CallOutcome:
        """Return the outcome if no answer was final; a refusal has a retry-after time."""
        if self.last_failure is not None:
            return self.last_failure
        if self.may_have_run:
            return call_outcomes.Unresolved(self.reason, self.has_ended_server)
        if self.quarantine is not None:
            return call_outcomes.Refused(call_outcomes.QUARANTINED, self.quarantine.remaining_ms)
        return call_outcomes.Refused(
            self.reason, advisor.advise_retry_after_ms(self.route.target_latency_ms)
        )

    def _record_failure(self, failure: servers.CallFailure) -> None:
        self.may_have_run = self.may_have_run or failure.was_sent
        self.has_ended_server = self.has_ended_server or failure.server_ended
        self.reason = failure.detail[: attempts.MAX_LOGGED_CHARACTERS]
        if not failure.was_sent:
            self.sent_count -= 1
