"""Steps for the step registry, and a randomised test of it against a simulated trainer."""

import collections
import random

import behave

from oleander_base import metrics
from oleander_contracts import contract
from oleander_samples import labels, pulls, registry, steps

_TERMS = contract.TrainerTerms("a", "offers", "m", 1, contract.Objective.IDLE_TIME, 100)


def _create_step(trainer, incarnation, number, prompt="p"):
    groups = (steps.Group(prompt, "", 4, 100),)
    return steps.Step("caroni", trainer, number, incarnation, 7, groups, frozenset())


@behave.given("a sample registry for {trainers:d} trainers and {count:d} open steps")
def create_registry(context, trainers, count):
    context.sample_now = 0.0
    context.sample_registry = registry.StepRegistry(lambda: context.sample_now, trainers, count)
    context.sample_answers = []


@behave.when("these sample steps are registered: {words}")
def put_steps(context, words):
    known = context.sample_registry
    for word in words.split():
        kind, _, rest = word.rpartition(":")
        trainer, (incarnation, _, number) = rest[0], rest[1:].partition("/")
        if kind == "heard":
            known.record_incarnation("caroni", trainer, int(incarnation))
        elif kind == "deleted":
            known.delete("caroni", trainer, int(number))
        elif kind == "silent":
            context.sample_now += float(rest)
        elif kind == "started":
            started = [context.sample_answers[-1].next_work() for _ in range(int(rest))]
            assert None not in started
        else:
            prompt = number[1:] or "p"
            step = _create_step(trainer, int(incarnation), int(number[0]), prompt)
            answer = known.register(step, _TERMS)
            context.sample_answers.append(answer.ok if answer.is_ok() else answer.error)


@behave.then("the sample registry answered {answers}")
def check_answers(context, answers):
    shown = []
    for index, answer in enumerate(context.sample_answers):
        if isinstance(answer, registry.StepRefusal):
            shown.append(answer.reason.value)
        else:
            shown.append("same" if answer in context.sample_answers[:index] else "new")
    assert " ".join(shown) == answers, shown


@behave.then("the sample steps open are {names}")
def check_open(context, names):
    found = [item.step for item in context.sample_registry.collectors]
    shown = sorted(f"{item.trainer}{item.incarnation}/{item.step}" for item in found)
    assert " ".join(shown or ["none"]) == names, shown
    for item in found:
        assert context.sample_registry.find("caroni", item.trainer, item.step) is not None


@behave.then("{count:d} work items of the sample registry are cancelled, each once")
def check_cancelled(context, count):
    taken = context.sample_registry.take_cancellations()
    assert len(set(taken)) == len(taken) == count, taken
    assert context.sample_registry.take_cancellations() == []


class _EngineAttempt:
    """One attempt at a work item, and all weight versions that its engine used, stated or not."""

    def __init__(self, collector, work, lag):
        self.collector = collector
        self.work = work
        self.lag = lag
        self.versions = []


