"""Steps for the configuration stream."""

import behave
import hypothesis

import configuration_support as support
from oleander_contracts import fold


@behave.when("the configuration records {texts} are folded")
def fold_texts(context, texts):
    context.fold = fold.ConfigurationFold()
    context.verdicts = []
    for text in texts.split(", "):
        value = support.read_value(context.fold, text)
        result = context.fold.apply(context.fold.next_offset, 0, value)
        context.verdicts.append(result.ok)


@behave.then("the configuration verdicts are {expected}")
def check_verdicts(context, expected):
    found = ", ".join(
        f"{item.decision.value} {item.in_force_offset} {item.by}".strip()
        for item in context.verdicts
    )
    assert found == expected, found


@behave.then("the configuration in force is {expected}")
def check_in_force(context, expected):
    found = support.describe_in_force(context.fold)
    assert found == expected, found


@behave.given("a configuration of {count:d} versions")
def create_versions(context, count):
    context.fold = support.fold_versions(count, fold.MAX_RECENT_RECORDS)


@behave.given("a configuration of {count:d} versions of which {kept:d} are kept")
def create_few_kept(context, count, kept):
    context.fold = support.fold_versions(count, kept)


@behave.when("the configuration record at {offset:d} is applied")
@behave.when("the configuration record at {offset:d} is applied again")
def apply_at(context, offset):
    context.result = context.fold.apply(offset, 0, support.create_version(offset + 1))


@behave.then("that configuration record is {decision} and {applied:d} is applied")
def check_decision(context, decision, applied):
    assert context.result.ok.decision.value == decision, context.result
    assert context.fold.applied_offset == applied


@behave.then("the configuration gap is {expected:d} before {offset:d} and {applied:d} is applied")
def check_gap(context, expected, offset, applied):
    assert context.result.error == fold.GapError(expected, offset)
    assert context.fold.applied_offset == applied


@behave.when("a configuration record of {what} is folded")
def fold_oversized(context, what):
    context.fold = fold.ConfigurationFold()
    context.result = context.fold.apply(0, 0, support.create_oversized(what))


@behave.then("that configuration record is {decision} and the next one is accepted")
def check_oversized(context, decision):
    check_decision(context, decision, 0)
    context.result = context.fold.apply(1, 0, support.create_version(1))
    check_decision(context, "accepted", 1)


@behave.when("a peer with configuration {applied:d} asks for what follows")
def ask_for_records(context, applied):
    context.peer = support.fold_versions(applied + 1, fold.MAX_RECENT_RECORDS)
    context.received = context.fold.list_after(applied)


@behave.when("a peer with configuration {applied:d} asks for records of at most {most:d} byte")
def ask_for_batch(context, applied, most):
    context.received = context.fold.list_after(applied, most)


@behave.then("the peer gets the configuration {answer}")
def check_handed(context, answer):
    if context.received.is_error():
        found = "snapshot"
    else:
        offsets = [str(record.offset) for record in context.received.ok]
        found = " ".join(["records", *offsets])
    assert found == answer, found


@behave.then("the peer has the same configuration")
def check_peer(context):
    if context.received.is_error():
        context.peer.install_snapshot(context.fold.create_snapshot())
    for record in context.received.default_value(()):
        context.peer.apply(record.offset, record.logged_at_ms, record.value)
    assert context.peer.create_snapshot() == context.fold.create_snapshot()


@behave.given("a configuration log whose records are {texts}")
def create_log(context, texts):
    context.log = support.create_log(texts.split(", "))


@behave.when("a process starts where the configuration log begins at {first:d}")
def start_process(context, first):
    context.fold = fold.ConfigurationFold()
    support.follow(context.fold, context.log, first)


@behave.then("the newest configuration snapshot is at {offset:d}")
def check_snapshot(context, offset):
    assert context.fold.snapshot_offset == offset, context.fold.snapshot_offset


@behave.when("a process that applied configuration {applied:d} goes on at {first:d}")
def resume_process(context, applied, first):
    context.fold = fold.ConfigurationFold()
    support.follow(context.fold, context.log[: applied + 1], 0)
    support.follow(context.fold, context.log, first)


@behave.when("a peer hands over its configuration")
def hand_over(context):
    peer = fold.ConfigurationFold()
    support.follow(peer, context.log, 0)
    context.fold.install_snapshot(peer.create_snapshot())


@behave.then("it has applied configuration {applied:d} and waiting is {waiting}")
def check_applied(context, applied, waiting):
    assert context.fold.applied_offset == applied, context.fold.applied_offset
    assert context.fold.needs_snapshot == (waiting == "yes")


@behave.when("a configuration snapshot through {through:d} without anything is handed over")
def hand_over_nothing(context, through):
    value = {"kind": "snapshot", "through": through, "contracts": [], "versions": []}
    verdict = context.fold.install_snapshot({**value, "trainers": []})
    context.result = support.wrap(verdict)


@behave.when("the configuration of a peer with {count:d} versions is handed over")
def hand_over_old(context, count):
    peer = support.fold_versions(count, fold.MAX_RECENT_RECORDS)
    verdict = context.fold.install_snapshot(peer.create_snapshot())
    context.result = support.wrap(verdict)


@behave.when("large configuration contracts are folded until one is void")
def fill_state(context):
    context.fold = fold.ConfigurationFold()
    for number in range(200):
        context.value = support.create_large_contract(number)
        context.result = context.fold.apply(number, 0, context.value)
        if context.result.ok.decision.value == "void":
            return


@behave.then("its configuration verdict is {reason}")
def check_reason(context, reason):
    assert context.result.ok.reason == reason, context.result


@behave.then("a process that starts from a configuration snapshot gives the same verdict")
def check_same_verdict(context):
    started = fold.ConfigurationFold()
    started.install_snapshot(context.fold.create_snapshot())
    assert started.apply(started.next_offset, 0, context.value) == context.result


@behave.then("every way through a random configuration log ends in the same state")
def check_random_logs(context):
    @hypothesis.settings(derandomize=True, database=None, max_examples=300, deadline=None)
    @hypothesis.given(support.LOGS, support.PATHS)
    def check(steps, path):
        log = support.create_random_log(steps)
        support.check_path(log, path)

    check()
