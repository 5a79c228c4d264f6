"""
Generates the samples of registered steps.

One task takes samples from the steps and starts a separate task for each of them.
"""

import dataclasses
import threading

from oleander_base import clock, log, metrics, tasks
from oleander_contracts import contract, fold
from oleander_samples import collector, registry
from oleander_samples import steps as sample_steps
from oleander_samples import work as sample_work
from oleander_wire import messages
from oleanderdeal import dispatch, step_takeover

_POLL_SECONDS = 0.05
_SAMPLE_TIMEOUT_SECONDS = 600.0
_READY_TIMEOUT_SECONDS = 0.5
"""Bound on the arrival of samples that sidecars have finished; pulls wait for them meanwhile."""
_MIN_RETRY_PAUSE_SECONDS = 0.02
_MAX_RETRY_PAUSE_SECONDS = 1.0
_MAX_LAST_PEERS = 32768


class LastPeers:
    """
    Remembers the sidecar that each sample was last sent to; bounded, evicts the oldest record.

    That sidecar is excluded from the sample's next attempt. A sample that is moved away from a
    slow engine, or hedged against it, gains nothing by running there again. Without the exclusion
    it could be sent there, because an engine that lost its work for being slow has a low load.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._peer_names: dict[tuple[str, str, int, int], str] = {}

    def record(self, step: sample_steps.Step, number: int, peer_name: str) -> None:
        """Record the sidecar that a sample is sent to."""
        key = (step.customer, step.trainer, step.step, number)
        with self._lock:
            self._peer_names.pop(key, None)
            self._peer_names[key] = peer_name
            while len(self._peer_names) > _MAX_LAST_PEERS:
                self._peer_names.pop(next(iter(self._peer_names)))

    def find(self, step: sample_steps.Step, number: int) -> frozenset[str]:
        """Return the sidecar to exclude for a sample's next attempt, or an empty set."""
        with self._lock:
            name = self._peer_names.get((step.customer, step.trainer, step.step, number))
        return frozenset() if name is None else frozenset((name,))


class SampleObserver(dispatch.JobObserver):
    """Passes a sample's tokens to its step's collector as they arrive."""

    def __init__(
        self,
        step_collector: collector.StepCollector,
        work: sample_work.SampleWork,
        last_peers: "LastPeers",
    ) -> None:
        self._collector = step_collector
        self._last_peers = last_peers
        self._work = work
        self._cancelled = threading.Event()

    def on_peer_chosen(self, name: str) -> None:
        """Record the sidecar, so that the sample's next attempt goes to another one."""
        self._last_peers.record(self._collector.step, self._work.number, name)

    def on_tokens(self, tokens: messages.Tokens) -> None:
        """Add tokens to the sample."""
        self._collector.record_progress(
            self._work.work_id, tokens.text, tokens.tokens, tokens.version
        )

    def cancel(self) -> None:
        """Cancel the sample: another copy finished first, or it can't be delivered any more."""
        self._cancelled.set()

    def is_gone(self) -> bool:
        """Return whether the sample was cancelled."""
        return self._cancelled.is_set()


@dataclasses.dataclass(slots=True, frozen=True)
class _StepWork:
    """One sample to generate, and the collector of its step."""

    step_collector: collector.StepCollector
    work: sample_work.SampleWork


