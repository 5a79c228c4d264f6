"""Steps for planned stops."""

import behave
import deployment_steps

import leaving
import stops

_EXIT_TIMEOUT_SECONDS = 40


@behave.given("a deployment to stop parts of")
def start_deployment(context):
    deployment_steps.start_deployment(context, f"log-{stops.ENTRY}", hosts=stops.HOSTS)
    context.deployment.await_usable(len(stops.HOSTS))
    context.desks = leaving.Desks(context.deployment)


@behave.given("at the time of the stop {work}")
def start_work(context, work):
    context.work = stops.WORK_TYPES[work](context.deployment)
    context.work.start()


@behave.when("the {kind} with a part in it is told to stop")
def request_stop(context, kind):
    context.stopped = stops.ENTRY if kind == "entry" else context.work.sidecar
    stops.request_stop(context.deployment, context.stopped)


@behave.then("{count:d} calls made during the stop are done")
def check_new_calls(context, count):
    context.desks.make_calls(count, context.work.new_call_operations)


@behave.when("what was in progress at the stop goes on")
def release_work(context):
    context.work.release()


@behave.then("all answers in progress at the stop come whole")
def check_work(context):
    context.work.check()


@behave.then("the stopped process has ended with exit code {code:d}")
def check_exit(context, code):
    found = context.deployment.cluster.find(context.stopped).wait_exit(_EXIT_TIMEOUT_SECONDS)
    assert found == code, found
