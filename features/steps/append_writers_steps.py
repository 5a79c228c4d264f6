"""Steps for the writers of usage counts and crash records to a log with limits."""

import collections

import behave

from oleander_base import clock, identifiers, tasks
from oleander_duties import usage, usage_records, usage_totals
from oleander_quarantine import ledger, records
from oleanderdeal import crash_records, usage_reporter

_SECONDS = 2.0
_WINDOW_MS = 1000
_TOPIC = "keyed.crashes"


@behave.given("a process that counts usage for it")
def create_counter(context):
    context.now_ms = 0
    context.counter = usage.UsageCounter(_WINDOW_MS, lambda: context.now_ms)
    settings = usage_reporter.UsageSettings(_WINDOW_MS, 10_000, "process")
    context.reporter = usage_reporter.UsageReporter(
        settings, context.log_service, None, None, context.counter, None, None
    )


@behave.when(
    "requests of {count:d} organisations with names of {size:d} characters "
    "start in {windows:d} windows"
)
def count_requests(context, count, size, windows):
    context.expected = collections.Counter()
    for window in range(windows):
        context.now_ms = window * _WINDOW_MS
        for number in range(count):
            name = f"{number:0{size}d}"
            context.counter.add(name)
            context.expected[window, name] += 1


@behave.then(
    "all of them but {dropped:d} are counted from the log, "
    "after {lost:d} of whose appends no answer came"
)
def check_counted(context, dropped, lost):
    context.log_service.faults.lost_answers = lost
    deadline = clock.start_deadline(_SECONDS)
    while not context.reporter.flush():
        assert not deadline.is_past, "the counts are not appended"
    totals = usage_totals.UsageTotals()
    for record in _read_all(context, usage_reporter.USAGE_TOPIC):
        decoded = usage_records.decode_record(record.content)
        if decoded.is_ok():
            totals.apply(decoded.ok)
    seen = collections.Counter()
    for window, _ in context.expected:
        for name, count in totals.sum_window(window).items():
            seen[window, name] = count
    missing = context.expected - seen
    assert not seen - context.expected and missing.total() == dropped, missing.total()


def _read_all(context, topic):
    found = []
    while True:
        deadline = clock.start_deadline(_SECONDS)
        page = context.log_service.read(topic, 0, len(found), 0, deadline).ok
        found += page.records
        if len(found) >= page.end_offset:
            return found


@behave.given("a process that records crashes in it")
def create_writer(context):
    group = tasks.TaskGroup("crashes", 1)
    crashes = ledger.CrashLedger(identifiers.hash_text("host"))
    context.writer = crash_records.CrashWriter(crashes, context.log_service, _TOPIC, group)


@behave.when("crashes of servers with names of {sizes} bytes are recorded")
def record_crashes(context, sizes):
    for number, size in enumerate(sizes.split()):
        name = "s" * int(size)
        context.writer.publish(records.create_crash(f"request-{number}", name, True))


@behave.then("the log holds those of {sizes} bytes after {calls:d} calls")
def check_crashes(context, sizes, calls):
    for _ in range(calls):
        assert context.writer.append_pending()
    newest = context.log_service.read_newest(_TOPIC, clock.start_deadline(_SECONDS)).ok[0]
    decoded = [
        records.decode_key(item.key).bind(
            lambda key, value=item.value: records.decode_crash(key, value)
        )
        for item in sorted(newest, key=lambda item: item.offset)
    ]
    seen = " ".join(str(len(crash.ok.incarnation)) for crash in decoded)
    assert (seen or "none") == sizes, seen
