"""Reader of the contract that `--file` names."""

import expression

from oleander_base import findings
from oleander_contracts import readers
from oleanderdeal import operator_context

_STANDARD_INPUT = "-"


def read_contract_file(
    context: operator_context.OperatorContext,
) -> readers.ContractResult:
    """Return the contract in the file or on standard input, or every fault in it."""
    path = context.settings.file
    if path == _STANDARD_INPUT:
        # One character above the limit suffices to detect that the text is too long.
        return readers.read_contract(context.source.read(readers.MAX_CONTRACT_BYTES + 1), "stdin")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(readers.MAX_CONTRACT_BYTES + 1)
    except (OSError, UnicodeDecodeError) as error:
        finding = findings.Finding(path, f"can't be read: {error}")
        return expression.Error(findings.Findings((finding,)))
    return readers.read_contract(text, path)


def print_findings(context: operator_context.OperatorContext, found: findings.Findings) -> None:
    """Print a table of the faults, with the place of each in the contract."""
    rows = [(item.place, item.problem, item.fix) for item in found.items]
    context.output.print_table("finding", ("place", "problem", "fix"), rows)
