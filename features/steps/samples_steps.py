"""Steps for labels and for collecting the samples of a step."""

import behave

from oleander_base import metrics
from oleander_contracts import contract
from oleander_samples import collector, hedging, labels, number_sets, pulls, readers, steps

NAMES = "abcdefghijklmnopqrstuvwxyz"


def _read_optional(text):
    return None if text in {"nothing", "?"} else int(text)


def _read_pieces(text):
    parts = [] if text == "nothing" else text.split()
    return [(_read_optional(part.split("/")[0]), int(part.split("/")[1])) for part in parts]


@behave.when("a sample resumed from {resumed} is made of the pieces {pieces}")
def build_label(context, resumed, pieces):
    before = tuple(steps.LabelPart(*part) for part in _read_pieces(resumed))
    context.sample_label = labels.LabelBuilder(before)
    for version, tokens in _read_pieces(pieces):
        context.sample_label.add(version, tokens)


@behave.when("the sample's engine read {before} before and {after} after, {orders} order open")
def assume_label(context, before, after, orders):
    context.sample_label.set_assumption(
        _read_optional(before), _read_optional(after), orders == "an"
    )


@behave.then("the sample's label is {label}")
def check_label(context, label):
    built = context.sample_label.build()
    if built.is_error():
        assert built.error.fault.value == label, built
        return
    assert " ".join(f"{part.version}/{part.tokens}" for part in built.ok) == label, built


class SampleDriver:
    """Plays a trainer and the engines against one collector; work items are named a, b, c..."""

    def __init__(self, groups, bound, held_text=None, policy=None):
        self.now = 0.0
        total = sum(group.sample_count for group in groups)
        numbers = None if held_text is None else number_sets.parse_numbers(held_text, total).ok
        step = steps.Step("caroni", "offers", 12, 3, 7, groups, numbers)
        terms = contract.TrainerTerms(
            "offers", "offers", "m", bound, contract.Objective.IDLE_TIME, 0
        )
        self.collector = collector.StepCollector(step, terms, 1, lambda: self.now, policy)
        self.works = []
        self.finished = []
        self.answers = []
        self.cancelled = []
        self.counts = metrics.read_counts()

    def play(self, events):
        for event in events.split(","):
            words = event.split()
            getattr(self, f"_{words[0]}")(*words[1:])
            self.cancelled += map(self.find_name, self.collector.take_cancellations())

    def find_name(self, work_id):
        return next(
            name
            for name, work in zip(NAMES, self.works, strict=False)
            if work is not None and work.work_id == work_id
        )

    def count(self, name):
        return metrics.read_counts().get(name, 0) - self.counts.get(name, 0)

    def _start(self, times="1"):
        for _ in range(int(times)):
            self.works.append(self.collector.next_work())

    def _tokens(self, name, *pieces):
        for index, (version, tokens) in enumerate(_read_pieces(" ".join(pieces))):
            text = f"<{name}{index}>" if tokens else ""
            self.collector.record_progress(self._find(name), text, tokens, version)

    def _flood(self, name, characters):
        self.collector.record_progress(self._find(name), "x" * int(characters), 1, 7)

    def _fill(self, count):
        for name in NAMES[: int(count)]:
            self._flood(name, collector.MAX_PENDING_CHARACTERS // int(count))
            self._done(name)

    def _done(self, name):
        self.finished.append(self.collector.finish_work(self._find(name)))

    def _settled(self, name, version):
        assumption = labels.Assumption(int(version), int(version), False)
        self.finished.append(self.collector.finish_work(self._find(name), assumption))

    def _broke(self, name):
        self.collector.fail_work(self._find(name))

    def _whole(self, name, *pieces):
        self._tokens(name, *pieces)
        self._done(name)

    def _pull(self, version, numbers="nothing", most="64", incarnation="3"):
        text = "" if numbers == "nothing" else numbers.replace("+", ",")
        read = number_sets.parse_numbers(text, readers.MAX_SAMPLES).ok
        pull = pulls.Pull(int(incarnation), int(version), read, 0, int(most))
        self.answers.append(self.collector.pull(pull, 0.0))

    def _after(self, seconds):
        self.now += float(seconds)

    def _close(self):
        self.collector.close()

    def _find(self, name):
        return self.works[NAMES.index(name)].work_id


def describe_answer(answer):
    if answer.is_error():
        return answer.error.reason.value
    shown = [
        f"{item.number}:" + "+".join(f"{part.version}/{part.tokens}" for part in item.label)
        for item in answer.ok.samples
    ]
    return " ".join(shown + ["complete"] * answer.ok.complete) or "empty"


def _describe_work(work):
    if work is None:
        return "none"
    resumed = f"<{work.resumed_tokens}" if work.resumed_tokens else ""
    return f"{work.number}{resumed}" + "!" * work.is_hedge


@behave.given("a collector of {count:d} samples, staleness bound {bound:d}")
def create_collector(context, count, bound):
    groups = (steps.Group("p", "", count, 100),)
    context.sample_driver = SampleDriver(groups, bound)


@behave.given(
    "a collector of {count:d} groups of {samples:d} samples, hedges of {percent:d} percent"
)
@behave.given(
    "a collector of {count:d} groups of {samples:d} samples, hedges of {percent:d} percent{moves}"
)
def create_groups(context, count, samples, percent, moves=""):
    groups = tuple(steps.Group(f"p{index}", "", samples, 1000) for index in range(count))
    policy = hedging.StragglerPolicy(percent, allows_migration=bool(moves))
    context.sample_driver = SampleDriver(groups, 2, policy=policy)


@behave.given('a collector of {count:d} samples whose trainer said it holds "{numbers}"')
@behave.given('a collector of {count:d} samples whose trainer said it holds ""')
def create_held(context, count, numbers=""):
    groups = (steps.Group("p", "", count, 100),)
    context.sample_driver = SampleDriver(groups, 1, numbers)


@behave.when("its sample events are {events}")
def play_events(context, events):
    context.sample_driver.play(events)


@behave.then("the samples started were {works}")
def check_started(context, works):
    shown = " ".join(map(_describe_work, context.sample_driver.works))
    assert shown == works, shown


@behave.then("the finished samples were {outcomes}")
def check_finished(context, outcomes):
    shown = " ".join(item.outcome.value for item in context.sample_driver.finished)
    assert shown == outcomes, shown


@behave.then("the sample pulls were answered {answers}")
def check_answers(context, answers):
    shown = "; ".join(map(describe_answer, context.sample_driver.answers))
    assert shown == answers, shown


@behave.then("the sample work cancelled was {names}")
def check_cancelled(context, names):
    driver = context.sample_driver
    redundant = [
        driver.find_name(item) for done in driver.finished for item in done.redundant_work_ids
    ]
    shown = " ".join(driver.cancelled + redundant) or "none"
    assert shown == names, shown


@behave.then("{stale:d} samples were counted stale and {remade:d} generated again")
def check_counts(context, stale, remade):
    driver = context.sample_driver
    shown = driver.count(metrics.SAMPLES_STALE), driver.count(metrics.SAMPLES_REMADE)
    assert shown == (stale, remade), shown


@behave.then('the last delivered sample\'s text is "{text}"')
def check_text(context, text):
    assert context.sample_driver.answers[-1].ok.samples[-1].text == text
