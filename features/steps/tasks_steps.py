"""Steps for task groups."""

import behave

import support
from oleander_base import clock, tasks


@behave.given("a group with a supervised task that fails {failures:d} times")
def create_group(context, failures):
    context.runs = []

    def fail_first_runs():
        context.runs.append(1)
        if len(context.runs) <= failures:
            raise ValueError("unexpected")

    context.group = tasks.TaskGroup("lasting", 1)
    context.future = context.group.supervise(fail_first_runs)


@behave.when("the task group has run it to its end")
def wait_end(context):
    support.wait_until(context.future.done, "the end of the supervised task")
    context.group.stop()


@behave.then("the supervised task ran {runs:d} times and every thread of the group ended")
def check_runs(context, runs):
    assert len(context.runs) == runs, context.runs
    assert context.group.join(clock.start_deadline(5))
