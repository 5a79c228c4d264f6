"""Steps for batches that several entries share in one log."""

import threading
import time

import behave

import batch_log
from oleander_base import clock
from oleander_batches import content, index_reader, submission
from oleander_platform import append_limits
from oleanderdeal import batch_api

_SECONDS = 0.5
_FOLLOW_SECONDS = 2.0
_SIZES = {"": 4, "400 kB": 133_000, "2 MB": 667_000, "6 MB": 2_000_000, "36 MB": 12_000_000}
"""Bytes in the body of each of the three items, by the total size that a row names."""
_FAULTS = {
    "nothing": {},
    "down": {"is_down": True},
    "lose the content": {"lost_calls": 1},
}


@behave.given("two entries on one log")
def create_entries(context):
    context.shared = batch_log.SharedLog()


@behave.given("two entries on one log and a batch of {items:d} items")
def create_batch(context, items):
    context.shared = batch_log.SharedLog()
    accepted = context.shared.journals["a"].accept(
        batch_log.build_submission(items), clock.start_deadline(_SECONDS)
    )
    assert accepted.is_ok()
    context.shared.refresh()


@behave.step("the entries write {writes}")
def write_results(context, writes):
    for word in writes.split():
        context.shared.write(word)


@behave.step("entry b writes {second} while entry a, which has stored its text, writes {first}")
def write_overtaken(context, second, first):
    client = context.shared.clients["a"]
    append = client.append

    def append_late(topic, *arguments):
        if topic == index_reader.TOPIC:
            client.append = append
            context.shared.write(f"b:{second}", is_read=False)
        return append(topic, *arguments)

    client.append = append_late
    context.shared.write(f"a:{first}")


@behave.then("a single page of both entries lists {listed}")
def check_page(context, listed):
    for name, kept in context.shared.journals.items():
        deadline = clock.start_deadline(_SECONDS)
        page = kept.read_results(context.shared.find(name), 0, deadline).ok
        texts = [f"{item.item_id.removeprefix('item-')}={item.text}" for item in page.results]
        assert " ".join(texts) == listed, (name, texts)


@behave.then("both entries list {listed}")
def check_listed(context, listed):
    for name, kept in context.shared.journals.items():
        batch = context.shared.find(name)
        texts = []
        while len(texts) < len(batch.result_locations):
            read = kept.read_results(batch, len(texts), clock.start_deadline(_SECONDS))
            assert read.is_ok(), read.error
            texts += [f"{r.item_id.removeprefix('item-')}={r.text}" for r in read.ok.results]
        assert " ".join(texts) == listed, (name, texts)


@behave.when("entry {name} accepts a batch with the log fault: {fault}")
def accept_batch(context, name, fault):
    client = context.shared.clients[name]
    fault, _, size = fault.partition(", for ")
    context.submitted = batch_log.build_submission(body=b"b" * _SIZES[size])
    if fault in _FAULTS:
        for field, value in _FAULTS[fault].items():
            setattr(client.faults, field, value)
    elif fault.endswith("then reject it"):
        batch_log.fail_index(client, "lost_answers", 1)
        _lower_limits(client)
    elif fault.startswith("lose call"):
        number = int(fault.split()[2])
        batch_log.fail_appends(client, content.CONTENT_TOPIC, "lost_calls", 1, number - 1)
    else:
        kind = "late_appends" if fault.startswith("delay") else "lost_answers"
        batch_log.fail_index(client, kind, 1000)
    api = batch_api.BatchApi(context.shared.journals[name])
    context.accepted = api.accept(context.submitted, clock.start_deadline(_SECONDS))


def _lower_limits(client):
    """Lower the limits that the log enforces once it has lost an answer."""
    original = client.append

    def append(topic, *arguments):
        appended = original(topic, *arguments)
        if topic == index_reader.TOPIC:
            client.accepted_limits = append_limits.AppendLimits(1, 1)
        return appended

    client.append = append


@behave.then("the acceptance of entry {name} is {outcome}")
def check_outcome(context, name, outcome):
    accepted = context.accepted
    seen = "accepted" if accepted.is_ok() else accepted.error.fault.value
    assert seen == outcome, accepted


@behave.then("entry {name} finds the batch: {found}")
def check_found(context, name, found):
    for client in context.shared.clients.values():
        client.faults.is_down = False
    context.shared.refresh()
    assert (context.shared.find(name) is not None) == (found == "yes")


@behave.when("the log is {state} for entry {name}")
def set_log(context, state, name):
    context.shared.clients[name].faults.is_down = state == "down"


@behave.then("asking entry {name} for the {which} batch gives {answer}")
def check_answer(context, name, which, answer):
    api = batch_api.BatchApi(context.shared.journals[name])
    batch_id = "batch" if which == "accepted" else which
    listed = api.list_results(batch_id, "", 0, clock.start_deadline(0.05))
    seen = "listed" if listed.is_ok() else listed.error.fault.value
    assert seen == answer, listed


