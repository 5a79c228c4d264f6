"""Runs a request on a sidecar's backend server: a plain service or a model engine."""

import abc

from oleander_backends import engine, service
from oleander_base import clock
from oleander_wire import messages
from oleanderdeal import pending_runs, weights

REASON_CANCELLED = "cancelled"
REASON_LABEL_UNKNOWN = "label-unknown"
REASON_OUT_OF_ROTATION = "out-of-rotation"
_LATE_ANSWER_SECONDS = 10.0
"""How long a non-repeatable call may continue after its caller's deadline."""


class Runner(abc.ABC):
    """Runs requests on one kind of backend server; `run` blocks until the request ends."""

    @abc.abstractmethod
    def run(self, pending: pending_runs.PendingRun) -> messages.Answer:
        """Run the request and return its answer."""


def _build_answer(
    outcome: messages.Outcome, reason: str, retry_after_ms: int = 0, status: int = 0
) -> messages.Answer:
    return messages.Answer("", outcome, status, reason, retry_after_ms, b"", 0)


class ServiceRunner(Runner):
    """
    Calls a plain service once for each request.

    A non-repeatable call is waited for until ten seconds past its caller's deadline. If it were
    abandoned at the deadline, the service would still finish it, and a caller that retries would
    be told "unknown" for ever; with the wait a retry gets the answer. The slot is held meanwhile,
    which loses nothing, because the service is still working on the call.
    """

    def __init__(self, backend: service.Service) -> None:
        self._backend = backend

    def run(self, pending: pending_runs.PendingRun) -> messages.Answer:
        """Call the service once; if its answer is lost the outcome is "unknown"."""
        run = pending.run
        late_seconds = 0.0 if run.repeatable else _LATE_ANSWER_SECONDS
        deadline = clock.start_deadline(pending.deadline.remaining + late_seconds)
        result = self._backend.call(run.operation, run.key, run.body, deadline)
        if result.is_ok():
            return messages.Answer(
                "", _classify_status(result.ok.status), result.ok.status, "", 0, result.ok.body, 0
            )
        if result.error.not_run:
            return _build_answer(messages.Outcome.NOT_RUN, "service-unreachable", 1000)
        return _build_answer(messages.Outcome.UNKNOWN, "service-gave-no-answer")


def _classify_status(status: int) -> messages.Outcome:
    return messages.Outcome.DONE if status < 500 else messages.Outcome.FAILED


class EngineRunner(Runner):
    """Streams tokens from a model engine, each labelled with its weight version."""

    def __init__(self, backend: engine.Engine, keeper: weights.WeightReconciler) -> None:
        self._backend = backend
        self._keeper = keeper

    def run(self, pending: pending_runs.PendingRun) -> messages.Answer:
        """Stream a generation; after a failure the tokens sent so far can be resumed elsewhere."""
        terms = pending.run.generation
        if terms is None:
            return _build_answer(messages.Outcome.NOT_RUN, "not-a-generation")
        before = self._keeper.read_state()
        version = before.usable_version
        if version is None or version < terms.oldest_version:
            return _build_answer(messages.Outcome.NOT_RUN, REASON_OUT_OF_ROTATION, 500)
        started = self._backend.generate(_build_generation(pending.run, terms), pending.deadline)
        if started.is_error():
            return _convert_error(started.error)
        stream = started.ok
        pending.stop_backend = stream.cancel
        try:
            return self._forward(pending, stream, before)
        finally:
            pending.stop_backend = None

    def _forward(
        self,
        pending: pending_runs.PendingRun,
        stream: engine.GenerationStream,
        before: weights.WeightState,
    ) -> messages.Answer:
        """
        Forward tokens to the entry as the engine produces them.

        `before` must be read before the engine is called. If it were read after the answer begins,
        it could be the state after a weight load, although the first tokens precede the load.

        An engine that states versions for only part of a stream had incompletely loaded weights
        during the other part. Skipping that part would leave a gap in the text, so the stream is
        cancelled there; the tokens sent before it are complete, and the rest is generated
        elsewhere.
        """
        sent = 0
        unlabelled: list[engine.Chunk] = []
        for result in stream:
            if pending.is_unwanted:
                stream.cancel()
                return _build_answer(messages.Outcome.FAILED, REASON_CANCELLED)
            if result.is_error():
                return _convert_error(result.error)
            chunk = result.ok
            self._keeper.record_token_marking(chunk.version is not None)
            if chunk.version is None:
                unlabelled.append(chunk)
            elif not unlabelled:
                sent += 1
                pending.send(_build_tokens(pending.run, chunk, chunk.version))
            cannot_label = sent or chunk.version is not None or before.is_order_pending
            if unlabelled and cannot_label:
                stream.cancel()
                return _build_answer(messages.Outcome.FAILED, REASON_LABEL_UNKNOWN)
            if chunk.is_last:
                return self._end(pending, unlabelled, before)
        return _build_answer(messages.Outcome.FAILED, "stream-broke-off")

    def _end(
        self,
        pending: pending_runs.PendingRun,
        unlabelled: list[engine.Chunk],
        before: weights.WeightState,
    ) -> messages.Answer:
        """
        Send the unlabelled tokens if the engine's weights can't have changed meanwhile.

        The engine is asked for its version again. If it differs, or a weight order was open at any
        time, some tokens may come from either version, and all unlabelled ones are discarded.
        """
        if unlabelled:
            version = self._keeper.confirm_unchanged(before)
            if version is None:
                return _build_answer(messages.Outcome.FAILED, REASON_LABEL_UNKNOWN)
            for chunk in unlabelled:
                pending.send(_build_tokens(pending.run, chunk, version))
        return _build_answer(messages.Outcome.DONE, "", status=200)


def _build_generation(run: messages.Run, terms: messages.GenerationTerms) -> engine.Generation:
    return engine.Generation(
        request_id=f"{run.trace_id}.{run.request_id}",
        prompt=run.body.decode("utf-8", "replace"),
        prefix=terms.prefix,
        max_tokens=terms.max_tokens,
        priority=run.priority,
        resumed_text=terms.resumed_text,
        resumed_tokens=terms.resumed_tokens,
    )


def _build_tokens(run: messages.Run, chunk: engine.Chunk, version: int) -> messages.Tokens:
    return messages.Tokens(run.request_id, chunk.text, chunk.tokens, version)


def _convert_error(error: engine.EngineError) -> messages.Answer:
    if error.not_run:
        return _build_answer(messages.Outcome.NOT_RUN, "engine-refused", error.retry_after_ms)
    return _build_answer(messages.Outcome.FAILED, "engine-failed")


def run_timed(runner: Runner, pending: pending_runs.PendingRun) -> messages.Answer:
    """Run a request; return its answer with the milliseconds that the backend server took."""
    started_at = clock.read_now()
    answer = runner.run(pending)
    service_ms = int((clock.read_now() - started_at) * 1000)
    return messages.Answer(
        "",
        answer.outcome,
        answer.status,
        answer.reason,
        answer.retry_after_ms,
        answer.body,
        service_ms,
    )
