"""Steps that start a small deployment and stop, pause or cut off its parts."""

import behave

import deployments
import support


def _split(names):
    return [name.strip() for name in names.split(",") if name.strip()]


def start_deployment(context, relays="", **options):
    """Start a deployment that is stopped after the scenario, and return it."""
    cluster = support.get_cluster(context)
    context.deployment = deployments.SmallDeployment(cluster, _split(relays), **options)
    context.deployment.start()
    return context.deployment


@behave.given("a small deployment")
def start_plain(context):
    start_deployment(context)


@behave.given("a small deployment with the relays {names}")
def start_with_relays(context, names):
    start_deployment(context, names)


def _terminate(deployment, name):
    code = deployment.terminate(name)
    assert code == 0, f"{name} ended with exit code {code}"


_ACTIONS = {
    "killed": lambda deployment, name: deployment.kill(name),
    "frozen": lambda deployment, name: deployment.freeze(name),
    "thawed": lambda deployment, name: deployment.cluster.thaw(name),
    "terminated": _terminate,
    "restarted": lambda deployment, name: deployment.restart(name),
}


@behave.step("the process {name} is {action}")
def act_on_process(context, name, action):
    _ACTIONS[action](context.deployment, name)


@behave.step("the entries are linked to every sidecar")
def await_links(context):
    context.deployment.await_entries()


@behave.step("the relay {name} is cut")
def cut_relay(context, name):
    context.deployment.relays[name].cut()


@behave.step("the relay {name} drops its connections")
def drop_relay(context, name):
    context.deployment.relays[name].drop_connections()


@behave.step("the relay {name} blocks what goes {direction}")
def block_relay(context, name, direction):
    context.deployment.relays[name].block(deployments.DIRECTIONS[direction])


@behave.step("the relay {name} is healed")
def heal_relay(context, name):
    context.deployment.relays[name].heal()


@behave.step("the relay {name} holds something that goes {direction}")
def await_held(context, name, direction):
    relay = context.deployment.relays[name]
    support.wait_until(
        lambda: relay.count_held(deployments.DIRECTIONS[direction]), f"{name} holds something"
    )


@behave.step("the log's outage is {kind}")
def set_outage(context, kind):
    context.deployment.cluster.control("log", outage="" if kind == "over" else kind)


@behave.step("the log takes {milliseconds:d} ms for each request")
def slow_log(context, milliseconds):
    context.deployment.cluster.control("log", slow_ms=milliseconds)


@behave.step("the log {fault} {count:d} appends")
def lose_appends(context, fault, count):
    settings = {
        "loses before effect the next": "lose_before",
        "loses after effect the answers of the next": "lose_after",
        "carries out late the next": "late",
    }
    context.deployment.cluster.control("log", **{settings[fault]: count})


@behave.step("the stand-in {name} has {setting} set to {value}")
def set_stand_in(context, name, setting, value):
    known = context.deployment.cluster.read_control(name, "generations=no")["settings"][setting]
    read = value == "true" if isinstance(known, bool) else type(known)(value)
    context.deployment.cluster.control(name, **{setting: read})


@behave.step("caller {name} asks {entry} for {operation} of {customer} with key {key}")
def ask(context, name, entry, operation, customer, key):
    body = {"for": key}
    context.deployment.start_call(name, entry, customer, operation, body, key)


@behave.step(
    "caller {name} waits {limit:d} ms for {operation} of {customer} at {entry} with key {key}"
)
def ask_within(context, name, entry, operation, customer, key, limit):
    body = {"for": key}
    context.deployment.start_call(name, entry, customer, operation, body, key, limit)


@behave.step("caller {name} has the answer {outcome}")
def check_outcome(context, name, outcome):
    response = context.deployment.read_answer(name)
    found = deployments.read_outcome(response)
    assert found == outcome or found.split()[0] == outcome, response


@behave.step("callers {first} and {second} have the same answer")
def check_same(context, first, second):
    answers = [context.deployment.read_answer(name) for name in (first, second)]
    assert answers[0].body == answers[1].body, answers


@behave.step("the services ran key {key} {count:d} times")
def check_runs(context, key, count):
    found = context.deployment.count_runs(key)
    assert found == count, found


@behave.step("a service is running key {key}")
def await_running(context, key):
    support.wait_until(lambda: context.deployment.count_runs(key) == 1, f"{key} runs")
