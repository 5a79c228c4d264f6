"""Validates the requests of callers, runs them and builds their HTTP answers."""

import collections.abc
import contextlib
import dataclasses
import itertools
import json
import typing

from oleander_base import clock, metrics
from oleander_contracts import fold
from oleander_wire import messages
from oleanderdeal import (
    caller_requests,
    callers,
    customer_metrics,
    dispatch,
    gates,
    http_messages,
    ticket_dispatch,
)

_JobEvents = collections.abc.Generator[dispatch.JobEvent, None, None]
_TITLES = {
    messages.Outcome.NOT_RUN: "The request did not run.",
    messages.Outcome.UNKNOWN: "The request may have run.",
    messages.Outcome.FAILED: "The request ran and failed.",
}


class CallerApi:
    """Handles POST /v1/customers/CUSTOMER/operations/OPERATION."""

    def __init__(
        self,
        configuration: fold.ConfigurationFold,
        dispatcher: dispatch.Dispatcher,
        ticket_dispatcher: ticket_dispatch.TicketDispatcher,
        thread_limits: gates.ThreadLimits,
    ) -> None:
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._ticket_dispatcher = ticket_dispatcher
        self._thread_limits = thread_limits

    def handle(
        self, request: http_messages.HttpRequest, customer: str, operation_name: str
    ) -> http_messages.HttpAnswer:
        """Run one request of a customer."""
        metrics.count(metrics.REQUESTS)
        terms = self._configuration.find_contract(customer)
        operation = terms.find_operation(operation_name) if terms else None
        if terms is None or operation is None:
            return _build_not_found()
        read = caller_requests.read_caller_request(request, terms, operation)
        if read.is_error():
            return http_messages.answer_findings(read.error)
        gate = gates.find_gate(operation.priority)
        if not self._thread_limits.try_acquire(gate):
            answer = callers.build_refusal("entry-busy", gates.RETRY_AFTER_MS)
            if not operation.repeatable:
                answer = self._ticket_dispatcher.refuse(read.ok, answer)
            customer_metrics.count_answer(read.ok, answer)
            return _build_http_answer(read.ok, answer)
        if read.ok.is_streamed:
            return self._stream(read.ok, request.is_gone, gate)
        started_at = clock.read_now()
        try:
            return self._run(read.ok, request.is_gone)
        finally:
            self._thread_limits.release(gate)
            metrics.record_timing(metrics.REQUEST_MS, (clock.read_now() - started_at) * 1000)

    def issue_key(self, customer: str, operation_name: str) -> http_messages.HttpAnswer:
        """Issue an idempotency key for one request of a non-repeatable operation."""
        terms = self._configuration.find_contract(customer)
        operation = terms.find_operation(operation_name) if terms else None
        if operation is None or operation.repeatable:
            return _build_not_found()
        issued = self._ticket_dispatcher.issue(customer, operation)
        if issued.is_error():
            return _build_http_problem(issued.error)
        return http_messages.answer_json({"key": issued.ok})

    def _run(
        self, request: callers.CallerRequest, is_gone: collections.abc.Callable[[], bool]
    ) -> http_messages.HttpAnswer:
        if not request.operation.repeatable:
            answer = self._ticket_dispatcher.run(request)
            customer_metrics.count_answer(request, answer)
            return _build_http_answer(request, answer)
        observer = GenerationObserver(is_gone)
        ended = self._dispatcher.run(_build_job(request), request.deadline, observer)
        answer = _build_answer(request, ended.answer, observer)
        customer_metrics.count_answer(request, answer)
        return _build_http_answer(request, answer)

    def _stream(
        self,
        request: callers.CallerRequest,
        is_gone: collections.abc.Callable[[], bool],
        gate: gates.Gate,
    ) -> http_messages.HttpAnswer:
        """Stream the answer as lines; before the first tokens a refusal is still possible."""
        observer = GenerationObserver(is_gone)
        events = self._release_gate_after(
            gate, self._dispatcher.stream(_build_job(request), request.deadline, observer)
        )
        first = next(events)
        if isinstance(first, dispatch.JobResult):
            events.close()
            answer = _build_answer(request, first.answer, observer)
            customer_metrics.count_answer(request, answer)
            return _build_http_answer(request, answer)
        lines = _write_lines(request, observer, first, events)
        headers = (("Trace-Id", request.trace_id),)
        return http_messages.HttpAnswer(200, http_messages.LINES_TYPE, lines, headers)

    def _release_gate_after(
        self, gate: gates.Gate, events: collections.abc.Iterator[dispatch.JobEvent]
    ) -> _JobEvents:
        """Yield a job's events; release its thread when they end or the generator is closed."""
        try:
            yield from events
        finally:
            self._thread_limits.release(gate)


