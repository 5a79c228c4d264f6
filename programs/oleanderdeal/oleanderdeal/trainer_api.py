"""The HTTP API for trainers: publish weights, register steps and pull samples."""

import collections.abc
import json
import re

import expression

from oleander_base import clock, findings, log
from oleander_contracts import contract, fold
from oleander_samples import collector, pulls, readers, registry, steps
from oleanderdeal import (
    customer_metrics,
    gates,
    http_messages,
    step_takeover,
    trainer_incarnations,
    version_publisher,
)

_PUBLISH_TIMEOUT_SECONDS = 5.0
_MAX_BODY_BYTES = 4096
_NUMBER_PATTERN = re.compile(r"[0-9]{1,15}")
_RETRY_AFTER_MS = 1000


class TrainerApi:
    """Handles requests below /v1/customers/CUSTOMER/models and /v1/customers/CUSTOMER/trainers."""

    def __init__(
        self,
        configuration: fold.ConfigurationFold,
        steps: registry.StepRegistry,
        versions: version_publisher.VersionPublisher,
        incarnations: trainer_incarnations.TrainerIncarnations,
        takeover: step_takeover.StepTakeover,
        find_own_url: collections.abc.Callable[[], str],
        is_draining: collections.abc.Callable[[], bool],
        threads: gates.ThreadLimits,
    ) -> None:
        self._configuration = configuration
        self._steps = steps
        self._versions = versions
        self._incarnations = incarnations
        self._takeover = takeover
        self._find_own_url = find_own_url
        self._is_draining = is_draining
        self._threads = threads

    def put_version(
        self, request: http_messages.HttpRequest, customer: str, model: str, version_text: str
    ) -> http_messages.HttpAnswer:
        """Publish a weight version; responds once the log holds its record."""
        terms = self._configuration.find_contract(customer)
        if terms is None or all(item.model != model for item in terms.trainers):
            return _answer_not_found("no-such-model")
        uri = _read_uri(request.body)
        if not _NUMBER_PATTERN.fullmatch(version_text) or uri is None:
            place = "body.uri" if uri is None else "path version"
            return http_messages.answer_findings(
                findings.Findings((findings.Finding(place, "is missing or wrong"),))
            )
        deadline = clock.start_deadline(_PUBLISH_TIMEOUT_SECONDS)
        published = self._versions.publish(customer, model, int(version_text), uri, deadline)
        if published.is_ok():
            return http_messages.answer_json(
                {"version": int(version_text), "offset": published.ok}
            )
        error = published.error
        return http_messages.answer_problem(
            http_messages.Problem(
                error.status, error.detail, error.outcome, error.reason, error.retry_after_ms
            )
        )

    def put_step(
        self, request: http_messages.HttpRequest, customer: str, trainer: str, step_text: str
    ) -> http_messages.HttpAnswer:
        """Register a step; repeating the same request changes nothing."""
        if self._is_draining():
            return http_messages.answer_problem(
                http_messages.Problem(
                    503, "This entry is leaving.", "not-run", "leaving", _RETRY_AFTER_MS
                )
            )
        terms = self._find_trainer_terms(customer, trainer)
        if terms is None:
            return _answer_not_found("no-such-trainer")
        step = readers.read_step(customer, trainer, step_text, request.body)
        if step.is_error():
            return http_messages.answer_findings(step.error)
        if self._incarnations.is_superseded(customer, trainer, step.ok.incarnation):
            return _refuse_step(step.ok, registry.RefusalReason.SUPERSEDED)
        if self._steps.find(customer, trainer, step.ok.step) is None:
            self._takeover.take(step.ok, terms.backend)
        registered = self._steps.register(step.ok, terms)
        if registered.is_error():
            return _refuse_step(step.ok, registered.error.reason)
        is_opened = registered.ok.step is step.ok
        if not is_opened:
            registered.ok.resume()
            self._takeover.take(step.ok, terms.backend)
        _log_registration(step.ok, "opened" if is_opened else "updated")
        return http_messages.answer_json(
            {
                "step": step.ok.step,
                "collector": self._find_own_url(),
                "samples": step.ok.sample_count,
            }
        )

    def pull(
        self, request: http_messages.HttpRequest, customer: str, trainer: str, step_text: str
    ) -> http_messages.HttpAnswer:
        """Return samples of a step that the trainer does not hold yet, waiting for new ones."""
        parsed = readers.read_pull(request.body)
        if parsed.is_error():
            return http_messages.answer_findings(parsed.error)
        step_collector = None
        if _NUMBER_PATTERN.fullmatch(step_text):
            step_collector = self._steps.find(customer, trainer, int(step_text))
        if step_collector is None:
            return _answer_not_found("step-unknown")
        terms = self._find_trainer_terms(customer, trainer)
        if terms is not None and not request.is_gone():
            self._resume(step_collector, terms.backend)
        started_at = clock.read_now()
        pulled = self._pull(step_collector, parsed.ok)
        waited_ms = int((clock.read_now() - started_at) * 1000)
        customer_metrics.count_samples(customer, trainer, "idle_ms", waited_ms)
        _log_pull(step_collector, parsed.ok, pulled, waited_ms)
        if pulled.is_error():
            return _refuse_pull(pulled.error)
        encoded = pulls.encode_answer(pulled.ok)
        return http_messages.HttpAnswer(
            200,
            http_messages.JSON_TYPE,
            [encoded.body],
            (("Content-Digest", encoded.digest),),
        )

    def _resume(self, step_collector: collector.StepCollector, backend: str) -> None:
        """Take a step back from the entry that its trainer had moved to meanwhile."""
        if step_collector.resume():
            self._takeover.take(step_collector.step, backend)

    def _pull(
        self, step_collector: collector.StepCollector, pull: pulls.Pull
    ) -> expression.Result[pulls.PullAnswer, pulls.PullRefusal]:
        """Pull samples; wait for new ones only if enough threads remain for other requests."""
        if not self._threads.try_acquire(gates.Gate.PULL):
            return step_collector.pull(pull, 0.0)
        try:
            return step_collector.pull(pull, pull.wait_ms / 1000)
        finally:
            self._threads.release(gates.Gate.PULL)

    def delete_step(self, customer: str, trainer: str, step_text: str) -> http_messages.HttpAnswer:
        """End a step early; succeeds also if the step is unknown, since it has ended already."""
        if _NUMBER_PATTERN.fullmatch(step_text):
            self._steps.delete(customer, trainer, int(step_text))
        return http_messages.answer_json({})

    def _find_trainer_terms(self, customer: str, trainer: str) -> contract.TrainerTerms | None:
        terms = self._configuration.find_contract(customer)
        return terms.find_trainer(trainer) if terms else None


