"""Steps for configuration changes during faults, with real processes."""

import json
import tempfile
import threading
import time

import behave

import configuration_deployment
import deployments
import support
from oleander_contracts import in_force, records
from oleander_wire import link

_FAULTS = {
    "refuses": {"outage": "refuse"},
    "hangs": {"outage": "hang"},
    "is slow": {"slow_ms": 200},
    "loses an append": {"lose_before": 1},
    "loses an answer": {"lose_after": 1},
    "is late once": {"late": 1, "late_ms": 300},
    "loses every append": {"lose_before": 10_000},
    "is late always": {"late": 10_000, "late_ms": 4000},
    "works": {"outage": "", "slow_ms": 0, "lose_before": 0, "lose_after": 0, "late": 0},
}
_EVERYONE = (*deployments.ENTRIES, *(host.name for host in deployments.DESKS))
_COMMAND_SECONDS = 30
_STARTING_CHECKS = 20
_CHECK_INTERVAL_SECONDS = 0.1
_NONE = "none"
_HTTP_UNAVAILABLE = 503


class _SharedDeployment:
    """A deployment shared by scenarios; replaced after one that failed or did not restore it."""

    parts = None
    is_reusable = False


def _stop_shared():
    if _SharedDeployment.parts is not None:
        _SharedDeployment.parts.stop_watching()
        _SharedDeployment.parts.cluster.stop()
    _SharedDeployment.parts = None
    _SharedDeployment.is_reusable = False


def _split(names):
    parts = [name.strip() for name in names.split(",")]
    return _EVERYONE if parts == ["everyone"] else [part for part in parts if part != _NONE]


def _end_scenario(context, parts):
    if context.scenario.status.has_failed():
        print(parts.cluster.read_logs())
    parts.stop_watching()


def _begin_scenario(context, parts):
    context.parts = parts
    context.base = parts.number
    context.add_cleanup(_end_scenario, context, parts)
    parts.append_change()
    parts.await_change(parts.number, _EVERYONE)
    parts.start_watching()


@behave.given("the deployment of the configuration matrix")
def start_shared(context):
    if not _SharedDeployment.is_reusable:
        _stop_shared()
        context.add_cleanup(_stop_shared, layer="feature")
        _SharedDeployment.parts = configuration_deployment.ConfigurationDeployment(
            support.Cluster()
        )
        _SharedDeployment.parts.start()
    _SharedDeployment.is_reusable = False
    _begin_scenario(context, _SharedDeployment.parts)


@behave.given("a deployment of the configuration matrix with entries that have {flags}")
def start_own(context, flags):
    cluster = support.get_cluster(context)
    given = () if flags == "no flags" else flags.split()
    parts = configuration_deployment.ConfigurationDeployment(cluster, given)
    parts.start()
    _begin_scenario(context, parts)


@behave.step("in the configuration matrix the log {fault}")
def set_fault(context, fault):
    context.parts.cluster.control("log", **_FAULTS[fault])


@behave.step("in the configuration matrix {names} are cut off")
def cut_off(context, names):
    for name in _split(names):
        context.parts.relays[name].cut()


@behave.step("in the configuration matrix {names} are connected again")
def heal(context, names):
    for name in _split(names):
        context.parts.relays[name].heal()


@behave.step("in the configuration matrix {names} are {action}")
def act_on_processes(context, names, action):
    actions = {
        "killed": context.parts.kill,
        "frozen": context.parts.freeze,
        "thawed": context.parts.cluster.thaw,
        "replaced": context.parts.restart,
    }
    context.parts.run_for_each(actions[action], _split(names))


@behave.step("{count:d} changes are accepted in the configuration matrix")
def append_changes(context, count):
    for _ in range(count):
        context.parts.append_change()


@behave.step("in the configuration matrix {names} have the newest change")
def await_newest(context, names):
    context.parts.await_change(context.parts.number, _split(names))


@behave.step("in the configuration matrix {names} still use the first change")
def check_first(context, names):
    for name in _split(names):
        assert context.parts.read_change_status(name, context.base + 1) == "in force", name


