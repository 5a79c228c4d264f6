"""Steps for submissions and ends of batches that fail while they may have an effect."""

import json

import behave

import batch_log
import ending_server
from oleander_adapter import store
from oleander_base import clock, log, tasks
from oleander_batches import journal
from oleanderdeal import batch_api

_SHORT_SECONDS = 0.15
"""Time for one attempt to submit, too short for the journal to repeat its append."""
_STORED = json.dumps({"offset": 0, "end": 1}).encode()


@behave.given("a store that {does} when it reads an append to the index on a kept connection")
def create_store(context, does):
    answers = does.startswith("answers ")
    fault = f"breaks off, then {does.removeprefix('answers ')}" if answers else does
    context.ending = ending_server.EndingServer(fault, b"oleander.index")
    context.ending.content = _STORED
    context.ending.runs = int(answers)
    context.add_cleanup(context.ending.stop)


@behave.when("a trainer submits a batch to an entry of that store")
def submit_to_store(context):
    record_log = store.StoreRecordLog(context.ending.address)
    group = tasks.TaskGroup("refused", 1)
    api = batch_api.BatchApi(journal.BatchJournal(record_log, group, 4, 100.0))
    lines = []
    sink = log.logger.add(lambda message: lines.append(message.record["extra"]), level="INFO")
    try:
        api.accept(batch_log.build_submission(), clock.start_deadline(_SHORT_SECONDS))
    finally:
        log.logger.remove(sink)
    (context.line,) = [line for line in lines if line.get("event") == "batch-submitted"]


@behave.then("the log line of the submission says {outcome} after {sends:d} sends: {answers}")
def check_line(context, outcome, sends, answers):
    line = context.line
    assert (line["outcome"], line["sends"], line["topic"]) == (outcome, sends, "oleander.index"), (
        line
    )
    logged = [item.partition(":")[0] for item in line["answers"].split("; ")]
    assert "; ".join(logged) == answers, line
