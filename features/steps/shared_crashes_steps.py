"""Steps for crashes that the entries share through the log."""

import threading

import behave

import crash_fakes
import front_platform
import server_fakes
from oleander_base import clock, tasks
from oleander_direct import crash_guard, directory
from oleander_platform import keyed_follower, recordlog
from oleander_quarantine import ledger
from oleander_routing import router
from oleander_standins import recordlog as memory_log
from oleanderdeal import crash_records

_DEADLINE_SECONDS = 2.0


class Entry:
    """What an entry has for crashes, on its own client of the log."""

    def __init__(self, context, shared, name):
        self.log = shared.create_client()
        self.crashes = ledger.CrashLedger(crash_fakes.SEED)
        self.group = tasks.TaskGroup(name, 4)
        known = directory.Directory(router.Router(7), server_fakes.UnusedCaller())
        for server in "AB":
            known.update_server(crash_fakes.describe_server(server))
        topic = crash_records.TOPIC
        writer = crash_records.CrashWriter(self.crashes, self.log, topic, self.group)
        sink = crash_records.CrashSink(self.crashes)
        follower = keyed_follower.KeyedFollower(self.log, topic, sink, self.group, 0.01)
        self._guard = crash_guard.CrashGuard(known, self.crashes, writer)
        self.group.supervise(writer.write)
        self.group.supervise(follower.follow)
        context.add_cleanup(self.stop)

    def stop(self):
        self.group.stop()
        self.group.join(clock.start_deadline(_DEADLINE_SECONDS))

    def finish(self, server, has_crashed):
        watch = self._guard.begin(crash_fakes.REQUEST, crash_fakes.describe_server(server))
        ends = crash_guard.AttemptEnd
        self._guard.finish(watch, ends.SERVER_ENDED if has_crashed else ends.ANSWERED)

    def keeps_back(self):
        return self.crashes.find_quarantine(crash_fakes.FINGERPRINT) is not None


@behave.given("two entries on one log that is {state}")
def create_entries(context, state):
    context.shared = memory_log.MemoryRecordLog()
    context.entries = {name: Entry(context, context.shared, name) for name in ("first", "second")}
    if state != "there":
        for entry in context.entries.values():
            entry.log.faults.is_down = True
    if state == "away for a time":
        timer = threading.Timer(0.5, _heal, (list(context.entries.values()),))
        timer.start()


def _heal(entries):
    for entry in entries:
        entry.log.faults.is_down = False


@behave.when(
    "server A ends while running a request of the first entry, and server B of the {name}"
)
def end_two(context, name):
    context.entries["first"].finish("A", True)
    context.entries[name].finish("B", True)


@behave.then("the request is quarantined at {who} within {seconds:d} s")
def check_kept(context, who, seconds):
    names = {"both": ("first", "second"), "the first": ("first",)}.get(who)
    if names is None:
        front_platform.wait_until(context.entries["second"].keeps_back, lambda: "not kept")
        names = ("third",)
        context.entries["third"] = Entry(context, context.shared, "third")
    deadline = clock.start_deadline(seconds)
    waiting = threading.Event()
    while not all(context.entries[name].keeps_back() for name in names):
        assert not deadline.is_past, {n: e.keeps_back() for n, e in context.entries.items()}
        waiting.wait(0.02)


@behave.when(
    "server A ends while running a request of the first entry,"
    " and server B answers it at the second"
)
def end_and_answer(context):
    context.entries["first"].finish("A", True)
    second = context.entries["second"]
    front_platform.wait_until(
        lambda: second.crashes.is_suspect(crash_fakes.FINGERPRINT), lambda: "not heard"
    )
    second.finish("B", False)


@behave.then("no entry suspects the request, and the log holds no crash")
def check_cleared(context):
    def is_cleared():
        newest = context.shared.read_newest(
            crash_records.TOPIC, clock.start_deadline(_DEADLINE_SECONDS)
        )
        known = [
            entry.crashes.is_suspect(crash_fakes.FINGERPRINT) for entry in context.entries.values()
        ]
        return not any(known) and not newest.ok[0]

    front_platform.wait_until(is_cleared, lambda: "a crash is left")


@behave.then("a record of a crash with key {key} and value {value} changes nothing")
def check_unreadable(context, key, value):
    crashes = ledger.CrashLedger(crash_fakes.SEED)
    sink = crash_records.CrashSink(crashes)
    read = recordlog.decode_keyed(
        recordlog.RawRecord(0, recordlog.encode_keyed(key, bytes.fromhex(value)))
    )
    sink.put(read.key, read.value)
    assert crashes.is_empty