class TrainerModel:
    """
    Simulates a trainer, its engines and two entries.

    The text of each token is its weight version in brackets, so that labels can be checked.
    """

    EVENTS = {
        "start_work": 30,
        "stream": 60,
        "finish": 15,
        "finish_late": 3,
        "fail": 4,
        "pull": 12,
        "receive": 10,
        "lose_answer": 2,
        "put": 3,
        "replay_old_pull": 1,
        "raise_trainer": 1.5,
        "raise_engine": 1,
        "wait": 15,
        "replace_entry": 0.2,
        "switch_entry": 0.5,
        "restart_trainer": 0.1,
    }

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.step = 1
        self.version = 7
        self.incarnation = 1
        self.engine_version = 7
        self.held = {}
        self.stated_held = {}
        self.running = []
        self.ended = []
        self.in_flight = None
        self.seen = collections.Counter()
        self.counts = metrics.read_counts()
        self.entries = [self._create_entry(), self._create_entry()]

    def play(self, events):
        names, weights = zip(*self.EVENTS.items(), strict=True)
        for name in self.random.choices(names, weights, k=events):
            getattr(self, f"_{name}")()
        self._complete_step()
        for name in (metrics.SAMPLES_STALE, metrics.SAMPLES_REMADE):
            self.seen[name] = metrics.read_counts().get(name, 0) - self.counts.get(name, 0)

    def _create_entry(self):
        return registry.StepRegistry(lambda: self.now)

    def _choose_collector(self):
        return self._choose_entry().find("caroni", "a", self.step)

    def _choose_entry(self):
        """Return the entry that the trainer uses, or with probability 0.1 the other one."""
        return self.entries[self.random.random() < 0.1]

    def _put(self, entry=None):
        groups = (steps.Group("p", "", 4, 40), steps.Group("q", "", 4, 40))
        held = frozenset(self.held) if self.random.random() < 0.5 else None
        names = ("caroni", "a", self.step, self.incarnation, self.version)
        step = steps.Step(*names, groups, held)
        collector = (entry or self._choose_entry()).register(step, _TERMS).ok
        self.stated_held[collector] = self.stated_held.get(collector, frozenset()).union(
            held or ()
        )

    def _start_work(self):
        collector = self._choose_collector()
        work = collector.next_work() if collector else None
        if work is None:
            return
        assert work.number not in self.stated_held[collector], (
            "started although the trainer holds it"
        )
        self.seen["hedge"] += work.is_hedge
        self.seen["resumed"] += bool(work.resumed_text)
        self.running.append(_EngineAttempt(collector, work, self.random.choice((0, 0, 0, 1, 2))))

    def _stream(self):
        if not self.running:
            return
        engine = self.random.choice(self.running[-4:])
        tokens = self.random.choice((1, 3, 9))
        version = self.engine_version - engine.lag
        stated = None if self.random.random() < 0.04 else version
        text = f"[{version}]" * tokens
        engine.versions.append(version)
        engine.collector.record_progress(engine.work.work_id, text, tokens, stated)

    def _finish(self):
        begun = [item for item in self.running if item.versions or self.random.random() < 0.05]
        if not begun:
            return
        engine = self.random.choice(begun)
        self.running.remove(engine)
        self.ended = [*self.ended[-5:], engine]
        before, after = (
            (engine.versions[0], engine.versions[-1]) if engine.versions else (None, None)
        )
        assumption = labels.Assumption(before, after, False)
        use = self.random.random() < 0.5
        done = engine.collector.finish_work(engine.work.work_id, assumption if use else None)
        self.seen[done.outcome.value] += 1
        self.seen["redundant"] += len(done.redundant_work_ids)

    def _finish_late(self):
        """Send more text, and the end of the stream again, for work that has already ended."""
        if self.ended:
            engine = self.random.choice(self.ended)
            engine.collector.record_progress(engine.work.work_id, "late", 1, self.engine_version)
            assert not engine.collector.finish_work(engine.work.work_id).is_kept

    def _fail(self):
        if self.running:
            engine = self.random.choice(self.running)
            self.running.remove(engine)
            engine.collector.fail_work(engine.work.work_id)

    def _pull(self, entry=None):
        collector = entry.find("caroni", "a", self.step) if entry else self._choose_collector()
        if collector is None:
            self.seen["unknown"] += 1
            self._put(entry)
            return
        answer = self._send_pull(collector, self.version, frozenset(self.held))
        self.in_flight = answer.ok if answer.is_ok() else None

    def _send_pull(self, collector, version, held):
        most = self.random.randint(1, 8)
        answer = collector.pull(pulls.Pull(self.incarnation, version, held, 0, most), 0.0)
        if answer.is_ok():
            self.stated_held[collector] = held
        return answer

    def _receive(self):
        if self.in_flight is None:
            return
        for sample in self.in_flight.samples:
            assert sample.number not in self.held, "duplicated"
            assert sample.oldest_version >= self.version - _TERMS.staleness_bound, "stale"
            named = "".join(f"[{part.version}]" * part.tokens for part in sample.label)
            assert sample.text == named, "wrongly labelled or truncated"
            self.held[sample.number] = sample
        assert self.in_flight.complete == (len(self.held) == 8), "not complete"
        if self.in_flight.complete:
            self.seen["complete"] += 1
            self.step += 1
            self.held = {}
        self.in_flight = None

    def _lose_answer(self):
        self.seen["lost"] += bool(self.in_flight and self.in_flight.samples)
        self.in_flight = None

    def _replay_old_pull(self):
        """Deliver an outdated pull that the trainer gave up on long ago."""
        collector = self._choose_collector()
        if collector is not None:
            self._send_pull(collector, 7, frozenset(list(self.held)[:1]))

    def _raise_trainer(self):
        self.in_flight = None
        self.version += 1
        self.engine_version = max(self.engine_version, self.version)

    def _raise_engine(self):
        self.engine_version += 1

    def _wait(self):
        self.now += self.random.choice((0.2, 2.0, 20.0, 200.0))

    def _replace_entry(self):
        self.entries[self.random.randrange(2)] = self._create_entry()

    def _switch_entry(self):
        self.in_flight = None
        self.entries.reverse()

    def _restart_trainer(self):
        self.in_flight = None
        self.incarnation += 1
        self.held = {}

    def _complete_step(self):
        """Play events without faults until the step is complete; fail if it never is."""
        entry, step = self._create_entry(), self.step
        self.entries = [entry, entry]
        for _ in range(200):
            self._put(entry)
            self._wait()
            self._start_work()
            if self.running:
                self._stream()
                self._finish()
            self._pull(entry)
            self._receive()
            if self.step > step:
                return
        raise AssertionError("a sample was lost")


@behave.when(
    "a model trainer plays {events:d} events with seed {seed:d} against two sample registries"
)
def play_model(context, events, seed):
    context.sample_model = TrainerModel(seed)
    context.sample_model.play(events)


@behave.then(
    "no sample was lost, duplicated, stale or wrongly labelled, and each kind of event occurred"
)
def check_model(context):
    """Check that each kind of event occurred; the run itself raises an error at any violation."""
    kinds = "complete kept unknown-label not-wanted hedge redundant resumed lost unknown"
    kinds += f" {metrics.SAMPLES_STALE} {metrics.SAMPLES_REMADE}"
    missing = [kind for kind in kinds.split() if not context.sample_model.seen[kind]]
    assert not missing, (missing, context.sample_model.seen)