@behave.step("in the configuration matrix {names} answer every request with starting")
def check_starting(context, names):
    parts = context.parts
    for name in _split(names):
        support.wait_until(
            lambda name=name: parts.read_configuration(name)["peers"] >= len(parts.hosts),
            f"{name} has peers",
        )
    # A faulty entry would begin to serve an empty configuration one second after the first peer's
    # heartbeat, so the entries are polled for longer than that.
    for _ in range(_STARTING_CHECKS):
        for name in _split(names):
            assert parts.read_change_status(name, parts.number) == "starting", name
            ready = support.call("GET", f"{parts.cluster.url(name)}/readyz")
            assert ready.status == _HTTP_UNAVAILABLE, ready.body
        time.sleep(_CHECK_INTERVAL_SECONDS)


@behave.then("the configuration matrix has recovered, and no entry reverted to an older change")
def check_recovered(context):
    parts = context.parts
    parts.recover()
    parts.await_change(parts.number, _EVERYONE)
    for name, seen in parts.stop_watching().items():
        assert seen == sorted(set(seen)), f"{name} answered by {seen}"
        assert not seen or seen[-1] <= parts.number, seen
    folded, _ = parts.apply_stream()
    assert folded.find_in_force(configuration_deployment.CUSTOMER).offset == parts.offset
    _SharedDeployment.is_reusable = parts is _SharedDeployment.parts


def _start_publish(context, by, wait_ms=8000):
    context.parts.number += 1
    context.number = context.parts.number
    context.published = context.parts.start_publish(by, context.number, wait_ms)


def _end_publish(context, child, status, expected_text):
    output = child.stdout.read()
    code = child.wait(_COMMAND_SECONDS)
    child.stdout.close()
    assert (code, expected_text in output) == (status, True), (code, output)


def _record_accepted_offset(context, number):
    """Record the log offset of the one record that was accepted for a change."""
    parts = context.parts
    _, judged = parts.apply_stream()
    found = [
        item["offset"]
        for item, verdict in judged
        if verdict.decision is in_force.Decision.ACCEPTED
        and _list_operations(item["value"]) == [f"change-{number}"]
    ]
    assert len(found) == 1, found
    parts.offset = found[0]


def _list_operations(value):
    document = value.get("document") if isinstance(value, dict) else None
    return [item["name"] for item in document["operations"]] if document else []


@behave.when("ann publishes in the configuration matrix, within {wait_ms:d} ms, and ends {ending}")
def publish(context, wait_ms, ending):
    status, expected_text = ending.split(" ", 1)
    _start_publish(context, "ann", wait_ms)
    _end_publish(context, context.published, int(status), expected_text)


@behave.when("ann publishes the same again in the configuration matrix and it is accepted once")
def publish_again(context):
    child = context.parts.start_publish("ann", context.number)
    output = child.stdout.read()
    assert child.wait(_COMMAND_SECONDS) == 0, output
    child.stdout.close()
    _record_accepted_offset(context, context.number)


@behave.when("ann starts to publish in the configuration matrix and is paused before her append")
def publish_paused(context):
    context.parts.cluster.control("log", lose_before=10_000)
    _start_publish(context, "ann")
    support.wait_until(
        lambda: context.parts.cluster.read_control("log")["settings"]["lose_before"] < 10_000,
        "ann has read the current contract and tried to append",
    )
    context.published.send_signal(configuration_deployment.PAUSE)
    context.parts.cluster.control("log", lose_before=0)


@behave.when("bo publishes in the configuration matrix and wins")
def publish_rival(context):
    parts = context.parts
    parts.number += 1
    child = parts.start_publish("bo", parts.number)
    _end_publish(context, child, 0, "accepted at offset")
    _record_accepted_offset(context, parts.number)


@behave.then("ann goes on in the configuration matrix and ends {ending}")
def resume_publish(context, ending):
    status, expected_text = ending.split(" ", 1)
    context.published.send_signal(configuration_deployment.RESUME)
    _end_publish(context, context.published, int(status), expected_text)


