"""
Simulate trainers whose texts run at engines of uneven speed, in simulated time.

The runners are the program's own `BatchRun`, with its own router and estimator or with simpler
ones.
"""

import abc
import collections.abc
import contextlib
import dataclasses
import math
import random
import unittest.mock

import policy_simulation
from oleander_base import clock
from oleander_batches import batch_table, records, submission
from oleander_routing import peers, router
from oleanderdeal import batch_run, completion

SLOTS = 6
QUEUE = 18
EVENT_TOKENS = 80
EVENT_SECONDS = 0.047
_BACKEND = "engines"
_TICK_SECONDS = 0.05
_DELAY_SECONDS = 0.0044
_LOSS = 0.0015
_RETRANSMIT_SECONDS = 0.2
_PREFILL_SECONDS = 0.03
_CONNECT_SECONDS = 0.02
"""Opening a connection."""
_SHORT_PERIOD_SECONDS = 0.6
_STEP_INTERVAL_SECONDS = 4.0
_LONG_FRACTION = 0.08
_LONG_FACTOR = 5
_MEAN_FACTOR = 1 + _LONG_FRACTION * (_LONG_FACTOR - 1)
_MAX_LENGTH = 153
_NEVER = 1e9


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Engines, their slow periods, and the trainers."""

    engines: int = 22
    slower_every: int = 3
    """Every so many engines, one is slower; 0 for none."""
    slower: float = 1.3
    short_fraction: float = 0.0
    """Fraction of the time in which an engine is in a short slow period."""
    short_factor: float = 2.5
    lasting_fraction: float = 0.0
    """Fraction of the engines that have a lasting slow period, or stall, at any time."""
    lasting_factor: tuple[float, float] = (2.5, 6.0)
    lasting_seconds: tuple[float, float] = (4.0, 8.0)
    trainers: int = 4
    steps: int = 10
    items: tuple[int, int] = (32, 48)
    mean_events: tuple[int, int] = (8, 21)
    sigma: float = 0.5
    """Of the logarithm of a length's estimate."""
    has_estimates: bool = True


class Speed:
    """The speed of one engine over time."""

    def __init__(self, load: Load, number: int, seed: int) -> None:
        self._source = random.Random(seed * 1000 + number)
        is_slower = load.slower_every and number % load.slower_every == 0
        self._event_seconds = EVENT_SECONDS * (load.slower if is_slower else 1.0)
        self._load = load
        self._short: dict[int, bool] = {}
        self._lasting = self._plan_lasting()

    def find_next(self, since: float) -> float:
        """Return when an event is complete that is begun at a time."""
        now, left = since, 1.0
        while True:
            factor, until = self._find_factor(now)
            seconds = left * self._event_seconds * factor
            if now + seconds <= until:
                return now + seconds
            left -= (until - now) / (self._event_seconds * factor)
            now = until

    def find_end(self, since: float, events: int) -> float:
        """Return when that many events are complete."""
        now = since
        for _ in range(events):
            now = self.find_next(now)
        return now

    def _plan_lasting(self) -> list[tuple[float, float, float]]:
        load, source = self._load, self._source
        periods: list[tuple[float, float, float]] = []
        if not load.lasting_fraction:
            return periods
        mean = sum(load.lasting_seconds) / 2
        now = 0.0
        while now < _STEP_INTERVAL_SECONDS * load.steps * 3:
            gap = mean * (1 / load.lasting_fraction - 1)
            begin = now + source.expovariate(1 / gap)
            now = begin + source.uniform(*load.lasting_seconds)
            periods.append((begin, now, source.uniform(*load.lasting_factor)))
        return periods

    def _find_factor(self, now: float) -> tuple[float, float]:
        """Return the factor at a time, and until when it holds at least."""
        index = int(now / _SHORT_PERIOD_SECONDS + 1e-9)
        if index not in self._short:
            self._short[index] = self._source.random() < self._load.short_fraction
        factor = self._load.short_factor if self._short[index] else 1.0
        until = (index + 1) * _SHORT_PERIOD_SECONDS
        for begin, end, slower in self._lasting:
            if begin <= now < end:
                return max(factor, slower), min(until, end)
            if begin > now:
                return factor, min(until, begin)
        return factor, until


