"""Runs admitted requests on a sidecar's backend server, one at a time for each slot."""

import threading

from oleander_admission import admission
from oleander_admission import work as admission_work
from oleander_base import clock, log, metrics, tasks
from oleander_wire import messages
from oleanderdeal import pending_runs, runners

_TAKE_TIMEOUT_SECONDS = 0.2
"""Longest wait of a slot for work before it checks for a stop and answers expired requests."""
_INITIAL_SERVICE_MS = 20.0
"""Predicted time of a service call before any has finished; low, see `_INITIAL_TOKEN_MS`."""
_INITIAL_TOKEN_MS = 1.0
"""Predicted time of a token before any generation has finished. It is low on purpose, because work
that is predicted to exceed its budget is refused even when the queue is empty."""


class Executor:
    """
    Admits, queues and runs requests; each gets exactly one answer.

    The admission queue bounds how many wait. A request that it refuses, displaces or lets expire
    is answered "not run" at once.
    """

    def __init__(
        self,
        queue: admission.AdmissionQueue,
        runner: runners.Runner,
        group: tasks.TaskGroup,
        slots: int,
    ) -> None:
        self._queue = queue
        self._runner = runner
        self._group = group
        self._slots = slots
        self._lock = threading.Lock()
        self._pending: dict[str, pending_runs.PendingRun] = {}
        self._answers_in_flight = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request waits or runs and every answer has been sent."""
        with self._lock:
            return not self._pending and not self._answers_in_flight

    def start(self) -> None:
        """Start one task for each slot."""
        for _ in range(self._slots):
            self._group.supervise(self._serve_slot)

    def submit(self, pending: pending_runs.PendingRun) -> None:
        """Queue a request or refuse it at once."""
        with self._lock:
            self._pending[pending.work_id] = pending
        admitted = self._queue.submit(_build_work(pending))
        if admitted.is_error():
            self._refuse(pending.work_id, admitted.error)
            return
        self._answer_dropped()
        self._preempt_for(pending.run.priority)

    def cancel(self, work_id: str) -> None:
        """Stop a repeatable request that its entry no longer wants; others run to their end."""
        with self._lock:
            pending = self._pending.get(work_id)
        if pending is None or not pending.run.repeatable:
            return
        if self._queue.cancel(work_id):
            self._answer(
                work_id,
                messages.Answer("", messages.Outcome.NOT_RUN, 0, "cancelled", 0, b"", 0),
            )
            return
        pending.cancel()

    def refuse_waiting(self) -> None:
        """
        Refuse all waiting requests as not run, so that entries send them to other sidecars.

        They could still be run here, but the backend server would get new work after it was told
        to leave, some of it long after.
        """
        self._queue.drop_waiting()
        self._answer_dropped()

    def _preempt_for(self, priority: int) -> None:
        """Cancel a repeatable request of lower priority; it is resumed at another sidecar."""
        work_id = self._queue.find_preemptible(priority)
        if work_id is None:
            return
        with self._lock:
            pending = self._pending.get(work_id)
        if pending is not None and pending.run.repeatable:
            pending.cancel()

    def _serve_slot(self) -> None:
        while not self._group.is_stopping:
            taken = self._queue.take(_TAKE_TIMEOUT_SECONDS)
            self._answer_dropped()
            if taken is not None:
                self._run(taken.work_id)

    def _run(self, work_id: str) -> None:
        with self._lock:
            pending = self._pending[work_id]
        started_at = clock.read_now()
        answer = self._run_unless_abandoned(pending)
        service_ms = (clock.read_now() - started_at) * 1000
        is_done = answer.outcome is messages.Outcome.DONE
        self._queue.finish(work_id, service_ms, completed=is_done)
        _log_run(pending, answer, service_ms)
        self._answer(work_id, answer)

    def _run_unless_abandoned(self, pending: pending_runs.PendingRun) -> messages.Answer:
        """
        Run a request, unless its entry has closed the link before the backend is called.

        When a suspended sidecar resumes, it may hold requests whose entry has closed its link and
        sent them elsewhere. Without this check, it started these requests before the thread that
        reads the link noticed that it was closed, and generated up to 168 tokens that no one
        received.
        """
        if pending.is_unwanted:
            return _build_not_run("too-late")
        if pending.run.repeatable and pending.is_abandoned():
            return _build_not_run("entry-gone")
        try:
            return runners.run_timed(self._runner, pending)
        except Exception:
            log.logger.bind(event="run-failed", trace=pending.run.trace_id).exception(
                "unexpected error while running a request"
            )
            return messages.Answer("", messages.Outcome.UNKNOWN, 0, "internal-error", 0, b"", 0)

    def _answer_dropped(self) -> None:
        for dropped in self._queue.take_dropped():
            self._refuse(dropped.work.work_id, dropped.refusal)
        metrics.record_gauge(metrics.QUEUE_DEPTH, self._queue.queued)
        metrics.record_gauge(metrics.RUNNING, self._queue.running)

    def _refuse(self, work_id: str, refusal: admission_work.Refusal) -> None:
        answer = messages.Answer(
            "", messages.Outcome.NOT_RUN, 0, refusal.reason, refusal.retry_after_ms, b"", 0
        )
        self._answer(work_id, answer)

    def _answer(self, work_id: str, answer: messages.Answer) -> None:
        """
        Send the answer of a request, unless it was answered before.

        The request counts as in flight until its answer is sent. Otherwise a sidecar that stops
        once nothing is pending could close the link before the last answer is sent.
        """
        with self._lock:
            pending = self._pending.pop(work_id, None)
            if pending is None:
                return
            self._answers_in_flight += 1
        try:
            pending.answer(answer)
        finally:
            with self._lock:
                self._answers_in_flight -= 1


def _build_not_run(reason: str) -> messages.Answer:
    return messages.Answer("", messages.Outcome.NOT_RUN, 0, reason, 0, b"", 0)


def _log_run(pending: pending_runs.PendingRun, answer: messages.Answer, service_ms: float) -> None:
    run = pending.run
    log.logger.bind(
        event="run", trace=run.trace_id, customer=run.customer, operation=run.operation
    ).debug(f"{answer.outcome.value} {answer.reason} in {service_ms:.0f} ms")


def _build_work(pending: pending_runs.PendingRun) -> admission_work.Work:
    run = pending.run
    cost = _INITIAL_SERVICE_MS
    if run.generation is not None:
        remaining = max(1, run.generation.max_tokens - run.generation.resumed_tokens)
        cost = remaining * _INITIAL_TOKEN_MS
    return admission_work.Work(
        pending.work_id, run.customer, run.priority, run.share_percent, cost, pending.deadline
    )
