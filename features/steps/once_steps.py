"""
Steps that hold a non-repeatable request at a stage, inject faults and check the outcome.

The stages are the steps that `once_matrix.feature` lists at its head.
"""

import time

import behave

import deployment_pool
import deployments
import once_trial
import support
from oleander_claims import records
from oleander_standins import relay

_MAX_RETRIES = 5
_EXCESS_REQUESTS = 12
_DIRECTIONS = {"to-server": relay.TO_SERVER, "to-client": relay.TO_CLIENT}


def _change_log(trial, kind, value=""):
    settings = {
        "refuse": {"outage": "refuse"},
        "hang": {"outage": "hang"},
        "over": {"outage": "", "slow_ms": 0},
        "slow": {"slow_ms": int(value or 0)},
        "loses": {"lose_before": int(value or 0)},
        "silent": {"lose_after": int(value or 0)},
        "late": {"late": 1, "late_ms": int(value or 0)},
    }
    trial.cluster.control("log", **settings[kind])


def _pass_deadline(trial):
    """Wait until the first submission's deadline has passed."""
    first = trial.submissions[0]
    support.wait_until(
        lambda: time.monotonic() > first.started_at + first.timeout_ms / 1000 + 0.1, "the deadline"
    )


def _wait_retry_delay(trial):
    """Wait for the retry delay of the last answer, if it is a refusal."""
    last = trial.submissions[-1]
    wait_ms = 0
    if last.outcome.startswith("not-run"):
        wait_ms = last.response.read_json()["retry_after_ms"]
    support.wait_until(lambda: time.monotonic() > last.ended_at + wait_ms / 1000, "the caller")


def _retry_until_served(trial):
    """Retry after each refusal's delay; entries notice within a second that the log is back."""
    for _ in range(_MAX_RETRIES):
        _wait_retry_delay(trial)
        trial.ask("entry-b")
        trial.await_answer(len(trial.submissions))
        if not trial.submissions[-1].outcome.startswith("not-run log-"):
            return


def _append_other_claims(trial, count):
    """Append claims of other keys to the stream, as requests of other callers do."""
    keys = [f"other-{number}" for number in range(int(count))]
    claims = [
        records.Claim(once_trial.CUSTOMER, key, "", 1, "desk-a", "127.0.0.1:1", "gone", key, "")
        for key in keys
    ]
    values = [claim.to_value() for claim in claims]
    url = f"{trial.cluster.url('log')}/streams/claims-{trial.shard}/records"
    support.call("POST", url, {"records": values})
    trial.flush_late_messages()


def _exhaust_threads(trial, entry):
    """Send an entry more requests than it has threads, until it refuses one."""
    names = [f"crowd-{number}" for number in range(_EXCESS_REQUESTS)]
    for name in names:
        trial.deployment.start_call(name, entry, once_trial.CUSTOMER, "look-up", {})
    support.wait_until(
        lambda: any(trial.deployment.is_answered(name) for name in names), f"{entry} is busy"
    )


_EVENTS = {
    "crowd": _exhaust_threads,
    "ask": lambda trial, entry, timeout_ms="0": trial.ask(entry, int(timeout_ms)),
    "await": lambda trial, number: trial.await_answer(int(number)),
    "claims": lambda trial, count: trial.await_claims(int(count)),
    "kill": lambda trial, role: trial.deployment.kill(trial.name(role)),
    "restart": lambda trial, role: trial.deployment.restart(trial.name(role)),
    "noticed": lambda trial: trial.deployment.await_peers(1),
    "linked": lambda trial: trial.deployment.await_entries(),
    "peers": lambda trial, count: trial.deployment.await_peers(int(count)),
    "freeze": lambda trial, role: trial.suspend(trial.name(role)),
    "thaw": lambda trial, role: trial.resume(trial.name(role)),
    "cut": lambda trial, role: trial.relays[trial.name(role)].cut(),
    "hold-open": lambda trial, role: trial.relays[trial.name(role)].block_open_connections(),
    "drop": lambda trial, role: trial.relays[trial.name(role)].drop_connections(),
    "block": lambda trial, role, way: trial.relays[trial.name(role)].block(_DIRECTIONS[way]),
    "release": lambda trial, role, way: trial.relays[trial.name(role)].release(_DIRECTIONS[way]),
    "heal": lambda trial, role: trial.relays[trial.name(role)].heal(),
    "log": _change_log,
    "hold": lambda trial: trial.hold_runs(),
    "runs": lambda trial: trial.await_run(),
    "deadline": _pass_deadline,
    "others": _append_other_claims,
    "back": _wait_retry_delay,
}


