"""Steps for the urgency of texts, with simulated time."""

import dataclasses
import pathlib
import statistics
import sys

import behave

import batch_processes
from oleander_base import clock, log
from oleander_batches import submission
from oleander_samples import hedging, scheduler, steps, urgency
from oleander_standins import recordlog

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent.parent / "bench"))
import policy_steps  # noqa: E402

_SEEDS = (1, 2)
_SECONDS = 60.0
_EVENT_SECONDS = 0.05
_NO_SCORING_SECONDS = 1e-9
_MAX_TOKENS = 1000


def _play(context, create_policy):
    """Return all steps of the days that are played with a policy."""
    played = []
    for seed in _SEEDS:
        day = policy_steps.Day(context.load, create_policy, seed)
        day.play(_SECONDS)
        played += [step for step in day.steps if step.submitted_at or step.number == 0]
    return played


def _list_seconds(played):
    assert all(step.ended_at is not None for step in played)
    return [step.ended_at - step.submitted_at for step in played]


def _measure_whole(step):
    return max(text.ended_at for text in step.texts) - step.submitted_at


@behave.given("{engines:d} engines, of which each model is on {placed:d}")
def describe_engines(context, engines, placed):
    context.load = policy_steps.Load(engines=engines, engines_per_model=placed, slow=0)


@behave.given("each trainer waits for {wanted:d} of {groups:d} groups")
def describe_groups(context, wanted, groups):
    context.load = dataclasses.replace(context.load, groups=groups, wanted_groups=wanted)


@behave.when("{trainers:d} trainers send {count:d} steps each, {arrival}")
def send_steps(context, trainers, count, arrival):
    context.load = dataclasses.replace(context.load, trainers=trainers, steps=count)
    if arrival == "all within 3 s":
        context.load = dataclasses.replace(context.load, arrival_spread_seconds=3.0, min_texts=60)
    context.ours = _play(context, policy_steps.SlackPolicy)
    context.previous = _play(context, policy_steps.AgePolicy)


@behave.then(
    "the longest texts start {wait:g} s after their step at most on average, and no step takes "
    "over {seconds:g} s"
)
def check_steps(context, wait, seconds):
    longest = [max(step.texts, key=lambda text: text.events) for step in context.ours]
    waits = [text.started_at - text.step.submitted_at for text in longest]
    assert statistics.mean(waits) <= wait, waits
    assert max(_list_seconds(context.ours)) <= seconds, _list_seconds(context.ours)


@behave.then(
    "steps are late for at most {part:g} of the time for which they are late with classes by age"
)
def check_lateness(context, part):
    late = [
        sum(max(0.0, seconds - policy_steps.DUE_SECONDS) for seconds in _list_seconds(played))
        for played in (context.ours, context.previous)
    ]
    assert late[1] > 0.0 and late[0] <= part * late[1], late


@behave.then(
    "steps take {wanted:g} times as long on average as with classes by age at most, and all their "
    "groups {whole:g} times"
)
def check_groups(context, wanted, whole):
    _check_mean(context, wanted)
    means = [
        statistics.mean(_measure_whole(step) for step in played)
        for played in (context.ours, context.previous)
    ]
    assert means[0] <= whole * means[1], means


def _check_mean(context, part):
    means = [statistics.mean(_list_seconds(played)) for played in (context.ours, context.previous)]
    assert means[0] <= part * means[1], means


@behave.then(
    "at most 1 of {count:d} texts is preempted, and steps take {part:g} times as long on average "
    "as with classes by age at most"
)
def check_preempted(context, count, part):
    texts = [text for step in context.ours for text in step.texts]
    preempted = sum(text.preempted for text in texts)
    assert preempted * count <= len(texts), (preempted, len(texts))
    _check_mean(context, part)


@behave.given(
    "a step of {groups:d} groups that is due in {due} s, of which the trainer waits for "
    "{wanted:d}, with priority {priority:d}"
)
def describe_step(context, groups, due, wanted, priority):
    times = urgency.TypicalTimes()
    times.record_event_interval(_EVENT_SECONDS)
    times.record_scoring(_NO_SCORING_SECONDS)
    context.groups = groups
    context.terms = urgency.StepTerms(float(due), priority)
    context.step = urgency.StepUrgency(0.0, wanted, times)


def _rate(context, events, others, age):
    """Return the urgency of the text of the first group, after a look at all groups."""
    items = [
        urgency.UnfinishedItem(number, f"g{number}", others if number else events)
        for number in range(context.groups)
    ]
    context.step.update(items, 0, context.terms, age)
    return context.step.start(items[0], context.terms, age)


@behave.when(
    "{age:g} s after its submission a text needs {events} events of 50 ms, and the other groups "
    "{others:d}"
)
def rate_text(context, age, events, others):
    context.warnings = []
    sink = log.logger.add(context.warnings.append, level="WARNING")
    log._limiter._next_at.clear()
    try:
        context.rated = _rate(context, float(events), others, age)
    finally:
        log.logger.remove(sink)


@behave.when(
    "it is found late {age:g} s after its submission, and looked at again {later:g} s later"
)
def rate_late(context, age, later):
    _rate(context, 120, 20, age)
    context.rated = _rate(context, 120, 20, age + later)


