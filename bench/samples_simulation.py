"""A simulated fleet of engines, an entry and a trainer around a real collector; simulated time."""

import collections.abc
import dataclasses
import heapq
import math
import random

from oleander_contracts import contract
from oleander_samples import collector, hedging, pulls, steps

PIECE_TOKENS = 64
SEEDS = (1, 2, 3, 4, 5)
PULL_SECONDS = 0.5
_POLL_SECONDS = 0.5
_MOST_SECONDS = 100_000.0


@dataclasses.dataclass(slots=True, frozen=True)
class Workload:
    """A step and the fleet that makes it."""

    groups: int = 64
    samples: int = 8
    median_tokens: int = 300
    group_sigma: float = 0.4
    sample_sigma: float = 0.8
    max_tokens: int = 4096
    engines: int = 16
    slots: int = 8
    tokens_per_second: float = 50.0
    slow_engines: int = 0
    slow_factor: float = 0.2
    slow_from: float = 0.0
    """Seconds after the start at which the slow engines become slow."""
    prompt_tokens: int = 200
    prefill_per_second: float = 4000.0
    staleness_bound: int = 100
    objective: contract.Objective = contract.Objective.IDLE_TIME
    policy: hedging.StragglerPolicy = hedging.StragglerPolicy(5)

    @property
    def total(self) -> int:
        """The samples of the step."""
        return self.groups * self.samples


SMALL = Workload(groups=32, samples=8, engines=8, slots=8)


def print_table(title: str, header: str, rows: collections.abc.Iterable[str]) -> None:
    """Print a table in Markdown."""
    print(f"\n### {title}\n")
    print(f"| {header} |")
    print("|" + "---|" * (header.count("|") + 1))
    for row in rows:
        print(f"| {row} |", flush=True)


class Timeline:
    """Events in the order of their simulated times."""

    def __init__(self) -> None:
        self._events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._count = 0
        self.now = 0.0

    def read_now(self) -> float:
        """Return the simulated time."""
        return self.now

    def call_in(self, seconds: float, action: collections.abc.Callable[[], None]) -> None:
        """Run an action so many seconds from now."""
        self._count += 1
        heapq.heappush(self._events, (self.now + seconds, self._count, action))

    def run_until(self, is_over: collections.abc.Callable[[], bool]) -> None:
        """Run events until a condition holds."""
        while not is_over():
            self.now, _, action = heapq.heappop(self._events)
            if self.now > _MOST_SECONDS:
                raise RuntimeError("the simulated step does not end")
            action()


class LengthSource:
    """Draws the length of texts: heavy-tailed, alike within a group."""

    def __init__(self, workload: Workload, seed: int) -> None:
        self._workload = workload
        self._random = random.Random(seed)
        self._centres = [
            math.log(workload.median_tokens) + self._random.gauss(0, workload.group_sigma)
            for _ in range(workload.groups)
        ]

    def draw(self, group: int, made: int) -> int:
        """Return the length of a text that already has some tokens."""
        workload = self._workload
        for _ in range(200):
            tokens = int(self._random.lognormvariate(self._centres[group], workload.sample_sigma))
            if tokens > made:
                return max(1, min(workload.max_tokens, tokens))
        return min(workload.max_tokens, made + workload.median_tokens)


@dataclasses.dataclass(slots=True)
class Generation:
    """A text that an engine is making."""

    work: collector.SampleWork
    engine: "Engine"
    length: int
    made: int
    started_at: float
    is_over: bool = False


@dataclasses.dataclass(slots=True)
class Engine:
    """A model engine with a number of slots of one speed."""

    index: int
    seconds_per_token: float
    version: int = 7
    running: dict[str, Generation] = dataclasses.field(default_factory=dict)


