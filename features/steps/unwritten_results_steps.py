"""Steps for results that the log has not accepted yet."""

import threading

import behave
import expression

import batch_processes
from oleander_base import clock, tasks
from oleander_batches import content, journal, result_queue, submission
from oleander_platform import append_limits, recordlog
from oleander_standins import recordlog as standin
from oleanderdeal import result_writer

_SECONDS = 2.0
_DONE = submission.ResultState.DONE


def _read_words(text):
    """Return (batch, number, size) for each word like a0=10."""
    words = [word.partition("=") for word in text.split()]
    return [(name[0], int(name[1:]), int(size)) for name, _, size in words]


def _build_result(number, size):
    return submission.ItemResult(str(number), _DONE, "x" * size, (1,), "s")


def _name(item):
    return f"{item.batch_id}{item.number}"


@behave.given("results of {sizes} bytes that wait to be written")
def fill_queue(context, sizes):
    context.queue = result_queue.ResultQueue()
    for batch_id, number, size in _read_words(sizes):
        surplus = len(submission.encode_result(_build_result(number, size))) - size
        context.queue.add(batch_id, number, _build_result(number, size - surplus))


@behave.when(
    "up to {count:d} results of {size:d} bytes are taken until none is left, "
    "and {failing} fails once"
)
def take_all(context, count, size, failing):
    queue = context.queue
    context.taken = []
    failed = failing == "nothing"
    while queue.count:
        taken = queue.take(count, size)
        context.taken.append("+".join(map(_name, taken)))
        names = {_name(item) for item in taken}
        assert not queue.is_idle
        fails = not failed and failing in names
        queue.settle(taken if fails else [])
        failed = failed or fails
    assert queue.is_idle and not queue.size


@behave.then("they are taken as {taken}")
def check_taken(context, taken):
    assert " ".join(context.taken) == taken, context.taken


@behave.given(
    "a writer on a log that accepts {record:d} bytes in a record, and {call:d} in a call"
)
def choose_limits(context, record, call):
    context.accepted_limits = append_limits.AppendLimits(record, call)


@behave.given("the log is told to be able to take {told}")
def create_writer(context, told):
    limits = append_limits.AppendLimits(*map(int, told.split("/")))
    context.log_service = standin.MemoryRecordLog(limits=limits)
    context.group = tasks.TaskGroup("writer", 1)
    context.journal = journal.BatchJournal(context.log_service, context.group, 1, 100.0)
    context.writer = result_writer.ResultWriter(context.journal, context.group)


def _accept_batches(context, names, count):
    for name in names:
        items = tuple(
            submission.Item(str(number), "/", (), b"", 9, "g", None) for number in range(count)
        )
        submitted = submission.Submission(name, "h", "/", 0, "m", 1, 1, items)
        assert context.journal.accept(submitted, clock.start_deadline(_SECONDS)).is_ok()
    _refresh(context)
    context.log_service.accepted_limits = context.accepted_limits


def _refresh(context):
    assert context.journal.index.refresh(clock.read_now(), clock.start_deadline(_SECONDS))


def _write_all(context):
    """Let the writer work until it is idle; a writer that never ends fails at the deadline."""
    deadline = clock.start_deadline(_SECONDS)
    while not context.writer.is_idle:
        assert not deadline.is_past, "the results are not written"
        context.writer.write_next()
    _refresh(context)


@behave.when("results of {sizes} characters are written")
def write_sizes(context, sizes):
    words = _read_words(sizes)
    _accept_batches(context, sorted({name for name, _, _ in words}), 8)
    for name, number, size in words:
        context.writer.add(name, number, _build_result(number, size))
    _write_all(context)


def _list_results(context, name):
    batch = context.journal.index.find(name)
    seen = []
    while len(seen) < len(batch.result_locations):
        page = context.journal.read_results(batch, len(seen), clock.start_deadline(_SECONDS))
        assert page.is_ok(), page
        seen += page.ok.results
    return seen


@behave.then("their batches list {listed}")
def check_listed(context, listed):
    names = sorted({word[0] for word in listed.split()})
    seen = [
        f"{name}{result.item_id}={result.state.value}"
        for name in names
        for result in _list_results(context, name)
    ]
    assert sorted(seen) == listed.split(), seen


@behave.when(
    "{count:d} results of {size:d} characters are written, "
    "of which none could be while the log was down"
)
def write_after_outage(context, count, size):
    _accept_batches(context, "a", count)
    context.log_service.faults.is_down = True
    for number in range(count):
        context.writer.add("a", number, _build_result(number, size))
        assert not context.writer.write_next()
    context.log_service.faults.is_down = False
    context.log_service.appends = 0
    _write_all(context)


@behave.then("all of them are listed within {appends:d} appends")
def check_all_listed(context, appends):
    seen = _list_results(context, "a")
    assert len(seen) == context.journal.index.find("a").total, len(seen)
    assert all(result.state is _DONE for result in seen), seen
    assert context.log_service.appends <= appends, context.log_service.appends


@behave.given("the log accepts no content but submissions")
def refuse_results(context):
    service = context.log_service
    original = service.append
    context.refused = threading.Semaphore(0)
    accepted = []

    def append(topic, partition, added, deadline):
        if topic == content.CONTENT_TOPIC and accepted:
            context.refused.release()
            return expression.Error(recordlog.LogError("refused", False, 0))
        if topic == content.CONTENT_TOPIC:
            accepted.append(added)
        return original(topic, partition, added, deadline)

    service.append = append


@behave.when("each item has been sent {times:d} times to an engine")
def wait_sent(context, times):
    asked = context.engines.asked
    batch_processes.wait_until(
        10,
        lambda: len(asked) == batch_processes.ITEMS and min(asked.values()) >= times,
        lambda: dict(asked),
    )


@behave.when("its results have been refused {times:d} times by the log")
def wait_refused(context, times):
    for _ in range(times):
        assert context.refused.acquire(timeout=10.0), "the writer tries no more"


@behave.when("nothing else happens")
def do_nothing(context):
    pass


@behave.when("another process takes the batch and hands it back")
def hand_back(context):
    kept = context.process.journal
    for runner in ("another", ""):
        assert kept.record_runner(["batch"], runner).is_ok()
        batch_processes.wait_until(
            10, lambda name=runner: kept.index.find("batch").runner == name, lambda: "unread"
        )
        batch_processes.wait_until(
            10,
            lambda name=runner: bool(context.process.runner._runs) == (name == ""),
            lambda: context.process.runner._runs,
        )


@behave.then("each item was still sent only {times:d} times")
def check_asked(context, times):
    asked = context.engines.asked
    assert set(asked.values()) == {times}, asked
