"""Steps for desks, which are example services, whose sidecars stop taking new work."""

import signal

import behave
import deployment_steps

import leaving
import stops
import support


@behave.given("{count:d} desks whose leaving is observed")
def start_desks(context, count):
    hosts = leaving.describe_desks(count)
    links = [f"link-{host.name}" for host in hosts]
    deployment_steps.start_deployment(context, ", ".join([*links, "log-entry-a"]), hosts=hosts)
    context.desks = leaving.Desks(context.deployment)


@behave.given("a {operation} is held at each of the leaving desks {names}")
def hold_calls(context, operation, names):
    context.leaving = names.replace("nothing", "").split()
    context.desks.hold(context.leaving, operation)


def _send_sigterm(context, name):
    context.deployment.cluster.find(name).send(signal.SIGTERM)


def _list_leaving(context, name):
    context.deployment.cluster.control("hosts", leaving=name)


def _await_list_read(context):
    """Wait until each entry has read the current list and applied it."""
    count = 2 * len(context.deployment.entries) + 1
    before = _count_list_reads(context)
    support.wait_until(
        lambda: _count_list_reads(context) > before + count, "the entries have read the list"
    )


def _count_list_reads(context):
    return context.deployment.cluster.read_control("hosts")["reads"]


def _leave_behind_relay(context, name, relay):
    _send_sigterm(context, name)
    support.wait_until(
        lambda: "draining" in context.deployment.cluster.find(name).read_log(), "it was told"
    )
    relay.heal()


def _leave_cut_off(context, name):
    relay = context.deployment.relays[f"link-{name}"]
    relay.cut()
    _leave_behind_relay(context, name, relay)


def _leave_with_blocked_link(context, name):
    relay = context.deployment.relays[f"link-{name}"]
    relay.block("to_client")
    _leave_behind_relay(context, name, relay)


def _leave_before_list_outage(context, name):
    _list_leaving(context, name)
    context.deployment.await_usable(len(context.deployment.hosts) - 1)
    context.deployment.cluster.control("hosts", outage="refuse")
    context.deployment.relays[f"link-{name}"].drop_connections()
    context.deployment.await_entries()


def _remove_from_list(context, name):
    context.deployment.cluster.control("hosts", remove=name)


def _stop_and_remove_from_list(context, name):
    _send_sigterm(context, name)
    _remove_from_list(context, name)


_WAYS_TO_LEAVE = {
    "are told": _send_sigterm,
    "are listed as leaving": _list_leaving,
    "are told as their links are cut": _leave_cut_off,
    "are told while nothing from them arrives": _leave_with_blocked_link,
    "are listed, and then the list is down and their links drop": _leave_before_list_outage,
    "are forgotten by the list": _remove_from_list,
    "are told and forgotten by the list": _stop_and_remove_from_list,
}


@behave.when("the leaving desks {way}, the host list being {state}")
def start_leaving(context, way, state):
    settings = {"emptied": {"set": []}, "up": {}}.get(state, {"outage": state})
    context.deployment.cluster.control("hosts", **settings)
    context.runs = {name: context.desks.read_counts(name)["runs"] for name in context.leaving}
    for name in context.leaving:
        _WAYS_TO_LEAVE[way](context, name)


@behave.then("{count:d} more calls are done, and none of them by a leaving desk")
def check_no_new_work(context, count):
    left = len(context.deployment.hosts) - len(context.runs)
    context.deployment.await_usable(left)
    context.desks.make_calls(count)
    now = {name: context.desks.read_counts(name)["runs"] for name in context.runs}
    assert now == context.runs, f"{context.runs} became {now}"


@behave.when("the held calls of the leaving desks are released")
def release_calls(context):
    for name in context.leaving:
        context.desks.release(name)


@behave.then("the held calls of the desks are done, each charge once")
def check_held(context):
    context.desks.check_held()


@behave.then("the sidecars of the leaving desks have ended with exit code 0")
def check_ended(context):
    for name in context.leaving:
        code = context.deployment.cluster.find(name).wait_exit(30)
        assert code == 0, f"{name} ended with {code}"


@behave.when("the host list says that {names} leave")
def list_as_leaving(context, names):
    context.listed = context.deployment.cluster.read_control("hosts")["hosts"]
    for name in names.split():
        _list_leaving(context, name)


@behave.when("the host list is corrected")
def correct_list(context):
    context.deployment.cluster.control("hosts", set=context.listed)


@behave.then("the entries use {count:d} desks")
def check_usable(context, count):
    context.deployment.await_usable(count)


@behave.then("{count:d} more calls are done")
def check_calls(context, count):
    context.desks.make_calls(count)


@behave.given(
    "{count:d} calls are held at the desks or wait for them, {name} being the one to leave"
)
def fill_desk_slots(context, count, name):
    context.leaving = [name]
    context.desks.fill_slots(count)


@behave.when("the held calls of the other desks are released")
def release_others(context):
    for name in set(context.deployment.hosts) - set(context.leaving):
        context.desks.release(name)


@behave.then("{count:d} of the held calls are done before those of the leaving desks are released")
def await_ended_calls(context, count):
    support.wait_until(lambda: context.desks.count_ended() == count, f"{count} calls are answered")


@behave.then("the leaving desks started no call since they were told")
def check_no_runs_since(context):
    now = {name: context.desks.read_counts(name)["runs"] for name in context.runs}
    assert now == context.runs, f"{context.runs} became {now}"


@behave.then("a late request to the desk {name} is answered {answer}")
def check_late_request(context, name, answer):
    found = context.desks.send_late_request(name)
    assert found == answer, found


@behave.given("the charge late is claimed at entry-a, which is then frozen")
def freeze_claimant(context):
    context.claim = stops.UnconfirmedClaim(context.deployment)
    context.claim.start()
    context.deployment.freeze("entry-a")


@behave.when("the claimed desk is told to leave and {state}")
def stop_claimed(context, state):
    context.claimed = context.claim.sidecar
    stops.request_stop(context.deployment, context.claimed)
    if state == "has ended":
        context.deployment.cluster.find(context.claimed).wait_exit()
    context.runs = {context.claimed: context.desks.read_counts(context.claimed)["runs"]}


@behave.when("entry-a is thawed, and the desks release their calls")
def thaw_claimant(context):
    context.deployment.cluster.thaw("entry-a")
    context.claim.release()
    for name in context.leaving:
        context.desks.release(name)


@behave.then("the charge late is done, by the other desk")
def check_claimed(context):
    context.claim.check()
    check_no_runs_since(context)
