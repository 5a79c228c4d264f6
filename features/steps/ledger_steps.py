"""Steps for the ledger of non-repeatable keys."""

import behave

from oleander_wire import messages
from oleanderdeal import key_ledger


class LedgerProbe:
    """Sends messages for one key to a ledger and records the answers."""

    def __init__(self, incarnation, keys=100, most_bytes=1000):
        self.ledger = key_ledger.KeyLedger(incarnation, keys, most_bytes)
        self.incarnation = incarnation
        self.answers = []
        self.starts = 0
        self.offset = 0
        self._last_run = None

    def play(self, event):
        words = event.split()
        if words[0] == "end":
            self.ledger.end(self._last_run, write_answer(words[1]))
            return
        incarnation = "earlier" if "incarnation" in words else self.incarnation
        digest = "other" if "body" in words else "digest"
        if words[0] == "ticket":
            self.run("key", 0, incarnation, digest, self.answers.append, messages.TICKET_SHARD)
        elif words[0] == "run":
            self.run("key", int(words[1]), incarnation, digest, self.answers.append)
        elif words[0] == "find":
            self.answers.append(self.ledger.find(messages.Find("f", "customer", "key", digest)))
        else:
            join = messages.Join(
                "j", incarnation, "customer", "key", digest, int(words[1]), 0, 0, 1000
            )
            self.ledger.join(join, self.answers.append)

    def run(self, key, attempt, incarnation, digest, listener, shard=0):
        offset = self.offset if key != "key" else 0
        run = write_run(key, attempt, incarnation, digest, offset, shard)
        if self.ledger.start(run, listener):
            self._last_run = run
            self.starts += key == "key"


def write_run(key, attempt, incarnation, digest, offset, shard):
    return messages.Run(
        request_id="r",
        trace_id="t",
        incarnation=incarnation,
        customer="customer",
        operation="booking",
        key=key,
        digest=digest,
        attempt=attempt,
        shard=shard,
        claim_offset=offset,
        repeatable=False,
        priority=0,
        share_percent=50,
        budget_ms=1000,
        body=b"",
        generation=None,
    )


def write_answer(outcome):
    return messages.Answer("", messages.Outcome(outcome), 200, "", 0, b"four", 1)


@behave.given('a ledger of incarnation "{incarnation}"')
def create_ledger(context, incarnation):
    context.probe = LedgerProbe(incarnation)


@behave.given(
    'a ledger of incarnation "{incarnation}" that keeps {keys:d} keys and {size:d} bytes'
)
def create_bounded_ledger(context, incarnation, keys, size):
    context.probe = LedgerProbe(incarnation, keys, size)


@behave.when("{count:d} other keys run and end after the ledger's key has ended")
def end_and_fill_ledger(context, count):
    context.probe.play("run 1")
    context.probe.play("end done")
    fill_ledger(context, count)


@behave.when("{count:d} other keys run and end")
def fill_ledger(context, count):
    probe = context.probe
    for number in range(1, count + 1):
        probe.offset = number
        probe.run(f"other-{number}", 1, probe.incarnation, "digest", lambda answer: None)
        probe.play("end done")


@behave.when("the ledger's key sees {history}")
def play_history(context, history):
    context.probe.answers.clear()
    for event in history.split(", "):
        context.probe.play(event)


@behave.then("the ledger's last answer is {answer}")
def check_answer(context, answer):
    if answer == "nothing yet":
        assert not context.probe.answers, context.probe.answers
        return
    last = context.probe.answers[-1]
    assert f"{last.outcome.value} {last.reason}".strip() == answer, last


@behave.then("the ledger's key was started {starts:d} times")
def check_starts(context, starts):
    assert context.probe.starts == starts, context.probe.starts