@behave.then("its class is {number:d} and it is {standing}")
def check_class(context, number, standing):
    expected = (number, urgency.Standing[standing.upper()])
    assert (context.rated.urgency_class, context.rated.standing) == expected, context.rated


@behave.then("its class is from 1 to 8 and a warning is logged")
def check_bounds(context):
    assert 1 <= context.rated.urgency_class <= 8, context.rated
    assert len(context.warnings) == 1, context.warnings


@behave.then(
    "a text that needs {few:d} or {many:d} events by turns keeps class {kept:d}, and gets class "
    "{last:d} when it needs {most:d}"
)
def check_hysteresis(context, few, many, kept, last, most):
    needed = [few, many] * 3 + [most]
    classes = [_rate(context, events, 20, 0.0).urgency_class for events in needed]
    assert classes == [kept] * 6 + [last], classes


@behave.given("a step with samples of expected lengths {lengths}")
def describe_lengths(context, lengths):
    expected = [int(word) for word in lengths.replace(",", "").split() if word != "and"]
    groups = tuple(steps.Group("p", "", 1, 1000, tokens) for tokens in expected)
    step = steps.Step("c", "t", 1, 0, 0, groups)
    context.scheduler = scheduler.WorkScheduler(step, hedging.StragglerPolicy(0), 1)


@behave.when(
    "the first {started:d} samples are started and fail, and sample {deferred:d} is deferred"
)
def fail_samples(context, started, deferred):
    for work in [context.scheduler.start_next(0.0) for _ in range(started)]:
        context.scheduler.fail(work.work_id, 0.0)
    context.scheduler.set_deferred([deferred])


@behave.then("they start in the order {order}")
def check_order(context, order):
    started = []
    while (work := context.scheduler.start_next(10.0, False)) is not None:
        started.append(str(work.number))
    assert " ".join(started) == order, started


def _accept(process, batch_id, lengths, is_scored):
    """Accept a batch with a text of each length, whose item has the length in its name."""
    items = []
    for number, events in enumerate(lengths):
        scoring = submission.Scoring(f"s{batch_id}{number}", "h", "/s/x", b"")
        items.append(
            submission.Item(
                f"{batch_id}-{number}-{events}",
                "/b/i",
                (),
                b"",
                _MAX_TOKENS,
                f"g{number}",
                scoring if is_scored else None,
                events,
            )
        )
    submitted = submission.Submission(
        batch_id, "h", "/b/1", 0, batch_processes.MODEL, 1, len(items), tuple(items)
    )
    assert process.journal.accept(submitted, clock.start_deadline(1.0)).is_ok()


def _start_runner(context, names, scorer):
    context.engines = batch_processes.FakeEngines({"e1": "whole"}, scorer)
    context.process = batch_processes.RunnerProcess(
        recordlog.MemoryRecordLog(), context.engines, names
    )
    context.add_cleanup(context.process.stop)


@behave.given(
    "a runner without engines that has taken a batch of texts of {first:d} and {second:d} events, "
    "and one of {third:d} and {fourth:d} events"
)
def start_two_batches(context, first, second, third, fourth):
    _start_runner(context, [], "answers")
    _accept(context.process, "a", (first, second), is_scored=False)
    _accept(context.process, "b", (third, fourth), is_scored=False)
    found = context.process.journal.index.find
    batch_processes.wait_until(
        10, lambda: all((batch := found(name)) and batch.runner for name in "ab"), lambda: "none"
    )


@behave.when("an engine appears")
def add_engine(context):
    context.process.put_engine("e1", 2)


@behave.then("the texts are sent in the order {order}, with the classes {classes}")
def check_sent(context, order, classes):
    sent = context.engines.sent
    batch_processes.wait_until(10, lambda: len(sent) >= 4, lambda: sent)
    assert [name.rpartition("-")[2] for name, _ in sent[:4]] == order.split(), sent
    assert [str(number) for _, number in sent[:4]] == classes.split(), sent


@behave.then("each text was sent once")
def check_sent_once(context):
    names = [name for name, _ in context.engines.sent]
    assert len(names) == len(set(names)) == batch_processes.ITEMS, context.engines.sent


@behave.given("a runner whose plain server runs 8 requests at once, and scorings that take 200 ms")
def start_scorer(context):
    _start_runner(context, ["e1"], "takes 200 ms")


@behave.when("a batch of {count:d} short texts is accepted")
def accept_short(context, count):
    _accept(context.process, "a", [batch_processes.EVENTS] * count, is_scored=True)


@behave.then("all texts are scored, and at most {most:d} scorings run at once")
def check_scored(context, most):
    batch = context.process.journal.index.find
    batch_processes.wait_until(
        10, lambda: (found := batch("a")) and not found.is_open, lambda: context.engines.scoring
    )
    assert 1 < context.engines.scoring["most"] <= most, context.engines.scoring


@behave.given("a step that is due in {due:g} s, and scorings that take {scoring:d} ms")
def describe_scorings(context, due, scoring):
    times = urgency.TypicalTimes()
    times.record_scoring(scoring / 1000)
    context.terms = urgency.StepTerms(due, 0)
    context.step = urgency.StepUrgency(0.0, 0, times)


@behave.then("{age:g} s after its submission its slack is {state}")
def check_slack(context, age, state):
    assert context.step.is_slack_used_up(context.terms, age) == (state == "used up")
