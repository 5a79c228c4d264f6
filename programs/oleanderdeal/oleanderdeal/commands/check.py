"""`check`: read a contract as `publish` would, and publish nothing."""

import expression

from oleanderdeal import exit_codes, operator_context
from oleanderdeal.commands import contract_file


def run_check(context: operator_context.OperatorContext) -> int:
    """Print what is wrong with a contract, or that nothing is."""
    match contract_file.read_contract_file(context):
        case expression.Result(tag="ok", ok=terms):
            context.output.print_note(f"the contract of {terms.customer} has no faults")
            return exit_codes.ExitCode.OK
        case expression.Result(error=found):
            contract_file.print_findings(context, found)
            return exit_codes.ExitCode.FAILED
