"""Steps for running a generation beside a fake engine."""

import threading

import behave
import expression

from oleander_backends import engine
from oleander_base import clock, tasks
from oleander_contracts import fold
from oleander_wire import messages
from oleanderdeal import runners, weights, work


class FakeStream(engine.GenerationStream):
    def __init__(self, versions):
        self._versions = versions

    def __iter__(self):
        for index, version in enumerate(self._versions):
            if version == "cut":
                yield expression.Error(engine.EngineError("cut", False, 0))
                return
            is_last = index == len(self._versions) - 1
            yield expression.Ok(engine.Chunk("t ", 1, read_version(version), is_last))

    def cancel(self):
        pass


class FakeEngine(engine.Engine):
    def __init__(self, versions):
        self.versions = versions
        self.said = None

    def generate(self, generation, deadline):
        return expression.Ok(FakeStream(self.versions))

    def read_load(self, deadline):
        raise AssertionError("not asked for")

    def read_version(self, deadline):
        return expression.Ok(engine.EngineVersion(self.said, False))

    def load_version(self, order, deadline):
        raise AssertionError("not asked for")


def read_version(text):
    return None if text == "-" else int(text)


@behave.given("a runner whose engine streams versions {versions}")
def create_runner(context, versions):
    context.engine = FakeEngine(versions.split())


@behave.given("the runner's engine says version {before} before and {after} after")
def create_keeper(context, before, after):
    group = tasks.TaskGroup("keeper", 1)
    context.keeper = weights.WeightKeeper(
        context.engine, "m", fold.ConfigurationFold(), group, True, 1000, 0, lambda report: None
    )
    context.engine.said = read_version(before)
    context.keeper.look()
    context.engine.said = read_version(after)


@behave.when("the runner runs a generation")
def run_generation(context):
    context.passed = []
    terms = messages.GenerationTerms("m", "", 3, "", 0, -1)
    run = messages.Run(
        "r", "t", "i", "c", "o", "", "", 1, 0, -1, True, 1, 50, 1000, b"prompt", terms
    )
    deadline = clock.start_deadline(30)
    pending = work.PendingRun(
        "w", run, deadline, context.passed.append, lambda answer: None, threading.Event()
    )
    context.answer = runners.EngineRunner(context.engine, context.keeper).run(pending)


@behave.then("the runner passed on versions {passed} and answered {answer}")
def check_passed(context, passed, answer):
    versions = " ".join(str(item.version) for item in context.passed) or "none"
    assert versions == passed, versions
    told = f"{context.answer.outcome.value} {context.answer.reason}".strip()
    assert told == answer, told