def _is_expected(found, expected):
    """Return whether an outcome is among those expected; a reason counts only if one is given."""
    return found in expected.split("/") or found.split()[0] in expected.split("/")


def _begin_trial(context, deployment, key=""):
    context.deployment = deployment
    context.cluster = deployment.cluster
    context.once = once_trial.OnceRequestTrial(deployment, key)
    context.once.warm_up()


@behave.given("a deployment in which every connection of a non-repeatable request can fail")
def start(context):
    _begin_trial(context, deployment_pool.POOL.take(once_trial.RELAYS))


@behave.given(
    "a deployment in which every connection of a non-repeatable request can fail "
    "but those to the services"
)
def start_with_direct_services(context):
    _begin_trial(context, deployment_pool.POOL.take(once_trial.LINK_AND_LOG_RELAYS))


@behave.given(
    "a deployment whose entries have {setting} set to {value} for a non-repeatable request"
)
def start_with_setting(context, setting, value):
    flags = (f"--{setting}", value)
    started = deployments.SmallDeployment(support.get_cluster(context), entry_flags=flags)
    started.start()
    _begin_trial(context, started)


@behave.given("the non-repeatable request has an issued key")
def issue_key(context):
    deployment = context.deployment
    url = f"{deployment.cluster.url('entry-a')}/v1/customers/{once_trial.CUSTOMER}"
    url += f"/operations/{once_trial.OPERATION}/keys"
    headers = deployment.deployed.write_headers(once_trial.CUSTOMER)
    issued = support.wait_until(
        lambda: support.call("POST", url, {}, headers).read_json().get("key"), "an issued key"
    )
    context.once = once_trial.OnceRequestTrial(deployment, issued)


@behave.when("{count:d} non-repeatable requests are each sent to both entries at the same time")
def ask_both(context, count):
    context.once_trials = [once_trial.OnceRequestTrial(context.deployment) for _ in range(count)]
    for trial in context.once_trials:
        for entry in deployments.ENTRIES:
            trial.ask(entry)


@behave.then("each of the non-repeatable requests ran once, and both entries gave its answer")
def check_both(context):
    for trial in context.once_trials:
        for number in (1, 2):
            trial.await_answer(number)
        assert [item.outcome for item in trial.submissions] == ["done", "done"], trial.describe()
        assert trial.check_answers() == 1, trial.describe()


@behave.when("the non-repeatable request is {step}, and then {events}")
def play(context, step, events):
    step, _, timeout_ms = step.partition(" within ")
    context.once.first_timeout_ms = int(timeout_ms or context.once.first_timeout_ms)
    once_trial.STEPS[step](context.once)
    for event in events.split(", "):
        name, *arguments = event.split()
        _EVENTS[name](context.once, *arguments)


@behave.when("all faults of the non-repeatable request have ended")
def end_faults(context):
    context.once.end_faults()


@behave.then("the non-repeatable request has the answers {expected}")
def check_answers(context, expected):
    found = [item.outcome for item in context.once.submissions]
    wanted = expected.split(", ")
    assert len(found) == len(wanted), context.once.describe()
    for one, other in zip(found, wanted, strict=True):
        assert _is_expected(one, other), context.once.describe()


@behave.then(
    "a final retry of the non-repeatable request is answered {outcome}, "
    "after {runs:d} runs in total"
)
def check_end(context, outcome, runs):
    trial = context.once
    if outcome != "nothing":
        _retry_until_served(trial)
        assert _is_expected(trial.submissions[-1].outcome, outcome), trial.describe()
    trial.flush_late_messages()
    found = trial.check_answers()
    assert found == runs, trial.describe()
    if context.deployment.is_reusable and not context.deployment.has_own_settings:
        deployment_pool.POOL.give_back(context.deployment)
        context.cluster = None
