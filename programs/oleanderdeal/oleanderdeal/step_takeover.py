"""
Takes over the samples that sidecars generate or keep for a step another entry collected.

A trainer that gives up on a slow entry registers its step at the next one. Without a takeover the
whole step would be generated twice, which slows an overloaded deployment further.
"""

import threading

from oleander_base import clock, log
from oleander_samples import number_sets, registry, steps
from oleander_wire import messages
from oleanderdeal import calls, peer_link, peers

_ASK_TIMEOUT_SECONDS = 0.5
"""Bound on the answers of all sidecars together; samples of later ones are generated again."""


class _Search:
    """The sidecars' answers to the takeover of one step; collected by the first to need them."""

    def __init__(
        self, step: steps.Step, sent: list[tuple[peer_link.PeerLink, calls.Call]]
    ) -> None:
        self._step = step
        self._sent = sent
        self._deadline = clock.start_deadline(_ASK_TIMEOUT_SECONDS)
        self._lock = threading.Lock()
        self._is_collected = False
        self._peer_names: dict[int, str] = {}
        self._finished: set[int] = set()

    def pop_finished(self) -> frozenset[int]:
        """Return the finished samples that were found, only once."""
        with self._lock:
            if not self._is_collected:
                self._collect()
            finished = frozenset(self._finished)
            self._finished.clear()
            return finished

    def pop_peer(self, number: int) -> str:
        """Return the sidecar that has a sample, only once; empty if there is none."""
        with self._lock:
            if not self._is_collected:
                self._collect()
            return self._peer_names.pop(number, "")

    def is_for(self, step: steps.Step) -> bool:
        """Return whether this is the search for a step."""
        known = (self._step.incarnation, self._step.step)
        return known == (step.incarnation, step.step)

    def close(self) -> None:
        """Forget the calls to sidecars."""
        for link, call in self._sent:
            link.close_call(call)

    def _collect(self) -> None:
        self._is_collected = True
        answered = 0
        for link, call in self._sent:
            answer = call.wait(self._deadline)
            if not isinstance(answer, messages.Answer) or not answer.body:
                answered += isinstance(answer, messages.Answer)
                continue
            answered += 1
            numbers, finished = _read_found(answer, self._step.sample_count)
            self._peer_names |= dict.fromkeys(numbers, link.name)
            self._finished |= finished
        self.close()
        log.logger.bind(
            event="step-taken",
            customer=self._step.customer,
            trainer=self._step.trainer,
            step=self._step.step,
            incarnation=self._step.incarnation,
            asked=len(self._sent),
            answered=answered,
            found=len(self._peer_names),
            finished=len(self._finished),
        ).info("asked the sidecars for samples of the step")


class StepTakeover:
    """
    Asks sidecars for the samples of steps that this entry begins to collect; thread-safe.

    Keeps the newest search of each trainer, and those of 256 trainers at most: samples of an
    evicted one are generated again.
    """

    def __init__(self, links: peers.PeerLinks) -> None:
        self._links = links
        self._lock = threading.Lock()
        self._searches: dict[tuple[str, str], _Search] = {}

    def take(self, step: steps.Step, backend: str) -> None:
        """Become the collector of a step at all sidecars, without waiting for their answers."""
        sent = [
            (link, _send_take(link, step))
            for link in self._links.list_routed(backend)
            if link.shares_samples
        ]
        search = _Search(step, sent)
        key = (step.customer, step.trainer)
        with self._lock:
            dropped = [self._searches.pop(key, None)]
            self._searches[key] = search
            while len(self._searches) > registry.MAX_TRAINERS:
                dropped.append(self._searches.pop(next(iter(self._searches))))
        for item in dropped:
            if item is not None:
                item.close()

    def pop_peer(self, step: steps.Step, number: int) -> str:
        """
        Return the sidecar that has a sample of a step, or an empty name.

        Blocks until the sidecars have answered, for half a second after `take` at most. A sample
        is found only once, so that one that is discarded is generated again.
        """
        search = self._find_search(step)
        return search.pop_peer(number) if search is not None else ""

    def pop_finished(self, step: steps.Step) -> frozenset[int]:
        """
        Return the samples of a step that sidecars have finished; empty after the first call.

        Blocks like `pop_peer`.
        """
        search = self._find_search(step)
        return search.pop_finished() if search is not None else frozenset()

    def _find_search(self, step: steps.Step) -> _Search | None:
        with self._lock:
            search = self._searches.get((step.customer, step.trainer))
        return search if search is not None and search.is_for(step) else None


def _send_take(link: peer_link.PeerLink, step: steps.Step) -> calls.Call:
    call = link.open_call(calls.create_request_id())
    take = messages.TakeStep(
        call.request_id, step.customer, step.trainer, step.incarnation, step.step
    )
    if link.send(take).is_error():
        call.put(calls.LinkLost())
    return call


def _read_found(answer: messages.Answer, total: int) -> tuple[frozenset[int], frozenset[int]]:
    """Return the numbers of all samples and of the finished ones; none from a malformed answer."""
    numbers_text, _, finished_text = answer.body.decode("ascii", "replace").partition("/")
    numbers = number_sets.parse_numbers(numbers_text, total)
    finished = number_sets.parse_numbers(finished_text, total)
    if numbers.is_error() or finished.is_error():
        log.warn_bounded("odd-sample-numbers", "a sidecar's answer is not a set of samples")
        return frozenset(), frozenset()
    return numbers.ok, finished.ok
