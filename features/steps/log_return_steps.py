"""Steps for a follower and a writer of the platform's log after an outage."""

import time
import types

import behave
import expression

from oleander_base import tasks
from oleander_batches import content, submission
from oleander_platform import keyed_follower
from oleander_standins import recordlog
from oleanderdeal import result_writer

_TOPIC = "keyed.things"
_PAUSE_SECONDS = 0.05
_TICK_SECONDS = 0.02


class WaitingLog(recordlog.MemoryRecordLog):
    """Delays an answer without new records by the read's `wait_ms`, as the platform does."""

    def __init__(self):
        super().__init__()
        self.reads = 0

    def read(self, topic, partition, offset, wait_ms, deadline):
        self.reads += 1
        page = super().read(topic, partition, offset, wait_ms, deadline)
        if page.is_ok() and not page.ok.records:
            time.sleep(wait_ms / 1000)
        return page


class CurrentSink(keyed_follower.KeyedSink):
    """Records when the topic was last read to its end."""

    def __init__(self):
        self.current_at = 0.0

    def put(self, key, value):
        pass

    def delete(self, key):
        pass

    def retain_only(self, keys):
        pass

    def mark_current(self):
        self.current_at = time.monotonic()


def _await_current(sink, since, seconds):
    until = time.monotonic() + seconds
    while sink.current_at < since:
        assert time.monotonic() < until, f"not current within {seconds} s"
        time.sleep(_TICK_SECONDS)


@behave.given("a follower of a keyed topic that has read it to its end")
def start_follower(context):
    context.log_service = WaitingLog()
    context.sink = CurrentSink()
    group = tasks.TaskGroup("test", 4)
    follower = keyed_follower.KeyedFollower(
        context.log_service, _TOPIC, context.sink, group, _PAUSE_SECONDS
    )
    context.add_cleanup(group.stop)
    began_at = time.monotonic()
    group.supervise(follower.follow)
    _await_current(context.sink, began_at, 2.0)


@behave.when("the log {fails} for {seconds:g} s")
def fail(context, fails, seconds):
    fault = "is_down" if fails == "refuses" else "is_silent"
    setattr(context.log_service.faults, fault, True)
    time.sleep(seconds + 1.2)
    setattr(context.log_service.faults, fault, False)


@behave.then("within {seconds:g} s of its return the follower knows that it is current")
def check_current(context, seconds):
    _await_current(context.sink, time.monotonic(), seconds)


@behave.then("while nothing changes it asks no more than {most:d} times in {seconds:d} s")
def check_reads(context, most, seconds):
    before = context.log_service.reads
    time.sleep(seconds)
    assert context.log_service.reads - before <= most, context.log_service.reads - before


class ReturningJournal:
    """A journal that refuses results until a given moment of simulated time."""

    def __init__(self, returns_at):
        self.now = 0.0
        self.returns_at = returns_at
        self.tries = 0
        self.is_stopping = False
        batch = types.SimpleNamespace(finished_items=set())
        self.index = types.SimpleNamespace(find=lambda batch_id: batch)

    def append_results(self, batch_id, results):
        self.tries += 1
        if self.now < self.returns_at:
            return expression.Error(content.JournalFailure("refused", False))
        self.is_stopping = True
        return expression.Ok(None)

    def pause(self, seconds):
        self.now += seconds


@behave.given("a writer of results whose log refuses for {seconds:f} s")
def create_writer(context, seconds):
    context.returning = ReturningJournal(seconds)
    context.writer = result_writer.ResultWriter(context.returning, context.returning)


@behave.when("a result is generated meanwhile")
def write_result(context):
    done = submission.ResultState.DONE
    context.writer.add("batch", 0, submission.ItemResult("item", done, "text", (1,), "score"))
    context.writer.write()


@behave.then(
    "it is written within {seconds:f} s of the log's return, after at most {tries:d} tries"
)
def check_written(context, seconds, tries):
    returning = context.returning
    assert returning.now - returning.returns_at <= seconds, returning.now
    assert returning.tries <= tries, returning.tries
