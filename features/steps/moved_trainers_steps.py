"""Steps for trainers that move between entries."""

import json
import re
import unittest.mock

import behave

import sample_trials
from oleander_base import clock
from oleander_contracts import readers
from oleander_samples import registry
from oleander_wire import messages
from oleanderdeal import gates, http_messages, shared_samples, trainer_api

_BUDGET_MS = 20000


def _find_lines(context, entry, event, trainer):
    """Return an entry's log lines of an event of a trainer as maps of their fields."""
    lines = context.cluster.find(entry).read_log().splitlines()
    found = [dict(re.findall(r"(\w+)=(\S+)", line)) | {"line": line} for line in lines]
    return [
        item for item in found if item.get("event") == event and item.get("trainer") == trainer
    ]


@behave.then("the log of {entry} says that it opened the step of trainer {trainer}")
def check_opened(context, entry, trainer):
    lines = _find_lines(context, entry, "step-registered", trainer)
    assert [item for item in lines if item["line"].endswith("opened")], lines


@behave.then(
    "the log of {entry} says that it answered pulls of trainer {trainer} with {count:d}"
    " samples in total"
)
def check_answered(context, entry, trainer, count):
    lines = _find_lines(context, entry, "pull", trainer)
    answered = [int(item["samples"]) for item in lines if item["line"].endswith("answered")]
    assert sum(answered) == count, lines


class FakeExecutor:
    """Records submitted requests, which the scenario drives, and cancelled ones."""

    def __init__(self):
        self.submitted = []
        self.cancelled = []

    def submit(self, pending):
        self.submitted.append(pending)

    def cancel(self, work_id):
        self.cancelled.append(work_id)


class FakeEntry:
    """Records what a sidecar sends for one request of an entry."""

    def __init__(self, name, step=1, joins=False, version=1, prompt="prompt", number=0):
        self.tokens = []
        self.answers = []
        self.moves = []
        sample = messages.SampleId("near", 1, step, number, joins)
        terms = messages.GenerationTerms("m", "", 8, "", 0, version, sample)
        run = messages.Run(
            *(f"{name}-{number}", "trace", "i1", "lab", "op", "", "", 1, 0, -1, True, 1, 100),
            *(_BUDGET_MS, prompt.encode(), terms),
        )
        self.subscriber = shared_samples.Subscriber(
            run=run,
            sample=sample,
            entry=name,
            deadline=clock.start_deadline_ms(_BUDGET_MS),
            send=self.tokens.append,
            answer=self.answers.append,
            move=lambda: self.moves.append(run),
            is_abandoned=lambda: False,
        )


_TOKENS = messages.Tokens("", "ab", 2, 1)
_DONE = messages.Answer("", messages.Outcome.DONE, 200, "", 0, b"", 0)
_ASKED = {
    "to join it": {"joins": True},
    "anew": {},
    "to join, of a newer version": {"joins": True, "version": 2},
    "to join, of another prompt": {"joins": True, "prompt": "other"},
}


@behave.given("a sidecar that has {made} for entry a")
def make_sample(context, made):
    context.executor = FakeExecutor()
    context.samples = shared_samples.SharedSamples(context.executor)
    context.first = FakeEntry("a")
    context.samples.run(context.first.subscriber)
    context.executor.submitted[0].send(_TOKENS)
    if made == "a finished sample":
        context.executor.submitted[0].answer(_DONE)


@behave.when("entry b takes step {step:d} and asks for the sample {asked}")
def take_and_ask(context, step, asked):
    take = messages.TakeStep("take", "lab", "near", 1, step)
    context.numbers = context.samples.take_step(take, "b").numbers
    context.second = FakeEntry("b", step, **_ASKED[asked])
    context.samples.run(context.second.subscriber)


@behave.when("entry a starts the sample again and cancels its first attempt")
def start_again(context):
    context.samples.run(FakeEntry("a").subscriber)
    context.samples.cancel(context.first.subscriber)


@behave.then("only the first attempt is cancelled")
def check_cancelled(context):
    assert context.executor.cancelled == [context.executor.submitted[0].work_id]


@behave.then("entry b gets {received}")
def check_received(context, received):
    submitted = len(context.executor.submitted)
    texts = [item.text for item in context.second.tokens]
    if received == "a new generation":
        assert submitted == 2 and not texts, (submitted, texts)
        return
    assert submitted == 1 and context.numbers == (0,), (submitted, context.numbers)
    assert {item.request_id for item in context.second.tokens} == {"b-0"}
    if received == "a whole sample":
        assert texts == ["ab"] and context.second.answers == [_DONE], texts
        return
    context.executor.submitted[0].send(_TOKENS)
    context.executor.submitted[0].answer(_DONE)
    assert [item.text for item in context.second.tokens] == ["ab", "ab"]
    assert context.second.answers == [_DONE] and not context.first.answers


@behave.then("entry a {told}, and a later sample of step 1 for it is {later}")
def check_told(context, told, later):
    assert len(context.first.moves) == (told == "is told it moved")
    assert len(context.first.answers) == (told == "has the whole sample")
    context.samples.cancel(context.first.subscriber)
    assert bool(context.executor.cancelled) == (told == "is told nothing")
    before = len(context.executor.submitted)
    third = FakeEntry("a", number=1)
    context.samples.run(third.subscriber)
    if later == "refused":
        assert [item.reason for item in third.answers] == [messages.REASON_STEP_MOVED]
        assert third.answers[0].outcome is messages.Outcome.NOT_RUN
    assert len(context.executor.submitted) == before + (later == "started")


@behave.given("an entry's API for trainers")
def create_api(context):
    terms = readers.read_contract(sample_trials.CONTRACT, "scenario").ok
    context.takeover = unittest.mock.Mock()
    context.api = trainer_api.TrainerApi(
        unittest.mock.Mock(find_contract=lambda customer: terms),
        registry.StepRegistry(),
        unittest.mock.Mock(),
        unittest.mock.Mock(is_superseded=lambda *names: False),
        context.takeover,
        lambda: "http://entry",
        lambda: False,
        gates.ThreadLimits(8),
    )


@behave.when("the same step is registered {count:d} times")
def register_step(context, count):
    groups = [{"prompt": "p", "prefix": "", "samples": 1, "max_tokens": 1}]
    body = json.dumps({"incarnation": 1, "version": 1, "groups": groups}).encode()
    request = http_messages.HttpRequest("PUT", "/", (), {}, body, lambda: False)
    for _ in range(count):
        answer = context.api.put_step(request, sample_trials.CUSTOMER, "near", "1")
        assert answer.status == 200, answer


@behave.then("the entry has taken the step {count:d} times")
def check_takes(context, count):
    assert context.takeover.take.call_count == count, context.takeover.take.call_args_list
