"""Steps of the fault matrix of samples: reach a stage, inject faults, check what arrives."""

import signal

import behave
import deployment_steps

import deployments
import sample_trials
import support
from oleander_standins import relay

_SUPERSEDED = 3
_PROCESS_ACTIONS = ("killed", "frozen", "thawed", "terminated", "restarted")
_RELAY_ACTIONS = {
    "cut": lambda found: found.cut(),
    "dropped": lambda found: found.drop_connections(),
    "holds-requests": lambda found: found.block(relay.TO_SERVER),
    "holds-answers": lambda found: found.block(relay.TO_CLIENT),
    "holds-open-ones": lambda found: found.block_open_connections(),
    "cuts-an-answer": lambda found: found.spoil(relay.CUT),
    "damages-an-answer": lambda found: found.spoil(relay.DAMAGED),
    "healed": lambda found: found.heal(),
}
_CONTROLS = {
    "refuses": {"outage": "refuse"},
    "hangs": {"outage": "hang"},
    "slow": {"slow_ms": 300},
    "back": {"outage": "", "slow_ms": 0},
    "cuts-streams": {"cut": 4},
}


def _await_spoiled(context, name):
    found = context.deployment.relays[name]
    support.wait_until(lambda: not found.spoils_left, f"{name} has spoiled its answers")


def _tell_to_stop(context, name):
    context.deployment.cluster.find(name).send(signal.SIGTERM)


def _await_ended(context, name):
    code = context.deployment.cluster.find(name).wait_exit()
    assert code == 0, f"{name} ended with exit code {code}"


_WAITS = {
    "released": lambda context, _: context.sample_trials.release(),
    "linked": lambda context, _: context.deployment.await_entries(),
    "trainer-at": lambda context, entry: context.sample_trials.await_put("trainer", entry),
    "second-put": lambda context, entry: context.sample_trials.await_first_put("second"),
    "exited": lambda context, process: context.sample_trials.await_exit(process),
    "held": lambda context, count: context.sample_trials.await_held("trainer", int(count)),
    "published": lambda context, version: context.sample_trials.publish(int(version)),
    "announced": lambda context, version: context.sample_trials.announce(int(version)),
    "loaded": lambda context, version: context.sample_trials.await_loaded(int(version)),
    "peers": lambda context, count: context.sample_trials.await_peers(int(count)),
    "spoiled": _await_spoiled,
    "told-to-stop": _tell_to_stop,
    "ended": _await_ended,
}


def _act(context, text):
    """Inject one fault or wait for one condition, such as `entry-a killed` or `peers 1`."""
    first, _, second = text.partition(" ")
    if first in _WAITS or second in _WAITS:
        name, argument = (first, second) if first in _WAITS else (second, first)
        _WAITS[name](context, argument)
    elif second in _PROCESS_ACTIONS:
        deployment_steps.act_on_process(context, first, second)
    elif second in _CONTROLS:
        context.deployment.cluster.control(first, **_CONTROLS[second])
    else:
        _RELAY_ACTIONS[second](context.deployment.relays[first])


@behave.given("a samples deployment")
def start_samples(context):
    context.sample_trials = sample_trials.start(context)


@behave.given("a samples deployment where {faults}")
def start_samples_with(context, faults):
    start_samples(context)
    inject_faults(context, faults)


@behave.when("the samples of trainer {trainer} have reached stage {stage}")
def reach_stage(context, trainer, stage):
    context.sample_trials.bring_to(stage, trainer, ())


@behave.when("trainer {trainer} starts with {flags} and its samples have reached stage {stage}")
def reach_stage_with_flags(context, trainer, stage, flags):
    context.sample_trials.bring_to(stage, trainer, flags.split())


@behave.step("these deployment events occur: {faults}")
def inject_faults(context, faults):
    for fault in faults.split(","):
        _act(context, fault.strip())


@behave.step("the trainer of the samples is killed and restarted with {flags}")
def restart_trainer(context, flags):
    context.deployment.cluster.kill("trainer")
    held = context.sample_trials.read_held("trainer")
    context.sample_trials.held_at_stage = sample_trials.count_numbers(held)
    more = flags.format(held=held).split()
    context.sample_trials.start_trainer("trainer", "near", deployments.ENTRIES, *more)


@behave.step("a second trainer {name} of the samples starts at {entry}")
def start_second(context, name, entry):
    flags = ("--incarnation", "2")
    context.sample_trials.start_trainer("second", name, (entry,), *flags)


@behave.then(
    "trainer process {name} receives every sample of {steps:d} steps once, not stale and"
    " correctly labelled"
)
def check_complete(context, name, steps, of_checkpoint=0):
    code, summary = context.sample_trials.await_end(name)
    assert code == 0 and not summary["problems"], summary
    assert summary["steps"] == steps, summary
    assert summary["samples"] == steps * sample_trials.SAMPLES - of_checkpoint, summary
    assert summary["duplicates"] == 0 and summary["stale"] == 0, summary
    context.samples_summary = summary


@behave.then(
    "the samples arrive once, not stale and correctly labelled, with at most {wasted}"
    " wasted tokens"
)
def check_arrived(context, wasted):
    check_complete(context, "trainer", 1)
    check_wasted(context, wasted)


@behave.then("at most {wasted} sample tokens were wasted")
def check_wasted(context, wasted):
    trials = context.sample_trials
    unheld = (sample_trials.SAMPLES - trials.held_at_stage) * sample_trials.SAMPLE_TOKENS
    named = {"unheld": unheld, "unheld-twice": 2 * unheld}
    most = named[wasted] if wasted in named else int(wasted)
    made = trials.count_tokens() - sample_trials.SAMPLES * sample_trials.SAMPLE_TOKENS
    assert made <= most, f"{made} wasted tokens, {trials.held_at_stage} samples were held"


@behave.then(
    "the restarted trainer receives its remaining samples once, not stale and correctly labelled"
)
def check_remaining(context):
    held = context.sample_trials.held_at_stage
    assert held > 0
    check_complete(context, "trainer", 1, held)


@behave.then("trainer process {name} ends as superseded, without a duplicate sample")
def check_superseded(context, name):
    code, summary = context.sample_trials.await_end(name)
    assert code == _SUPERSEDED and summary["superseded"], (code, summary)
    assert summary["duplicates"] == 0 and not summary["problems"], summary


@behave.then("{made:d} complete samples were generated in total")
def check_generated(context, made):
    tokens = context.sample_trials.count_tokens()
    assert tokens == made * sample_trials.SAMPLE_TOKENS, tokens


@behave.then("the stalest sample was {staleness:d} versions old")
def check_oldest(context, staleness):
    assert context.samples_summary["staleness_max"] == staleness, context.samples_summary


@behave.then("a registration of the samples' step with other groups at {entry} is a {reason}")
def check_conflict(context, entry, reason):
    groups = [{"prompt": "other", "prefix": "", "samples": 16, "max_tokens": 8}]
    answer = context.sample_trials.put_step(entry, "near", 1, groups)
    assert answer.status == 409 and answer.read_json()["reason"] == reason, answer.body
