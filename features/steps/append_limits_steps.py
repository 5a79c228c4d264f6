"""Steps for appends within the limits of the platform's log."""

import json

import behave
import cbor2

import ending_server
from oleander_adapter import store
from oleander_base import clock, tasks
from oleander_batches import content, index_reader, journal, records, submission
from oleander_platform import append_limits
from oleander_standins import recordlog

_SECONDS = 2.0
_BATCH = "batch"


class InterruptedLog(recordlog.MemoryRecordLog):
    """Another client appends a record to the same partition before each append to the content."""

    reads = 0

    def append(self, topic, partition, added, deadline):
        if topic == content.CONTENT_TOPIC:
            super().append(topic, partition, [b"of another"], deadline)
        return super().append(topic, partition, added, deadline)

    def read(self, topic, *arguments):
        self.reads += topic == content.CONTENT_TOPIC
        return super().read(topic, *arguments)


def _read_sizes(text):
    return [] if text == "none" else [int(word) for word in text.split()]


def _build_text(size):
    """Return a text in which each part is different, so that a wrong order shows."""
    return "".join(f"{number}." for number in range(size))[:size]


@behave.given("a log that accepts records of {record:d} bytes and appends of {call:d}")
def create_log(context, record, call):
    context.limits = append_limits.AppendLimits(record, call)
    context.log_service = InterruptedLog(limits=context.limits)


@behave.when("records of {sizes} bytes are divided")
def divide(context, sizes):
    context.sizes = _read_sizes(sizes)
    context.calls = context.limits.divide(context.sizes)


@behave.then("the appends have {calls}")
def check_calls(context, calls):
    seen = ["+".join(str(context.sizes[index]) for index in call) for call in context.calls]
    assert (" ".join(seen) or "none") == calls, seen


@behave.given("two entries on this log and a batch of {items:d} items")
def create_entries(context, items):
    group = tasks.TaskGroup("limits", 1)
    clients = [context.log_service, context.log_service]
    context.journals = [journal.BatchJournal(client, group, 1, 100.0) for client in clients]
    listed = tuple(
        submission.Item(str(number), "/", (), b"", 9, "g", None) for number in range(items)
    )
    submitted = submission.Submission(_BATCH, "h", "/", 0, "m", 1, 1, listed)
    assert context.journals[0].accept(submitted, clock.start_deadline(_SECONDS)).is_ok()


def _find_batch(kept):
    assert kept.index.refresh(clock.read_now(), clock.start_deadline(_SECONDS))
    return kept.index.find(_BATCH)


@behave.when("entry a appends {kind} of {sizes} bytes while entry b appends others")
def append_contents(context, kind, sizes):
    texts = [_build_text(size) for size in _read_sizes(sizes)]
    kept = context.journals[0]
    if kind == "results":
        state = submission.ResultState.DONE
        context.written = [
            submission.ItemResult(str(number), state, text, (1,), "s")
            for number, text in enumerate(texts)
        ]
        appended = kept.append_results(_BATCH, list(enumerate(context.written)))
    else:
        context.written = [
            submission.PartialText(number, text, 2, ((1, 2),)) for number, text in enumerate(texts)
        ]
        appended = kept.append_partials(_BATCH, context.written)
    assert appended.is_ok(), appended


@behave.then("entry b reads these {kind} within {reads:d} reads of the log")
def check_contents(context, kind, reads):
    kept = context.journals[1]
    batch = _find_batch(kept)
    context.log_service.reads = 0
    deadline = clock.start_deadline(_SECONDS)
    seen = []
    if kind == "partial texts":
        seen = kept.read_partials(batch, deadline)
    while len(seen) < len(context.written):
        page = kept.read_results(batch, len(seen), deadline)
        assert page.is_ok(), page
        seen += page.ok.results
    assert seen == context.written, seen
    assert context.log_service.reads <= reads, context.log_service.reads


@behave.when("another writer lists the content {text} as the result of item 0")
def list_foreign(context, text):
    deadline = clock.start_deadline(_SECONDS)
    added = [cbor2.dumps(json.loads(text))]
    appended = context.log_service.append(content.CONTENT_TOPIC, 0, added, deadline)
    finished = records.encode_record(records.Finished(_BATCH, 0, appended.ok.first_offset))
    assert context.log_service.append(index_reader.TOPIC, 0, [finished], deadline).is_ok()


@behave.then("entry a can't read the result")
def check_unreadable(context):
    kept = context.journals[0]
    read = kept.read_results(_find_batch(kept), 0, clock.start_deadline(_SECONDS))
    assert read.is_error(), read


@behave.given("a store whose client is told {limits} and that answers an append with {status}")
def create_store(context, limits, status):
    context.ending = ending_server.EndingServer(f"breaks off, then {status}", b"log-append")
    context.add_cleanup(context.ending.stop)
    context.ending.runs = 1
    told = append_limits.AppendLimits(*map(int, limits.split("/")))
    context.client = store.StoreRecordLog(context.ending.address, told)


@behave.when("a record of {size:d} bytes is appended there")
def append_record(context, size):
    deadline = clock.start_deadline(_SECONDS)
    context.appended = context.client.append("t", 0, [b"r" * size], deadline)


@behave.then("the append {outcome} after {sends:d} sends")
def check_append(context, outcome, sends):
    error = context.appended.error
    assert context.ending.runs - 1 == sends, context.ending.runs
    assert ("fails for good" if error.is_final else "fails for now") == outcome, error


@behave.when(
    "entry a announces {batches:d} batches and the log goes down after {appends:d} appends"
)
def announce_until_down(context, batches, appends):
    service = context.log_service
    append = service.append
    service.append = lambda *arguments: _append_until(service, append, arguments, appends)
    service.appends = 0
    context.written = context.journals[0].record_runner([str(n) for n in range(batches)], "a")


def _append_until(service, append, arguments, appends):
    service.faults.is_down = service.appends >= appends
    return append(*arguments)


@behave.then("the announcement is reported as {outcome}")
def check_announcement(context, outcome):
    seen = "doubtful" if context.written.error.may_have_effect else "no effect"
    assert seen == outcome, context.written