class Chooser(abc.ABC):
    """Chooses an engine for each text."""

    estimates = True
    """Whether the longest texts are started first."""

    @abc.abstractmethod
    def choose(self, events: float, excluded: frozenset[str]) -> str | None:
        """Return an engine, or None if no more texts may be sent."""

    @abc.abstractmethod
    def start(self, name: str) -> None:
        """Record that a text is sent."""

    @abc.abstractmethod
    def begin(self, name: str, sent_at: float) -> None:
        """Record a text's first event."""

    @abc.abstractmethod
    def record(self, name: str, seconds: float, number: int) -> None:
        """Record the interval before an event of a text, and its number from 1."""

    @abc.abstractmethod
    def leave_queue(self, name: str) -> None:
        """Record that a text has had its first event, or ended without one."""

    @abc.abstractmethod
    def end(self, name: str, is_refused: bool) -> None:
        """Record the end of a text at an engine."""

    def find_spare(self) -> router.FreePeer | None:
        """Return an engine to which texts may be moved; None if they are never moved."""
        return None

    def create_estimator(self) -> completion.ServerEstimator | None:
        """Return the estimator for a step, or None if texts are moved by their own rate."""
        return None


class LeastLoaded(Chooser):
    """Chooses the engine with the fewest texts of this runner."""

    def __init__(self, names: list[str], seed: int) -> None:
        self.random = random.Random(seed)
        self.in_flight = dict.fromkeys(names, 0)
        self.pending = dict.fromkeys(names, 0)

    def choose(self, events: float, excluded: frozenset[str]) -> str | None:
        """Return the least loaded engine."""
        names = [
            name
            for name, count in self.in_flight.items()
            if count < 2 * SLOTS and self.pending[name] < 2 and name not in excluded
        ]
        return self.pick(names, events) if names else None

    def pick(self, names: list[str], events: float) -> str:
        """Return one of the engines that accept texts."""
        return min(names, key=lambda name: (self.in_flight[name], self.random.random()))

    def start(self, name: str) -> None:
        """Count a text."""
        self.in_flight[name] += 1
        self.pending[name] += 1

    def begin(self, name: str, sent_at: float) -> None:
        """Do nothing."""

    def record(self, name: str, seconds: float, number: int) -> None:
        """Do nothing: speeds are not considered."""

    def leave_queue(self, name: str) -> None:
        """Count a text that has begun."""
        self.pending[name] -= 1

    def end(self, name: str, is_refused: bool) -> None:
        """Count a text that has ended."""
        self.in_flight[name] -= 1


class FirstCome(LeastLoaded):
    """Starts texts in the order in which they were submitted, at random engines."""

    estimates = False

    def pick(self, names: list[str], events: float) -> str:
        """Return any engine."""
        return self.random.choice(names)


class Previous(LeastLoaded):
    """
    The previous code: averages of intervals, and moves by a text's own rate.

    A text is moved if its rate is half of the typical one, or to the fastest engine with a free
    slot if it ends 0.5 s earlier there.
    """

    def __init__(self, names: list[str], seed: int) -> None:
        super().__init__(names, seed)
        self._intervals: dict[str, float] = {}
        self._sums: dict[str, float] = dict.fromkeys(names, 0.0)

    def pick(self, names: list[str], events: float) -> str:
        """Return one of the fastest engines with a free slot, else of the fast ones."""
        known = self._intervals
        slowest = min(known.values(), default=0.0) + 0.4 / max(1.0, events)
        fast = [name for name in names if known.get(name, 0.0) <= slowest] or names
        free = self._find_free(fast)
        best = min((known[name] for name in free if name in known), default=0.0)
        equal = [name for name in free if known.get(name, 0.0) <= 1.15 * best] or free or fast
        return super().pick(self.random.sample(equal, min(2, len(equal))), events)

    def record(self, name: str, seconds: float, number: int) -> None:
        """Average five intervals, and these in a moving average."""
        self._sums[name] += seconds
        if number % 5 == 0:
            mean, self._sums[name] = self._sums[name] / 5, 0.0
            known = self._intervals.setdefault(name, mean)
            self._intervals[name] += 0.25 * (mean - known)

    def find_spare(self) -> router.FreePeer | None:
        """Return the fastest engine with a free slot."""
        free = self._find_free(list(self.in_flight))
        free.sort(key=lambda name: (name not in self._intervals, self._intervals.get(name, 0.0)))
        if not free:
            return None
        return router.FreePeer(free[0], self._intervals.get(free[0], 0.0) * 1000)

    def _find_free(self, names: list[str]) -> list[str]:
        return [name for name in names if self.in_flight[name] < SLOTS and not self.pending[name]]


