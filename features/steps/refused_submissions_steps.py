"""Steps for submissions and ends of batches that fail while they may have an effect."""

import json

import behave

import batch_log
import ending_server
from oleander_adapter import api_handler, http_names, store
from oleander_base import clock, log, tasks
from oleander_batches import journal
from oleander_direct import directory, organisations, routes
from oleander_routing import router
from oleanderdeal import batch_api, direct_entry, http_messages, route_lookup

_SECONDS = 0.5
_PROBE_SECONDS = 0.05
_SHORT_SECONDS = 0.15
"""Time for one attempt to submit, too short for the journal to repeat its append."""
_NEW_BATCH = "next"
_HOST, _PATH = "h", "/batches/1"
_STORED = json.dumps({"offset": 0, "end": 1}).encode()


def _submit(context, name="a"):
    submitted = batch_log.build_submission(batch_id=_NEW_BATCH)
    return context.entries[name].accept(submitted, clock.start_deadline(_SECONDS))


def _create_entries(context):
    journals = context.shared.journals
    context.entries = {name: batch_api.BatchApi(kept) for name, kept in journals.items()}


def _describe(answer):
    return "accepted" if answer.is_ok() else answer.error.fault.value


def _start_fault(client, fault):
    """Inject a fault into the client's calls until `_end_faults`."""
    if fault == "down":
        client.faults.is_down = True
    elif fault == "lose the content":
        client.faults.lost_calls = 1
    elif fault != "nothing":
        kind = "late_appends" if fault.startswith("delay") else "lost_answers"
        batch_log.fail_index(client, kind, 1000)


def _end_faults(client):
    client.faults.is_down = False
    vars(client).pop("append", None)


@behave.step("the first attempt to submit a batch at entry a meets the log fault: {fault}")
def submit_first(context, fault):
    _create_entries(context)
    client = context.shared.clients["a"]
    _start_fault(client, fault)
    context.call = lambda: _submit(context)
    context.call()
    _end_faults(client)


@behave.step("the first attempt to end the batch at entry a meets the log fault: {fault}")
def end_first(context, fault):
    _create_entries(context)
    client = context.shared.clients["a"]
    _start_fault(client, fault)
    context.call = lambda: context.entries["a"].end("batch", "")
    context.call()
    _end_faults(client)


@behave.when("the batch is {call} again at entry a while {state}")
def repeat_call(context, call, state):
    client = context.shared.clients["a"]
    kept = context.shared.journals["a"]
    if state == "the log is down":
        client.faults.is_down = True
    elif state == "entry a knows it is cut off":
        client.faults.is_silent = True
        assert not kept.index.refresh(clock.read_now(), clock.start_deadline(_PROBE_SECONDS))
    else:
        context.shared.refresh()
        client.faults.is_down = True
    context.answer = context.call()


@behave.then("the second attempt is {outcome}")
def check_second(context, outcome):
    assert _describe(context.answer) == outcome, context.answer


@behave.when("an attempt at entry a fails while another attempt {other}")
def fail_beside(context, other):
    _create_entries(context)
    client = context.shared.clients["a"]
    append = client.append

    def append_beside(*arguments):
        client.append = append
        if other.startswith("is in progress"):
            client.faults.is_down = True
            context.answer = _submit(context)
            client.faults.is_down = False
            return append(*arguments)
        context.shared.clients["b"].faults.is_down = other.startswith("is refused")
        _submit(context, "b")
        context.shared.journals["a"].index.refresh(clock.read_now(), clock.start_deadline(1.0))
        client.faults.is_down = True
        return append(*arguments)

    client.append = append_beside
    attempted = _submit(context)
    if not other.startswith("is in progress"):
        context.answer = attempted


@behave.then("the failed attempt is {outcome}")
def check_failed(context, outcome):
    assert _describe(context.answer) == outcome, context.answer


@behave.when("the batch is {call} again at entry a, which has {missing}")
def repeat_at_stale_entry(context, call, missing):
    known = directory.Directory(router.Router(1), None)
    if missing == "an old key list":
        known.update_table(_build_table())
    components = direct_entry.ApiComponents(
        route_lookup.RouteLookup(known, lambda: True), None, context.entries["a"], lambda: True
    )
    method, target = ("POST", _PATH) if call == "submitted" else ("DELETE", "/api/lots/batch")
    headers = {"host": _HOST, http_names.REQUEST_ID.lower(): _NEW_BATCH}
    request = http_messages.HttpRequest(method, target, (), headers, b"", lambda: False)
    context.answer = api_handler.ApiHandler(components).handle(request)


def _build_table():
    share = (routes.Share("desk", 1),)
    kind = routes.RouteKind.BATCH
    route = routes.Route("items", _HOST, "/batches/", kind, 1, 1, 0, share, 1, False, False, 0, 0)
    keys = organisations.KeyRing([organisations.Organisation("o", ("key",), None)])
    backends = (routes.Backend("desk", (), 1),)
    return routes.RouteTable(1, (route,), backends, routes.Limits(1, 1, 1), keys)


@behave.then("the answer has the status {status:d}")
def check_status(context, status):
    assert context.answer.status == status, context.answer


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
