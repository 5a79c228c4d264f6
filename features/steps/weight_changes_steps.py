"""Steps for faults during a change of weights."""

import behave
import deployment_steps

import support
import trainings
import weight_changes

_ENGINE = weight_changes.ENGINE_UNDER_TEST
_VERSIONS_END = 10


@behave.given("designs on an engine that {kind} and on a healthy one")
def start_engines(context, kind):
    deployment_steps.start_deployment(
        context,
        f"{weight_changes.ENGINE_RELAY}, {weight_changes.LOG_RELAY}",
        hosts=weight_changes.describe_hosts(kind),
        entries=("entry-a",),
    )
    context.deployment.await_usable(len(context.deployment.hosts))
    if "ignores numbers and states no" in kind:
        support.wait_until(lambda: _has_finished_draft(context), "that engine serves")
    context.trainings = trainings.Trainings(context.deployment)
    for version in range(2, _VERSIONS_END):
        context.trainings.store_weights(version)


def _has_finished_draft(context):
    """
    Call the operation `draft`; return whether the engine has finished a generation.

    After its sidecar's start the engine gets no work while earlier orders may take effect.
    """
    body = {"prompt": "warm up", "prefix": "", "max_tokens": 40, "stream": False}
    context.deployment.deployed.call("entry-a", "long", "draft", body)
    return any(
        item["outcome"] == "finished"
        for item in weight_changes.read_generations(context.deployment)
    )


@behave.given("that engine's next order to load will be stopped when {step}")
def stop_order(context, step):
    context.weight_change = weight_changes.WeightChange(context.deployment, step)


@behave.when("trainer {name} starts a step with designs version {version:d}")
def start_training(context, name, version):
    context.trainings.start(name, version)


@behave.when("that engine's order for version {version:d} has reached that point")
def await_stopped(context, version):
    context.weight_change.await_stopped(version)


@behave.then("trainer {name} has every sample of its step, correctly labelled")
def finish_training(context, name):
    context.summary = context.trainings.finish(name)


@behave.when("later orders to that engine are let through")
def pass_later_orders(context):
    context.weight_change.pass_later_orders()


@behave.when("that engine's order continues")
def release_order(context):
    context.weight_change.release_order()


def _kill(name):
    def act(deployed):
        deployed.kill(name)
        return lambda: deployed.restart(name)

    return act


def _freeze(name):
    def act(deployed):
        deployed.freeze(name)
        return lambda: deployed.cluster.thaw(name)

    return act


def _cut_engine_off(deployed):
    relay = deployed.relays[weight_changes.ENGINE_RELAY]
    relay.cut()
    return relay.heal


def _hang_log(deployed):
    deployed.cluster.control("log", outage="hang")
    return lambda: deployed.cluster.control("log", outage="")


_FAULTS = {
    "its sidecar is killed": _kill(weight_changes.HOST_UNDER_TEST),
    "its sidecar is frozen": _freeze(weight_changes.HOST_UNDER_TEST),
    "the engine is killed": _kill(_ENGINE),
    "the engine is cut off": _cut_engine_off,
    "the log hangs": _hang_log,
}


@behave.when("{fault} as that engine's weights change")
def inject_fault(context, fault):
    context.repair_fault = _FAULTS[fault](context.deployment)


@behave.when("the fault of that engine's weight change is repaired")
def repair_fault(context):
    context.repair_fault()


@behave.then("both engines run designs version {version:d} and take work")
def check_engines_run(context, version):
    for name in context.deployment.server_names:
        support.wait_until(
            lambda name=name: (
                context.deployment.cluster.read_control(name, "generations=no")["version"]
                == version
            ),
            f"{name} runs version {version}",
        )
    context.deployment.await_usable(len(context.deployment.hosts))


@behave.then("no engine accepted an order older than one before it")
def check_fencing(context):
    weight_changes.check_fencing(context.deployment)


@behave.when("trainer {name} starts a long step with designs version {version:d}")
def start_long(context, name, version):
    context.trainings.start(name, version, **{"max-tokens": 160})


@behave.when("trainer {name} takes {count:d} short steps from designs version {version:d}")
def take_steps(context, name, count, version):
    context.trainings.start(name, version, steps=count, samples=2)