class Ours(Chooser):
    """The program's router and estimator."""

    def __init__(
        self, names: list[str], seed: int, read_now: collections.abc.Callable[[], float]
    ) -> None:
        self._router = router.Router(seed, read_now)
        for name in names:
            report = peers.PeerReport(
                "z", _BACKEND, "1", 0, 0, SLOTS, 0, None, in_rotation=True, leaving=False
            )
            self._router.update(name, report)

    def choose(self, events: float, excluded: frozenset[str]) -> str | None:
        """Ask the router."""
        chosen = self._router.choose(_build_request(events, excluded))
        return chosen.ok if chosen.is_ok() else None

    def start(self, name: str) -> None:
        """Tell the router."""
        self._router.record_started(name, is_windowed=True)
        self._router.add_pending_stream(name)

    def begin(self, name: str, sent_at: float) -> None:
        """Tell the router."""
        self._router.record_first_event(name, (clock.read_now() - sent_at) * 1000)
        self._router.record_accepted(name, sent_at)

    def record(self, name: str, seconds: float, number: int) -> None:
        """Tell the router."""
        self._router.record_event_interval(name, seconds * 1000)

    def leave_queue(self, name: str) -> None:
        """Tell the router."""
        self._router.remove_pending_stream(name)

    def end(self, name: str, is_refused: bool) -> None:
        """Tell the router."""
        outcome = router.RouteOutcome.REFUSED if is_refused else router.RouteOutcome.OK
        self._router.record_finished(name, outcome, EVENT_SECONDS * 1000)

    def find_spare(self) -> router.FreePeer | None:
        """Ask the router."""
        return self._router.find_free_peer(_build_request(0.0, frozenset()))

    def create_estimator(self) -> completion.ServerEstimator | None:
        """Return the program's estimator."""
        request = _build_request(0.0, frozenset())
        return completion.ServerEstimator(self._router, lambda: request, EVENT_TOKENS)


@dataclasses.dataclass(slots=True)
class Stream:
    """A text at an engine."""

    runner: "Runner"
    item: batch_run.ItemWork
    engine: "Engine"
    sent_at: float
    events: int = 0
    """Events that the runner has received."""
    last_at: float = 0.0
    is_over: bool = False


class Engine:
    """Runs six texts concurrently and queues some more, first come first served."""

    def __init__(self, name: str, speed: Speed, simulation: policy_simulation.Simulation) -> None:
        self.name = name
        self.speed = speed
        self._simulation = simulation
        self._running = 0
        self._queued: list[Stream] = []

    def send(self, stream: Stream) -> bool:
        """Queue a text; return False if the queue is full."""
        if self._running >= SLOTS and len(self._queued) >= QUEUE:
            return False
        self._queued.append(stream)
        self._fill()
        return True

    def _fill(self) -> None:
        while self._queued and self._running < SLOTS:
            stream = self._queued.pop(0)
            if stream.is_over:
                continue
            self._running += 1
            begun_at = self._simulation.now + _PREFILL_SECONDS
            self._schedule(stream, begun_at, stream.item.resumed_events)

    def _schedule(self, stream: Stream, since: float, count: int) -> None:
        at = self.speed.find_next(since)
        self._simulation.schedule(
            at - self._simulation.now, lambda: self._generate(stream, at, count + 1)
        )

    def _generate(self, stream: Stream, at: float, count: int) -> None:
        if not stream.is_over:
            stream.runner.receive(stream, count)
        if stream.is_over or count >= stream.runner.lengths[stream.item.item_number]:
            self._running -= 1
            self._fill()
            return
        self._schedule(stream, at, count)


