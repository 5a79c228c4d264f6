"""Command `publish`: puts a contract in force and checks which entries have applied it."""

import expression

from oleander_base import clock, identifiers
from oleander_contracts import contract, differences, in_force, records
from oleanderdeal import exit_codes, operator_context
from oleanderdeal.commands import contract_file, propagation, publisher


def run_publish(context: operator_context.OperatorContext) -> int:
    """Validate a contract, append it, read its verdict back and ask the entries about it."""
    match contract_file.read_contract_file(context):
        case expression.Result(tag="ok", ok=terms):
            return _publish_terms(context, terms)
        case expression.Result(error=found):
            contract_file.print_findings(context, found)
            return exit_codes.ExitCode.FAILED


def _publish_terms(context: operator_context.OperatorContext, terms: contract.Contract) -> int:
    deadline = context.start_deadline()
    attempt = publisher.Publisher(context.open_log(deadline))
    match attempt.read_current(terms.customer):
        case expression.Result(tag="ok", ok=current):
            if current is not None and current.contract == terms:
                context.output.print_note(f"in force already, at offset {current.offset}")
                return propagation.print_propagation(context, current.offset, deadline)
            _print_differences(context, current, terms)
            record = _create_record(context, current, terms)
            return _append_terms(context, attempt, record, deadline)
        case expression.Result(error=problem):
            context.output.print_note(f"not published: {problem}")
            return exit_codes.ExitCode.UNREACHABLE


def _create_record(
    context: operator_context.OperatorContext,
    current: in_force.ContractInForce | None,
    terms: contract.Contract,
) -> records.ContractRecord:
    return records.ContractRecord(
        contract=terms,
        base=in_force.NO_OFFSET if current is None else current.offset,
        by=context.settings.by,
        nonce=identifiers.create_nonce(),
    )


def _append_terms(
    context: operator_context.OperatorContext,
    attempt: publisher.Publisher,
    record: records.ContractRecord,
    deadline: clock.Deadline,
) -> int:
    match attempt.publish(record):
        case expression.Result(tag="ok", ok=verdict):
            return _report_verdict(context, verdict, deadline)
        case expression.Result(error=problem):
            context.output.print_note(problem)
            return exit_codes.ExitCode.UNREACHABLE


def _report_verdict(
    context: operator_context.OperatorContext,
    verdict: in_force.Verdict,
    deadline: clock.Deadline,
) -> int:
    if verdict.decision is not in_force.Decision.ACCEPTED:
        context.output.print_note(f"void: {verdict.reason}")
        return exit_codes.ExitCode.VOID
    context.output.print_note(f"accepted at offset {verdict.in_force_offset}")
    return propagation.print_propagation(context, verdict.in_force_offset, deadline)


def _print_differences(
    context: operator_context.OperatorContext,
    current: in_force.ContractInForce | None,
    terms: contract.Contract,
) -> None:
    before = None if current is None else current.contract
    rows = [
        (item.path, item.before, item.after)
        for item in differences.list_differences(before, terms)
    ]
    context.output.print_table("difference", ("field", "in_force", "new"), rows)