class Entry:
    """Starts what its collector wants on free slots and feeds it the streams."""

    def __init__(self, timeline: Timeline, workload: Workload, seed: int) -> None:
        self.timeline = timeline
        self.workload = workload
        self.lengths = LengthSource(workload, seed)
        full_speed = 1.0 / workload.tokens_per_second
        self.engines = [Engine(index, full_speed) for index in range(workload.engines)]
        timeline.call_in(workload.slow_from, self._slow_down)
        self.made_tokens = 0
        self.collector: collector.StepCollector | None = None
        self._generations: dict[str, Generation] = {}
        self._last_engine: dict[int, int] = {}
        self._is_polling = False

    @property
    def generations(self) -> list[Generation]:
        """What runs."""
        return list(self._generations.values())

    def open_step(
        self, step: int, version: int, held: frozenset[int] | None = frozenset()
    ) -> collector.StepCollector:
        """Register a step with a collector that knows nothing."""
        workload = self.workload
        groups = (steps.Group("p", "", workload.samples, workload.max_tokens),) * workload.groups
        body = steps.Step("bench", "bench", step, 1, version, groups, held)
        terms = contract.TrainerTerms(
            "bench",
            "bench",
            "m",
            workload.staleness_bound,
            workload.objective,
            workload.policy.hedge_percent,
        )
        for generation in self.generations:
            self.stop(generation)
        self._last_engine.clear()
        self.collector = collector.StepCollector(
            body, terms, 1, self.timeline.read_now, workload.policy
        )
        if not self._is_polling:
            self._is_polling = True
            self._poll()
        return self.collector

    def stop(self, generation: Generation) -> None:
        """End a generation at its engine."""
        generation.is_over = True
        generation.engine.running.pop(generation.work.work_id, None)
        self._generations.pop(generation.work.work_id, None)

    def dispatch(self) -> None:
        """Cancel what is not wanted and fill the free slots."""
        if self.collector is None:
            return
        self._cancel(self.collector.take_cancellations())
        while any(len(item.running) < self.workload.slots for item in self.engines):
            work = self.collector.next_work()
            if work is None:
                return
            self._start(work)

    def _slow_down(self) -> None:
        for engine in self.engines[: self.workload.slow_engines]:
            engine.seconds_per_token /= self.workload.slow_factor

    def _poll(self) -> None:
        self.dispatch()
        self.timeline.call_in(_POLL_SECONDS, self._poll)

    def _start(self, work: collector.SampleWork) -> None:
        engine = self._choose_engine(work.number)
        made = work.resumed_tokens
        length = self.lengths.draw(work.group, made)
        generation = Generation(work, engine, length, made, self.timeline.now)
        engine.running[work.work_id] = generation
        self._generations[work.work_id] = generation
        self._last_engine[work.number] = engine.index
        prefill = (self.workload.prompt_tokens + made) / self.workload.prefill_per_second
        self._schedule(generation, prefill)

    def _choose_engine(self, number: int) -> Engine:
        """Return the engine with the most free slots, another than the sample had before."""
        free = [item for item in self.engines if len(item.running) < self.workload.slots]
        others = [item for item in free if item.index != self._last_engine.get(number)]
        return min(others or free, key=lambda item: (len(item.running), -item.index))

    def _schedule(self, generation: Generation, delay: float) -> None:
        tokens = min(PIECE_TOKENS, generation.length - generation.made)
        seconds = tokens * generation.engine.seconds_per_token
        self.timeline.call_in(delay + seconds, lambda: self._advance(generation, tokens))

    def _advance(self, generation: Generation, tokens: int) -> None:
        if generation.is_over or self.collector is None:
            return
        generation.made += tokens
        self.made_tokens += tokens
        work_id = generation.work.work_id
        self.collector.record_progress(work_id, "", tokens, generation.engine.version)
        if generation.made < generation.length:
            self._schedule(generation, 0.0)
            return
        self.stop(generation)
        self._cancel(self.collector.finish_work(work_id).redundant_work_ids)
        self.dispatch()

    def _cancel(self, work_ids: collections.abc.Iterable[str]) -> None:
        for work_id in work_ids:
            if work_id in self._generations:
                self.stop(self._generations[work_id])


class Trainer:
    """Pulls a step until it has all samples, and notes how stale they were."""

    def __init__(self, timeline: Timeline, interval: float) -> None:
        self._timeline = timeline
        self._interval = interval
        self.version = 7
        self.held: dict[int, steps.Sample] = {}
        self.staleness: list[int] = []
        self.is_complete = False
        self._silent_until = 0.0

    @property
    def delivered_tokens(self) -> int:
        """The tokens of the samples that it has."""
        return sum(part.tokens for item in self.held.values() for part in item.label)

    def pause(self, seconds: float) -> None:
        """Pull nothing for a while."""
        self._silent_until = self._timeline.now + seconds

    def pull(self, source: collector.StepCollector, most: int = 64) -> bool:
        """Pull once; return whether samples came."""
        request = pulls.Pull(1, self.version, frozenset(self.held), 0, most)
        answer = source.pull(request, 0.0).ok
        self.take(answer.samples)
        self.is_complete = answer.complete
        return bool(answer.samples)

    def take(self, samples: collections.abc.Iterable[steps.Sample]) -> None:
        """Keep what arrived."""
        for sample in samples:
            self.held[sample.number] = sample
            self.staleness.append(self.version - sample.oldest_version)

    def pull_until_complete(self, entry: Entry) -> None:
        """Pull again and again."""
        if entry.collector is not None and self._timeline.now >= self._silent_until:
            while not self.is_complete and self.pull(entry.collector):
                pass
            entry.dispatch()
        if not self.is_complete:
            self._timeline.call_in(self._interval, lambda: self.pull_until_complete(entry))

    def run(self, timeline: Timeline) -> None:
        """Run events until the step is complete."""
        timeline.run_until(lambda: self.is_complete)