class Runner:
    """Runs the steps of one trainer."""

    def __init__(
        self,
        simulation: policy_simulation.Simulation,
        load: Load,
        engines: list[Engine],
        chooser: Chooser,
        seed: int,
    ) -> None:
        self._simulation = simulation
        self._load = load
        self._engines = {engine.name: engine for engine in engines}
        self._chooser = chooser
        self._source = random.Random(seed)
        self._network = random.Random(seed + 1)
        self._run: batch_run.BatchRun | None = None
        self._groups: list[int] = []
        self._step = 0
        self._begun_at = 0.0
        self.lengths: list[int] = []
        self.delays: list[float] = []
        """By how much each step ended later than with all speeds known."""
        self.seconds: list[float] = []
        self.texts = 0
        self.moves = 0

    def begin_step(self) -> None:
        """Submit the next step."""
        load, source = self._load, self._source
        self._step += 1
        count = source.randint(*load.items)
        mean = source.uniform(*load.mean_events) / _MEAN_FACTOR
        self.lengths = [_draw_length(source, mean) for _ in range(count)]
        factors = [source.lognormvariate(0.0, load.sigma) for _ in range(count)]
        has_estimates = load.has_estimates and self._chooser.estimates
        items = tuple(
            submission.Item(
                f"i{number}",
                "/",
                (),
                b"",
                _MAX_LENGTH * EVENT_TOKENS,
                f"g{number % 4}",
                None,
                max(1, int(length * factor * EVENT_TOKENS)) if has_estimates else 0,
            )
            for number, (length, factor) in enumerate(zip(self.lengths, factors, strict=True))
        )
        batch_id = f"b{id(self) % 1000}-{self._step}"
        submitted = submission.Submission(batch_id, "h", "/", self._step, "m", -1, 4, items)
        accepted = records.Accepted(batch_id, "h", "/", "m", self._step, -1, 0, 1, count)
        batch = batch_table.Batch(accepted, self._simulation.now)
        self._begun_at = self._simulation.now
        self._left = set(range(count))
        self.texts += count
        self._run = batch_run.BatchRun(
            batch, submitted, EVENT_TOKENS, estimator=self._chooser.create_estimator()
        )
        self._best = max(
            min(engine.speed.find_end(self._begun_at, length) for engine in self._engines.values())
            for length in sorted(self.lengths)[-4:]
        )
        self.start_texts()

    def tick(self) -> None:
        """Look for work at intervals, as the program does."""
        self.start_texts()
        self._simulation.schedule(_TICK_SECONDS, self.tick)

    def start_texts(self) -> None:
        """Start texts while engines accept them."""
        while self._run is not None and self._chooser.choose(0.0, frozenset()) is not None:
            item = self._run.start_next(self._simulation.now, 7.5, self._chooser.find_spare())
            if item is None:
                return
            if item.work.resumed_tokens:
                self.moves += 1
            name = item.target or self._chooser.choose(
                item.expected_events, self._run.find_last_server(item.item_number)
            )
            if name is None:
                self._run.requeue(item, _TICK_SECONDS)
                continue
            self._run.record_server(item.item_number, name)
            self._send(item, name)

    def receive(self, stream: Stream, count: int) -> None:
        """Receive an event some time after the engine sent it."""
        seconds = _DELAY_SECONDS * self._network.uniform(0.7, 1.3)
        if self._network.random() < _LOSS:
            seconds += _RETRANSMIT_SECONDS
        self._simulation.schedule(seconds, lambda: self._record(stream, count))

    def _send(self, item: batch_run.ItemWork, name: str) -> None:
        now = self._simulation.now
        stream = Stream(self, item, self._engines[name], now, last_at=now)
        self._chooser.start(name)
        self._simulation.schedule(_CONNECT_SECONDS + _DELAY_SECONDS, lambda: self._arrive(stream))
        self._simulation.schedule(_TICK_SECONDS, lambda: self._poll(stream))

    def _arrive(self, stream: Stream) -> None:
        if stream.is_over or stream.engine.send(stream):
            return
        self._end(stream, is_refused=True)
        stream.item.run.requeue(stream.item)

    def _poll(self, stream: Stream) -> None:
        """End a stream that is cancelled while its engine sends nothing."""
        if stream.is_over:
            return
        if stream.item.run.is_cancelled(stream.item):
            self._end(stream)
            stream.item.run.fail(stream.item)
            return
        self._simulation.schedule(_TICK_SECONDS, lambda: self._poll(stream))

    def _record(self, stream: Stream, count: int) -> None:
        if stream.is_over:
            return
        now = self._simulation.now
        run, item, name = stream.item.run, stream.item, stream.engine.name
        if stream.events:
            self._chooser.record(name, now - stream.last_at, stream.events)
        else:
            self._chooser.begin(name, stream.sent_at)
            self._chooser.leave_queue(name)
        stream.events += 1
        stream.last_at = now
        run.record_event(item, "x", 1)
        if run.is_cancelled(item):
            self._end(stream)
            run.fail(item)
        elif count >= self.lengths[item.item_number]:
            self._end(stream)
            run.finish(item)
            self._finish(item.item_number)

    def _end(self, stream: Stream, is_refused: bool = False) -> None:
        if not stream.events:
            self._chooser.leave_queue(stream.engine.name)
        stream.is_over = True
        self._chooser.end(stream.engine.name, is_refused)

    def _finish(self, number: int) -> None:
        self._left.discard(number)
        self.start_texts()
        if self._left:
            return
        now = self._simulation.now
        self._run = None
        self.delays.append(now - self._best)
        self.seconds.append(now - self._begun_at)
        if self._step < self._load.steps:
            next_at = max(now + 0.2, self._begun_at + _STEP_INTERVAL_SECONDS)
            self._simulation.schedule(next_at - now, self.begin_step)


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """What the trainers of a load saw."""

    delays: list[float]
    """By how many seconds each step ended later than with all speeds known in advance."""
    seconds: list[float]
    moves: int
    texts: int

    @property
    def mean_delay(self) -> float:
        """The mean delay of a step."""
        return sum(self.delays) / len(self.delays)

    @property
    def late_delay(self) -> float:
        """The delay that one step in ten exceeds."""
        return sorted(self.delays)[int(0.9 * len(self.delays))]

    @property
    def moves_percent(self) -> float:
        """Moves for each 100 texts."""
        return 100 * self.moves / self.texts


