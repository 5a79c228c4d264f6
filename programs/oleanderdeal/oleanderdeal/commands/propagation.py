"""Asks the entries whether they have applied a configuration record."""

import expression

from oleander_base import clock
from oleanderdeal import entry_clients, exit_codes, operator_context

_CALL_TIMEOUT_SECONDS = 1.0
_POLL_INTERVAL_SECONDS = 0.2

_Answer = expression.Result[entry_clients.EntryConfiguration, entry_clients.EntryError]


def print_propagation(
    context: operator_context.OperatorContext, offset: int, deadline: clock.Deadline
) -> int:
    """
    Ask the entries until all have applied the record at `offset` or the deadline passes.

    Print the answer of each entry and how many have applied it.
    """
    if not context.settings.entries:
        context.output.print_note("give --entries to see on which entries it is in force")
        return exit_codes.ExitCode.OK
    answers: dict[str, _Answer] = {}
    while True:
        for url in context.settings.entries:
            if url not in answers or not _has_applied(answers[url], offset):
                call = deadline.cap(_CALL_TIMEOUT_SECONDS)
                answers[url] = context.entries.read_configuration(url, call)
        reached = sum(_has_applied(answer, offset) for answer in answers.values())
        if reached == len(answers) or deadline.is_past:
            break
        context.pause(min(_POLL_INTERVAL_SECONDS, deadline.remaining))
    rows = [(url, *_describe_answer(answer, offset)) for url, answer in answers.items()]
    context.output.print_table("entry", ("entry", "in_force", "applied_offset", "peers"), rows)
    context.output.print_note(f"in force on {reached} of {len(answers)} entries")
    return exit_codes.ExitCode.OK


def _has_applied(answer: _Answer, offset: int) -> bool:
    match answer:
        case expression.Result(tag="ok", ok=configuration):
            return configuration.applied_offset >= offset
        case _:
            return False


def _describe_answer(answer: _Answer, offset: int) -> tuple[str, str, str]:
    match answer:
        case expression.Result(tag="ok", ok=configuration):
            word = "yes" if configuration.applied_offset >= offset else "not yet"
            return word, str(configuration.applied_offset), str(configuration.peers)
        case expression.Result(error=error):
            return error.detail, "", ""