@behave.then("the batch is open for neither entry")
def check_closed(context):
    for kept in context.shared.journals.values():
        assert not kept.index.list_open()


@behave.when(
    'entry {name} appends the partial text "{text}" of item {number:d} with {events:d} events'
)
def append_partial(context, name, text, number, events):
    partial = submission.PartialText(number, text, events, ((1, events),))
    assert context.shared.journals[name].append_partials("batch", [partial]).is_ok()


@behave.then('entry {name} resumes item {number:d} from "{text}"')
def check_partial(context, name, number, text):
    context.shared.refresh()
    batch = context.shared.find(name)
    deadline = clock.start_deadline(_SECONDS)
    read = context.shared.journals[name].read_partials(batch, deadline)
    assert [(item.item_number, item.text) for item in read] == [(number, text)], read


@behave.then("entry {reader} reads the submission of entry {writer}")
def check_submission(context, reader, writer):
    context.shared.refresh()
    read = context.shared.journals[reader].read_submission(
        context.shared.find(reader), clock.start_deadline(_SECONDS)
    )
    assert read.ok == context.submitted


@behave.given("entry {name} can't reach the log and has detected it")
def disconnect_entry(context, name):
    context.shared.clients[name].faults.is_silent = True
    kept = context.shared.journals[name]
    assert not kept.index.refresh(clock.read_now(), clock.start_deadline(0.1))


def _ask(context, call):
    api = batch_api.BatchApi(context.shared.journals["a"])
    asked = {
        "accept a batch": lambda: api.accept(
            batch_log.build_submission(batch_id="next"), clock.start_deadline(5.0)
        ),
        "list more results": lambda: api.list_results("batch", "", 1, clock.start_deadline(1.0)),
        "list all results": lambda: api.list_results("batch", "", 0, clock.start_deadline(1.0)),
        "list another batch": lambda: api.list_results("other", "", 0, clock.start_deadline(1.0)),
        "end the batch": lambda: api.end("batch", ""),
    }
    started_at = time.monotonic()
    answer = asked[call]()
    context.seconds = time.monotonic() - started_at
    return answer


@behave.when("a trainer asks entry a to {call}")
def ask_entry(context, call):
    context.call = call
    context.answer = _ask(context, call)


@behave.when("a trainer waits at entry a for {seconds:g} s and the log becomes unreachable")
def wait_at_disconnected_entry(context, seconds):
    shared = context.shared
    shared.clients["a"].faults.is_silent = True
    reader = threading.Thread(
        target=shared.journals["a"].index.refresh,
        args=(clock.read_now(), clock.start_deadline(1.0)),
    )
    reader.start()
    api = batch_api.BatchApi(shared.journals["a"])
    started_at = time.monotonic()
    context.answer = api.list_results("batch", "", 0, clock.start_deadline(seconds))
    context.seconds = time.monotonic() - started_at
    reader.join()


@behave.then("it is answered {fault} within {seconds:g} s")
def check_soon(context, fault, seconds):
    assert context.answer.is_error() and context.answer.error.fault.value == fault, context.answer
    assert context.seconds < seconds, context.seconds


@behave.then("once the log is back, entry a serves the same request")
def check_back(context):
    context.shared.clients["a"].faults.is_silent = False
    context.shared.refresh()
    answer = _ask(context, context.call)
    is_missing = answer.is_error() and answer.error.fault is batch_api.BatchFault.MISSING
    assert answer.is_ok() or (is_missing and context.call == "list another batch"), answer


@behave.given("a read of entry {name} was refused by the log")
def refuse_read(context, name):
    faults = context.shared.clients[name].faults
    faults.is_down = True
    kept = context.shared.journals[name]
    assert not kept.index.refresh(clock.read_now(), clock.start_deadline(0.1))
    faults.is_down = False


@behave.then("it is accepted")
def check_accepted(context):
    assert context.answer.is_ok(), context.answer


@behave.given("entry b follows the log and {what}")
def follow_log(context, what):
    kept = context.shared.journals["b"]
    context.shared.group.supervise(kept.index.follow)
    context.add_cleanup(context.shared.group.stop)
    context.has_trainer = what == "has a trainer that waits"
    kept.index.expect_updates(not context.has_trainer)


@behave.when("entry a writes {count:d} results, each after entry b has read the previous one")
def write_in_turn(context, count):
    kept = context.shared.journals["b"]
    batch = kept.index.find("batch")
    context.deadline = clock.start_deadline(_FOLLOW_SECONDS)
    for number in range(count):
        context.shared.write(f"a:{number}=x", is_read=False)
        while len(batch.result_locations) <= number and not context.deadline.is_past:
            if context.has_trainer:
                kept.index.wait_for_results(batch, number, context.deadline)
            else:
                kept.index.wait_for_change(_FOLLOW_SECONDS)


@behave.then("entry b has read all of them within {seconds:g} s")
def check_followed(context, seconds):
    assert seconds == _FOLLOW_SECONDS
    batch = context.shared.find("b")
    assert len(batch.result_locations) == batch.total, len(batch.result_locations)
