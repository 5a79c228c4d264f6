"""Makes the samples of registered steps: one task finds work, each sample has its own."""

import dataclasses
import threading

from oleander_base import clock, log, metrics, tasks
from oleander_contracts import contract, fold
from oleander_samples import collector, registry
from oleander_samples import steps as sample_steps
from oleander_samples import work as sample_work
from oleander_wire import messages
from oleanderdeal import dispatch

_IDLE_SECONDS = 0.05
_SAMPLE_SECONDS = 600.0
_LEAST_PAUSE_SECONDS = 0.02
_MOST_PAUSE_SECONDS = 1.0
_MOST_LAST_PEERS = 32768


class LastPeers:
    """
    Who made each sample last; bounded, the sample noted longest ago is forgotten.

    A sample that is moved away from a slow engine, or raced against it, gains nothing by going
    there again, and an engine that was emptied for its slowness draws work by its low load.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._names: dict[tuple[str, str, int, int], str] = {}

    def note(self, step: sample_steps.Step, number: int, name: str) -> None:
        """Remember the sidecar that a sample is given to."""
        key = (step.customer, step.trainer, step.step, number)
        with self._lock:
            self._names.pop(key, None)
            self._names[key] = name
            while len(self._names) > _MOST_LAST_PEERS:
                self._names.pop(next(iter(self._names)))

    def find(self, step: sample_steps.Step, number: int) -> frozenset[str]:
        """Return the sidecar to avoid, if any."""
        with self._lock:
            name = self._names.get((step.customer, step.trainer, step.step, number))
        return frozenset() if name is None else frozenset((name,))


class SampleObserver(dispatch.JobObserver):
    """Hands a sample's tokens to its step as they come."""

    def __init__(
        self,
        made_for: collector.StepCollector,
        work: sample_work.SampleWork,
        last_peers: "LastPeers",
    ) -> None:
        self._made_for = made_for
        self._last_peers = last_peers
        self._work = work
        self._cancelled = threading.Event()

    def on_peer_chosen(self, name: str) -> None:
        """Remember who makes the sample, so that its next attempt goes elsewhere."""
        self._last_peers.note(self._made_for.step, self._work.number, name)

    def on_tokens(self, tokens: messages.Tokens) -> None:
        """Add the next tokens."""
        self._made_for.record_progress(
            self._work.work_id, tokens.text, tokens.tokens, tokens.version
        )

    def cancel(self) -> None:
        """Stop the sample: another copy was whole first, or it could not be delivered."""
        self._cancelled.set()

    def is_gone(self) -> bool:
        """Return whether the sample is of no more use."""
        return self._cancelled.is_set()


@dataclasses.dataclass(slots=True, frozen=True)
class _Taken:
    """Work and the step that it belongs to."""

    made_for: collector.StepCollector
    work: sample_work.SampleWork


class SamplingPool:
    """
    Takes work from every open step in turn and runs a bounded number of samples at once.

    At the bound no more work is taken from the steps, where it waits.
    """

    def __init__(
        self,
        steps: registry.StepRegistry,
        dispatcher: dispatch.Dispatcher,
        configuration: fold.ConfigurationFold,
        group: tasks.TaskGroup,
        most_samples: int,
    ) -> None:
        self._steps = steps
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._group = group
        self._slots = threading.BoundedSemaphore(most_samples)
        self._lock = threading.Lock()
        self._observers: dict[str, SampleObserver] = {}
        self._draining = threading.Event()
        self._last_peers = LastPeers()
        self._turn = 0

    @property
    def is_idle(self) -> bool:
        """Whether no sample is being made."""
        return not self._observers

    def drain(self) -> None:
        """Start no more samples; those under way are finished."""
        self._draining.set()

    def feed(self) -> None:
        """Start samples as long as there is work and room, until the group stops."""
        while not self._group.is_stopping:
            self._cancel_all(self._steps.take_cancellations())
            metrics.record_gauge(metrics.SAMPLES_RUNNING, len(self._observers))
            if not self._slots.acquire(timeout=_IDLE_SECONDS):
                continue
            taken = None if self._draining.is_set() else self._take_work()
            if taken is None:
                self._slots.release()
                self._group.pause(_IDLE_SECONDS)
            else:
                self._start(taken)

    def _start(self, taken: _Taken) -> None:
        observer = SampleObserver(taken.made_for, taken.work, self._last_peers)
        with self._lock:
            self._observers[taken.work.work_id] = observer
        self._group.start(lambda: self._run_slot(taken, observer))

    def _run_slot(self, taken: _Taken, observer: SampleObserver) -> None:
        try:
            self._make(taken.made_for, taken.work, observer)
        finally:
            with self._lock:
                self._observers.pop(taken.work.work_id, None)
            self._slots.release()

    def _take_work(self) -> _Taken | None:
        open_steps = self._steps.collectors
        self._turn += 1
        for position in range(len(open_steps)):
            made_for = open_steps[(position + self._turn) % len(open_steps)]
            work = made_for.next_work()
            if work is not None:
                return _Taken(made_for, work)
        return None

    def _make(
        self,
        made_for: collector.StepCollector,
        work: sample_work.SampleWork,
        observer: SampleObserver,
    ) -> None:
        terms = self._configuration.find_contract(made_for.step.customer)
        trainer = terms.find_trainer(made_for.step.trainer) if terms else None
        if terms is None or trainer is None:
            made_for.fail_work(work.work_id)
            log.warn_bounded("sample-without-contract", "a step's contract is no longer in force")
            self._group.pause(_MOST_PAUSE_SECONDS)
            return
        self._run(made_for, work, _write_job(work, terms, trainer), observer)

    def _run(
        self,
        made_for: collector.StepCollector,
        work: sample_work.SampleWork,
        job: dispatch.Job,
        observer: SampleObserver,
    ) -> None:
        deadline = clock.start_deadline(_SAMPLE_SECONDS)
        avoided = self._last_peers.find(made_for.step, work.number)
        ended = self._dispatcher.run_once(job, deadline, observer, avoided)
        if ended.answer.outcome is messages.Outcome.DONE:
            self._cancel_all(made_for.finish_work(work.work_id).redundant_work_ids)
            return
        made_for.fail_work(work.work_id)
        pause = ended.answer.retry_after_ms / 1000
        self._group.pause(min(_MOST_PAUSE_SECONDS, max(_LEAST_PAUSE_SECONDS, pause)))

    def _cancel_all(self, work_ids: list[str] | tuple[str, ...]) -> None:
        with self._lock:
            found = [self._observers.get(work_id) for work_id in work_ids]
        for observer in found:
            if observer is not None:
                observer.cancel()


def _write_job(
    work: sample_work.SampleWork, terms: contract.Contract, trainer: contract.TrainerTerms
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
        ),
    )