class SamplingPool:
    """
    Runs samples of all open steps concurrently, taking work from the steps in round-robin order.

    The number of concurrent samples is bounded; at the bound, work stays queued in its step.
    """

    def __init__(
        self,
        steps: registry.StepRegistry,
        dispatcher: dispatch.Dispatcher,
        configuration: fold.ConfigurationFold,
        group: tasks.TaskGroup,
        max_samples: int,
        takeover: step_takeover.StepTakeover,
    ) -> None:
        self._steps = steps
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._group = group
        self._takeover = takeover
        self._slots = threading.BoundedSemaphore(max_samples)
        self._lock = threading.Lock()
        self._observers: dict[str, SampleObserver] = {}
        self._draining = threading.Event()
        self._last_peers = LastPeers()
        self._next_position = 0

    @property
    def is_idle(self) -> bool:
        """Whether no sample is in progress."""
        return not self._observers

    def drain(self) -> None:
        """Start no more samples; those in progress are finished."""
        self._draining.set()

    def feed(self) -> None:
        """Start samples while there is work and a free slot, until the group stops."""
        while not self._group.is_stopping:
            self._cancel_all(self._steps.take_cancellations())
            metrics.record_gauge(metrics.SAMPLES_RUNNING, len(self._observers))
            if not self._slots.acquire(timeout=_POLL_SECONDS):
                continue
            step_work = None if self._draining.is_set() else self._take_work()
            if step_work is None:
                self._slots.release()
                self._group.pause(_POLL_SECONDS)
            else:
                self._start(step_work)

    def _start(self, step_work: _StepWork) -> None:
        observer = SampleObserver(step_work.step_collector, step_work.work, self._last_peers)
        with self._lock:
            self._observers[step_work.work.work_id] = observer
        self._group.start(lambda: self._run_slot(step_work, observer))

    def _run_slot(self, step_work: _StepWork, observer: SampleObserver) -> None:
        try:
            self._make_sample(step_work.step_collector, step_work.work, observer)
        finally:
            with self._lock:
                self._observers.pop(step_work.work.work_id, None)
            self._slots.release()

    def _take_work(self) -> _StepWork | None:
        open_steps = self._steps.collectors
        self._next_position += 1
        for position in range(len(open_steps)):
            step_collector = open_steps[(position + self._next_position) % len(open_steps)]
            work = step_collector.next_work()
            if work is not None:
                return _StepWork(step_collector, work)
        return None

    def _make_sample(
        self,
        step_collector: collector.StepCollector,
        work: sample_work.SampleWork,
        observer: SampleObserver,
    ) -> None:
        terms = self._configuration.find_contract(step_collector.step.customer)
        trainer = terms.find_trainer(step_collector.step.trainer) if terms else None
        if terms is None or trainer is None:
            step_collector.fail_work(work.work_id)
            log.warn_bounded(
                "sample-without-contract", "the customer's contract or trainer no longer exists"
            )
            self._group.pause(_MAX_RETRY_PAUSE_SECONDS)
            return
        peer = self._find_joined_peer(step_collector, work)
        job = _create_job(step_collector.step, work, terms, trainer, bool(peer))
        self._dispatch_sample(step_collector, work, job, observer, peer)

    def _find_joined_peer(
        self, step_collector: collector.StepCollector, work: sample_work.SampleWork
    ) -> str:
        """Return the sidecar that has a sample that this entry takes over, or an empty name."""
        if work.resumed_tokens:
            return ""
        ready = self._takeover.pop_finished(step_collector.step)
        if ready:
            step_collector.expect_ready(ready, clock.start_deadline(_READY_TIMEOUT_SECONDS))
        peer = self._takeover.pop_peer(step_collector.step, work.number)
        if peer:
            metrics.count(metrics.SAMPLES_JOINED)
        return peer

    def _dispatch_sample(
        self,
        step_collector: collector.StepCollector,
        work: sample_work.SampleWork,
        job: dispatch.Job,
        observer: SampleObserver,
        peer: str,
    ) -> None:
        deadline = clock.start_deadline(_SAMPLE_TIMEOUT_SECONDS)
        excluded_peers = self._last_peers.find(step_collector.step, work.number)
        takeover_count = step_collector.takeover_count
        result = self._dispatcher.run_once(job, deadline, observer, excluded_peers, peer)
        if result.answer.outcome is messages.Outcome.DONE:
            self._cancel_all(step_collector.finish_work(work.work_id).redundant_work_ids)
            return
        is_moved = result.answer.reason == messages.REASON_STEP_MOVED
        if is_moved:
            _suspend_step(step_collector, takeover_count)
        if is_moved and result.answer.outcome is messages.Outcome.FAILED:
            step_collector.hand_over_work(work.work_id)
            return
        step_collector.fail_work(work.work_id)
        pause = result.answer.retry_after_ms / 1000
        self._group.pause(min(_MAX_RETRY_PAUSE_SECONDS, max(_MIN_RETRY_PAUSE_SECONDS, pause)))

    def _cancel_all(self, work_ids: list[str] | tuple[str, ...]) -> None:
        with self._lock:
            found = [self._observers.get(work_id) for work_id in work_ids]
        for observer in found:
            if observer is not None:
                observer.cancel()


def _suspend_step(step_collector: collector.StepCollector, takeover_count: int) -> None:
    step_collector.suspend(takeover_count)
    step = step_collector.step
    log.warn_bounded(
        f"step-moved-{step.customer}-{step.trainer}-{step.step}",
        "another entry collects the step; it is suspended here until its trainer is back",
    )


def _create_job(
    step: sample_steps.Step,
    work: sample_work.SampleWork,
    terms: contract.Contract,
    trainer: contract.TrainerTerms,
    joins: bool,
) -> dispatch.Job:
    return dispatch.Job(
        customer=terms.customer,
        share_percent=terms.share_percent,
        retry_percent=terms.retry_percent,
        operation=f"sample-{trainer.name}",
        backend=trainer.backend,
        priority=contract.Priority.SAMPLING,
        key="",
        trace_id=work.work_id,
        body=work.prompt.encode(),
        generation=messages.GenerationTerms(
            model=trainer.model,
            prefix=work.prefix,
            max_tokens=work.max_tokens,
            resumed_text=work.resumed_text,
            resumed_tokens=work.resumed_tokens,
            oldest_version=work.oldest_version,
            sample=messages.SampleId(
                step.trainer, step.incarnation, step.step, work.number, joins
            ),
        ),
    )