class GenerationObserver(dispatch.JobObserver):
    """Collects a generation's text and the weight versions that produced it."""

    def __init__(self, is_gone: collections.abc.Callable[[], bool]) -> None:
        self._is_gone = is_gone
        self._texts: list[str] = []
        self._label: list[callers.LabelPart] = []

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self._texts)

    @property
    def label(self) -> tuple[callers.LabelPart, ...]:
        """Tokens by weight version so far, with adjacent parts of one version merged."""
        return tuple(self._label)

    def on_tokens(self, tokens: messages.Tokens) -> None:
        """Append the next tokens."""
        self._texts.append(tokens.text)
        if tokens.version is None or tokens.tokens == 0:
            return
        if self._label and self._label[-1].version == tokens.version:
            merged = self._label[-1].tokens + tokens.tokens
            self._label[-1] = callers.LabelPart(tokens.version, merged)
        else:
            self._label.append(callers.LabelPart(tokens.version, tokens.tokens))

    def resume(self, terms: messages.GenerationTerms) -> messages.GenerationTerms:
        """Return the terms for resuming on another engine after the tokens received so far."""
        made = sum(part.tokens for part in self._label)
        return messages.GenerationTerms(
            terms.model, terms.prefix, terms.max_tokens, self.text, made, terms.oldest_version
        )

    def is_gone(self) -> bool:
        """Return whether the caller has closed its connection."""
        return self._is_gone()


def _build_job(request: callers.CallerRequest) -> dispatch.Job:
    return dispatch.Job(
        customer=request.customer,
        share_percent=request.terms.share_percent,
        retry_percent=request.terms.retry_percent,
        operation=request.operation.name,
        backend=request.operation.backend,
        priority=request.operation.priority,
        key=request.key,
        trace_id=request.trace_id,
        body=request.body,
        generation=request.generation,
    )


def _build_answer(
    request: callers.CallerRequest, answer: messages.Answer, observer: GenerationObserver
) -> callers.CallerAnswer:
    converted = callers.convert_answer(answer)
    if request.generation is None or converted.outcome is not messages.Outcome.DONE:
        return converted
    body = json.dumps({"text": observer.text, "label": _write_label(observer.label)}).encode()
    return dataclasses.replace(converted, body=body, label=observer.label)


def _write_label(label: tuple[callers.LabelPart, ...]) -> list[dict[str, int]]:
    return [{"version": part.version, "tokens": part.tokens} for part in label]


def _write_lines(
    request: callers.CallerRequest,
    observer: GenerationObserver,
    first: messages.Tokens,
    events: _JobEvents,
) -> collections.abc.Iterator[bytes]:
    """Yield a line for each piece of text and one for the end, which a cut stream lacks."""
    with contextlib.closing(events):
        yield from _write_events(request, observer, itertools.chain([first], events))


def _write_events(
    request: callers.CallerRequest,
    observer: GenerationObserver,
    events: collections.abc.Iterator[dispatch.JobEvent],
) -> collections.abc.Iterator[bytes]:
    for event in events:
        if isinstance(event, messages.Tokens):
            yield _write_line(
                {"text": event.text, "tokens": event.tokens, "version": event.version}
            )
            continue
        answer = _build_answer(request, event.answer, observer)
        customer_metrics.count_answer(request, answer)
        last: dict[str, typing.Any] = {
            "outcome": answer.outcome.value,
            "label": _write_label(observer.label),
        }
        if answer.outcome is not messages.Outcome.DONE:
            last |= {"reason": answer.reason, "retry_after_ms": answer.retry_after_ms}
        yield _write_line(last)


def _write_line(content: dict[str, typing.Any]) -> bytes:
    return json.dumps(content).encode() + b"\n"


def _build_http_answer(
    request: callers.CallerRequest, answer: callers.CallerAnswer
) -> http_messages.HttpAnswer:
    trace = (("Trace-Id", request.trace_id),)
    if answer.outcome is messages.Outcome.DONE:
        return http_messages.HttpAnswer(
            answer.status, http_messages.JSON_TYPE, [answer.body], trace
        )
    problem = _build_http_problem(answer)
    return dataclasses.replace(problem, headers=problem.headers + trace)


def _build_http_problem(answer: callers.CallerAnswer) -> http_messages.HttpAnswer:
    return http_messages.answer_problem(
        http_messages.Problem(
            answer.status,
            _TITLES[answer.outcome],
            answer.outcome.value,
            answer.reason,
            answer.retry_after_ms,
        )
    )


def _build_not_found() -> http_messages.HttpAnswer:
    return http_messages.answer_problem(
        http_messages.Problem(
            404, "No such customer or operation.", "not-run", "no-such-operation"
        )
    )