def _log_registration(step: steps.Step, outcome: str) -> None:
    log.logger.bind(
        event="step-registered",
        customer=step.customer,
        trainer=step.trainer,
        step=step.step,
        incarnation=step.incarnation,
        version=step.version,
        samples=step.sample_count,
        held=None if step.held is None else len(step.held),
    ).info(outcome)


def _log_pull(
    step_collector: collector.StepCollector,
    pull: pulls.Pull,
    pulled: expression.Result[pulls.PullAnswer, pulls.PullRefusal],
    waited_ms: int,
) -> None:
    """Log a pull, unless it ended without a sample because none was finished in time."""
    if pulled.is_ok() and not pulled.ok.samples and not pulled.ok.complete:
        return
    step = step_collector.step
    outcome = pulled.error.reason.value if pulled.is_error() else "answered"
    log.logger.bind(
        event="pull",
        customer=step.customer,
        trainer=step.trainer,
        step=step.step,
        incarnation=pull.incarnation,
        version=pull.version,
        held=len(pull.held),
        samples=len(pulled.ok.samples) if pulled.is_ok() else 0,
        started=step_collector.started_attempts,
        waited_ms=waited_ms,
    ).info(outcome)


def _refuse_step(step: steps.Step, reason: registry.RefusalReason) -> http_messages.HttpAnswer:
    _log_registration(step, reason.value)
    if reason is registry.RefusalReason.TOO_MANY:
        return http_messages.answer_problem(
            http_messages.Problem(
                503,
                "Too many steps are open here.",
                "not-run",
                reason.value,
                _RETRY_AFTER_MS,
            )
        )
    return http_messages.answer_problem(
        http_messages.Problem(409, "The step was not registered.", "not-run", reason.value)
    )


def _read_uri(body: bytes) -> str | None:
    try:
        content = json.loads(body[:_MAX_BODY_BYTES])
    except (ValueError, RecursionError):
        return None
    uri = content.get("uri") if isinstance(content, dict) else None
    return uri if isinstance(uri, str) else None


def _answer_not_found(reason: str) -> http_messages.HttpAnswer:
    return http_messages.answer_problem(
        http_messages.Problem(404, "There is no such thing here.", "not-run", reason)
    )


def _refuse_pull(refusal: pulls.PullRefusal) -> http_messages.HttpAnswer:
    match refusal.reason:
        case pulls.RefusalReason.STEP_UNKNOWN:
            return _answer_not_found("step-unknown")
        case pulls.RefusalReason.BAD_HELD:
            return http_messages.answer_findings(refusal.found)
        case _:
            return http_messages.answer_problem(
                http_messages.Problem(
                    409, "A newer pull took its place.", "not-run", refusal.reason.value
                )
            )