@behave.then("ann's late change is void in the configuration matrix")
def check_late(context):
    def find_late():
        _, judged = context.parts.apply_stream()
        return [
            verdict
            for item, verdict in judged
            if _list_operations(item["value"]) == [f"change-{context.number}"]
        ]

    verdicts = support.wait_until(find_late, "ann's record has taken effect late")
    assert {item.decision for item in verdicts} == {in_force.Decision.VOID}, verdicts
    assert all("by bo is in force" in item.reason for item in verdicts), verdicts


@behave.when("the record {value} is written into the configuration matrix")
def write_record(context, value):
    context.parts.append(json.loads(value))


@behave.when("a snapshot {fault} is written into the configuration matrix")
def write_snapshot(context, fault):
    folded, _ = context.parts.apply_stream()
    snapshot = folded.create_snapshot()
    if fault == "that lacks contracts":
        snapshot["contracts"] = []
    else:
        snapshot["through"] += 1000
    context.parts.append(snapshot)


@behave.when("a document with two faults is published in the configuration matrix")
def publish_bad(context):
    parts = context.parts
    before = parts.read_stream(records.STREAM)
    document = {"customer": "matrix", "share_percent": 101, "retry_percent": -1, "operations": []}
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(document, file)
        file.flush()
        flags = ["--by", "ann", "--file", file.name, "--log_url", parts.cluster.url("log")]
        ended = parts.deployed.run_command("publish", *flags)
    assert ended.returncode == 1, ended.stdout
    assert "share_percent" in ended.stdout and "retry_percent" in ended.stdout, ended.stdout
    assert parts.read_stream(records.STREAM) == before


@behave.when("a writer of snapshots is paused in the configuration matrix")
def pause_writer(context):
    folded, _ = context.parts.apply_stream()
    context.old_snapshot = folded.create_snapshot()


@behave.when("the paused writer goes on in the configuration matrix")
def write_old_snapshot(context):
    context.parts.append(context.old_snapshot)


@behave.step("the log of the configuration matrix has a snapshot of the newest change")
def await_snapshot(context):
    def has_snapshot():
        folded, _ = context.parts.apply_stream()
        found = folded.snapshot_offset
        return found > context.parts.offset

    support.wait_until(has_snapshot, "a snapshot")


@behave.when("the log of the configuration matrix deletes the record of the newest change")
def delete_newest_record(context):
    parts = context.parts
    parts.append({"kind": "other"})
    parts.cluster.control("log", delete={records.STREAM: parts.offset + 1})
    first = parts.cluster.read_control("log")["first_offsets"][records.STREAM]
    assert first == parts.offset + 1, "the log did not delete up to the newest change"


@behave.then("show in the configuration matrix ends {ending}")
def show(context, ending):
    status, expected_text = ending.split(" ", 1)
    parts = context.parts
    flags = ["--log_url", parts.cluster.url("log"), "--customer", "matrix"]
    ended = parts.deployed.run_command("show", *flags)
    assert (ended.returncode, expected_text in ended.stdout) == (int(status), True), ended.stdout


@behave.then("show in the configuration matrix prints the newest change")
def show_newest(context):
    show(context, f"0 change-{context.parts.number}")


@behave.when("claims that {entry} has not read are deleted in the configuration matrix")
def delete_claims(context, entry):
    parts = context.parts
    parts.cluster.control("log", retention=2)
    url = f"{parts.cluster.url('log')}/streams/claims-0/records"
    for _ in range(5):
        assert support.call("POST", url, {"records": [{}]}).status == 200


@behave.then("{entry} reports in the configuration matrix that claims were deleted")
def check_deleted(context, entry):
    process = context.parts.cluster.find(entry)
    support.wait_until(
        lambda: "claims-deleted" in process.read_log() or "were deleted" in process.read_log(),
        f"{entry} reports it: {process.read_log()}",
    )


@behave.when("a sidecar that reports newer records but sends none joins the configuration matrix")
def join_false_offset_peer(context):
    served = link.LinkServer("127.0.0.1", 0, configuration_deployment.serve_false_offset, 8)
    threading.Thread(target=served.serve, daemon=True).start()
    context.add_cleanup(served.stop)
    host = {"name": "boast", "address": f"127.0.0.1:{served.port}", "failure_domain": "a"}
    context.parts.cluster.control("hosts", add=host | {"state": "live", "backend": "none"})
