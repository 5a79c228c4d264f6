"""Steps for batches whose partition is assigned to another process."""

import time

import behave

import batch_processes
from oleander_standins import recordlog


@behave.given("runners a and b with the engines {listed}, all partitions assigned to {owner}")
def start_two_runners(context, listed, owner):
    context.log_service = recordlog.MemoryRecordLog()
    _assign_partitions(context, owner)
    behaviours = dict(item.split("=") for item in listed.split())
    context.engines = batch_processes.FakeEngines(behaviours)
    context.clients = {name: context.log_service.create_client() for name in "ab"}
    context.processes = {
        name: batch_processes.RunnerProcess(client, context.engines, list(behaviours), name)
        for name, client in context.clients.items()
    }
    context.process = context.processes["a"]
    for process in context.processes.values():
        context.add_cleanup(process.stop)
    batch_processes.wait_until(
        2, lambda: all(p.journal.index.is_caught_up for p in context.processes.values()), str
    )


def _assign_partitions(context, name):
    for member in "ab":
        is_dealt = member == name
        context.log_service.dealt[member] = frozenset(range(64) if is_dealt else ())


@behave.when("all partitions are assigned to {name}")
def assign_partitions(context, name):
    _assign_partitions(context, name)


@behave.when("runner {name} ends without a hand-over")
def end_without_handover(context, name):
    context.processes[name].stop()
    other = "b" if name == "a" else "a"
    context.process = context.processes[other]


@behave.when("runner {name} is drained")
def drain(context, name):
    context.processes[name].runner.drain()


@behave.when("runner {name} leaves the group")
def leave_group(context, name):
    context.processes[name].owned.leave()


@behave.then("within {seconds:g} s the log has recorded that runner {name} left")
def check_left(context, seconds, name):
    left = context.log_service.left
    batch_processes.wait_until(seconds, lambda: name in left, lambda: left)


@behave.when("the log is {state} for runner {name}")
def break_log(context, state, name):
    context.clients[name].faults.is_down = state == "down"


@behave.when("after {seconds:g} s")
def wait_seconds(context, seconds):
    time.sleep(seconds)


@behave.then("each item was started once")
def check_attempts(context):
    assert context.engines.attempts == batch_processes.ITEMS, context.engines.attempts


@behave.step("within {seconds:g} s runner {name} runs {items:d} items")
def check_running(context, seconds, name, items):
    runner = context.processes[name].runner
    batch_processes.wait_until(seconds, lambda: runner.running == items, lambda: runner.running)


@behave.then("runner {name} still runs its {items:d} items")
def check_still_running(context, name, items):
    assert context.processes[name].runner.running == items, context.processes[name].runner.running


@behave.when("runner a has lost its partitions")
def wait_lost(context):
    owned = context.processes["a"].owned
    batch_processes.wait_until(2, lambda: not owned.partitions, lambda: owned.partitions)


@behave.when("runner b is restarted with all partitions")
def restart(context):
    context.processes["b"].stop()
    _assign_partitions(context, "b")
    engines = context.engines
    context.processes["b"] = batch_processes.RunnerProcess(
        context.clients["b"], engines, ["e1", "e2"], "b"
    )
    context.add_cleanup(context.processes["b"].stop)