CreateChooser = collections.abc.Callable[
    [list[str], int, collections.abc.Callable[[], float]], Chooser
]
CHOOSERS: dict[str, CreateChooser] = {
    "first": lambda names, seed, _: FirstCome(names, seed),
    "least": lambda names, seed, _: LeastLoaded(names, seed),
    "previous": lambda names, seed, _: Previous(names, seed),
    "ours": Ours,
}


def simulate(load: Load, create: CreateChooser, seed: int) -> Result:
    """Run all trainers of a load to the end of their last steps."""
    simulation = policy_simulation.Simulation()
    with _replace_clock(simulation):
        engines = [
            Engine(f"e{number}", Speed(load, number, seed), simulation)
            for number in range(load.engines)
        ]
        runners = []
        for number in range(load.trainers):
            names = [engine.name for engine in engines]
            chooser = create(names, seed * 100 + number, simulation.read_now)
            runner = Runner(simulation, load, engines, chooser, seed * 100 + number)
            simulation.schedule(0.7 * number, runner.begin_step)
            simulation.schedule(0.7 * number, runner.tick)
            runners.append(runner)
        while any(len(runner.delays) < load.steps for runner in runners):
            simulation.run(simulation.now + 1.0)
            if simulation.now > _NEVER:
                raise RuntimeError("a step does not end")
    return Result(
        [delay for runner in runners for delay in runner.delays],
        [seconds for runner in runners for seconds in runner.seconds],
        sum(runner.moves for runner in runners),
        sum(runner.texts for runner in runners),
    )


@contextlib.contextmanager
def _replace_clock(
    simulation: policy_simulation.Simulation,
) -> collections.abc.Iterator[None]:
    with unittest.mock.patch.object(clock, "read_now", simulation.read_now):
        yield


def _draw_length(source: random.Random, mean: float) -> int:
    length = mean * source.uniform(0.1, 1.9)
    if source.random() < _LONG_FRACTION:
        length *= _LONG_FACTOR
    return max(1, min(_MAX_LENGTH, math.ceil(length)))


def _build_request(events: float, excluded: frozenset[str]) -> router.RouteRequest:
    return router.RouteRequest(
        backend=_BACKEND,
        affinity="",
        priority=0,
        oldest_version=-1,
        excluded=excluded,
        budget_ms=7500,
        is_windowed=True,
        expected_events=events,
    )
