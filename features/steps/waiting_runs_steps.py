"""Steps for requests queued at a sidecar whose entry may have gone."""

import threading

import behave

import support
from oleander_admission import admission
from oleander_base import clock, tasks
from oleander_wire import link, messages
from oleanderdeal import executor, key_ledger, runners, sidecar_links

_HEARTBEAT_MS = 200
_BUDGET_MS = 20000
_STOP_SECONDS = 5.0
_SETTLE_SECONDS = 0.5
"""Wait before a check; a free slot starts a queued request at once, well within this time."""
_HELLO = messages.Hello(messages.PROTOCOL, "peer", "i1", "z", "token")
_BEAT = messages.Heartbeat("desk", 0, 0, 1, 0, -1, True, False, 0, 0)


class GatedRunner(runners.Runner):
    """Runs each request until the gate is opened."""

    def __init__(self):
        self.begun = []
        self.gate = threading.Event()

    def run(self, pending):
        self.begun.append(pending.run.request_id)
        self.gate.wait()
        return messages.Answer("", messages.Outcome.DONE, 200, "", 0, b"", 1)


class SlowRecords:
    """Blocks the thread that reads a link, as on a busy host."""

    def __init__(self):
        self.is_held = threading.Event()
        self.released = threading.Event()

    def handle(self, message, opened):
        self.is_held.set()
        self.released.wait()


def _ask(number):
    return messages.Run(
        f"r{number}", "t", "i1", "c", "op", "", "", 1, 0, -1, True, 1, 100, _BUDGET_MS, b"", None
    )


@behave.given("a sidecar whose only slot is busy with a request, and a second one that waits")
def start_sidecar(context):
    context.runner = GatedRunner()
    context.records = SlowRecords()
    group = tasks.TaskGroup("sidecar", 8)
    runs = executor.Executor(admission.AdmissionQueue(1, 8), context.runner, group, 1)
    links = sidecar_links.SidecarLinks(
        _HELLO,
        _HEARTBEAT_MS,
        lambda: _BEAT,
        runs,
        key_ledger.KeyLedger("i1", 8, 1024),
        context.records,
    )
    server = link.LinkServer("127.0.0.1", 0, links.serve, 4)
    runs.start()
    group.start(server.serve)

    def stop():
        context.runner.gate.set()
        context.records.released.set()
        links.stop()
        server.stop()
        group.stop()
        assert group.join(clock.start_deadline(_STOP_SECONDS))

    context.add_cleanup(stop)
    dialled = link.dial_link(f"127.0.0.1:{server.port}", clock.start_deadline(_STOP_SECONDS))
    context.link = dialled.ok
    context.link.send(_HELLO)
    context.link.send(_ask(1))
    support.wait_until(lambda: context.runner.begun, "the first request begins")
    context.link.send(_ask(2))


@behave.given("the sidecar is slow to read what else came over the link")
def hold_reader(context):
    context.link.send(messages.RecordsOffer(0))
    assert context.records.is_held.wait(_STOP_SECONDS)


@behave.when("the entry closes the link and the slot comes free")
def close_link(context):
    context.link.abort()
    context.runner.gate.set()


@behave.when("the entry keeps the link and the slot comes free")
def keep_link(context):
    context.runner.gate.set()


@behave.then("{count:d} requests have been begun")
def check_begun(context, count):
    threading.Event().wait(_SETTLE_SECONDS)
    assert len(context.runner.begun) == count, context.runner.begun
