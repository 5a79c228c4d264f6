"""Command `check`: validates a contract as `publish` does, without publishing it."""

import expression

from oleanderdeal import exit_codes, operator_context
from oleanderdeal.commands import contract_file


def run_check(context: operator_context.OperatorContext) -> int:
    """Print every fault of a contract, or a message that it has none."""
    match contract_file.read_contract_file(context):
        case expression.Result(tag="ok", ok=terms):
            context.output.print_note(f"the contract of {terms.customer} has no faults")
            return exit_codes.ExitCode.OK
        case expression.Result(error=found):
            contract_file.print_findings(context, found)
            return exit_codes.ExitCode.FAILED
