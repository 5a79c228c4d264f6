"""Steps for running a generation with a fake engine."""

import threading

import behave
import expression

from oleander_backends import engine
from oleander_base import clock, tasks
from oleander_contracts import fold, records
from oleander_wire import messages
from oleanderdeal import pending_runs, runners, weights

_LOAD_TIMEOUT_MS = 60_000


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
        return expression.Error(engine.EngineError("lost", False, 0))


def read_version(text):
    return None if text == "-" else int(text)


@behave.given("a runner whose engine streams versions {versions}")
def create_runner(context, versions):
    context.engine = FakeEngine(versions.split())


@behave.given("the runner's engine says version {before} before and {after} after")
def create_keeper(context, before, after):
    context.keeper = _create_keeper(context.engine, fold.ConfigurationFold(), True)
    context.engine.said = read_version(before)
    context.keeper.reconcile()
    context.engine.said = read_version(after)


@behave.given("the runner's engine {checks} numbers and loses the answer to an order")
def lose_answer(context, checks):
    context.engine.said = 7
    in_force = fold.ConfigurationFold()
    in_force.apply(0, 0, records.VersionRecord("m", 8, "", "").to_value())
    context.keeper = _create_keeper(context.engine, in_force, checks == "checks")
    context.keeper.reconcile()
    assert context.keeper.version is None
    context.keeper.reconcile()


def _create_keeper(backend, in_force, checks_fencing):
    group = tasks.TaskGroup("keeper", 1)
    return weights.WeightReconciler(
        backend, "m", in_force, group, checks_fencing, _LOAD_TIMEOUT_MS, 0, lambda report: None
    )


@behave.then("the runner's engine is then {usable} for new work")
def check_usable(context, usable):
    assert (context.keeper.version is not None) == (usable == "used")


@behave.when("the runner runs a generation")
def run_generation(context):
    context.passed = []
    terms = messages.GenerationTerms("m", "", 3, "", 0, -1)
    run = messages.Run(
        "r", "t", "i", "c", "o", "", "", 1, 0, -1, True, 1, 50, 1000, b"prompt", terms
    )
    deadline = clock.start_deadline(30)
    pending = pending_runs.PendingRun(
        "w",
        run,
        deadline,
        context.passed.append,
        lambda answer: None,
        threading.Event(),
        lambda: False,
    )
    context.answer = runners.EngineRunner(context.engine, context.keeper).run(pending)


@behave.then("the runner passed on versions {passed} and answered {answer}")
def check_passed(context, passed, answer):
    versions = " ".join(str(item.version) for item in context.passed) or "none"
    assert versions == passed, versions
    told = f"{context.answer.outcome.value} {context.answer.reason}".strip()
    assert told == answer, told
