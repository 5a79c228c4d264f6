"""Command `show`: prints the configuration in force according to the log."""

from oleander_contracts import contract, in_force
from oleanderdeal import configuration_reader, exit_codes, operator_context, output

_CONTRACT_COLUMNS = ("customer", "offset", "by", "share_percent", "retry_percent")
_OPERATION_COLUMNS = (
    "customer",
    "operation",
    "backend",
    "priority",
    "repeatable",
    "timeout_ms",
    "worth",
    "generates",
)
_TRAINER_COLUMNS = (
    "customer",
    "trainer",
    "backend",
    "model",
    "staleness_bound",
    "objective",
    "hedge_percent",
)
_VERSION_COLUMNS = ("model", "version", "offset", "by", "uri")


def run_show(context: operator_context.OperatorContext) -> int:
    """Print the contracts in force; weight versions only if no customer was chosen."""
    reader = configuration_reader.ConfigurationReader(context.open_log(context.start_deadline()))
    problem = reader.find_problem()
    if problem:
        context.output.print_note(problem)
        return exit_codes.ExitCode.UNREACHABLE
    wanted = context.settings.customer
    shown = [
        item for item in reader.fold.list_in_force() if wanted in {"", item.contract.customer}
    ]
    _print_contracts(context.output, shown)
    if not wanted:
        rows = [_format_version(version) for version in reader.fold.list_versions()]
        context.output.print_table("version", _VERSION_COLUMNS, rows)
    if not shown:
        context.output.print_note(f"no contract is in force{f' for {wanted}' if wanted else ''}")
    return exit_codes.ExitCode.OK


def _print_contracts(printer: output.Output, shown: list[in_force.ContractInForce]) -> None:
    printer.print_table("contract", _CONTRACT_COLUMNS, [_format_contract(item) for item in shown])
    operations = [
        _format_operation(item.contract.customer, operation)
        for item in shown
        for operation in item.contract.operations
    ]
    printer.print_table("operation", _OPERATION_COLUMNS, operations)
    trainers = [
        _format_trainer(item.contract.customer, trainer)
        for item in shown
        for trainer in item.contract.trainers
    ]
    printer.print_table("trainer", _TRAINER_COLUMNS, trainers)


def _format_contract(item: in_force.ContractInForce) -> output.Row:
    terms = item.contract
    return terms.customer, item.offset, item.by, terms.share_percent, terms.retry_percent


def _format_operation(customer: str, operation: contract.Operation) -> output.Row:
    return (
        customer,
        operation.name,
        operation.backend,
        operation.priority.name.lower(),
        operation.repeatable,
        operation.timeout_ms,
        operation.worth,
        operation.generates,
    )


def _format_trainer(customer: str, trainer: contract.TrainerTerms) -> output.Row:
    return (
        customer,
        trainer.name,
        trainer.backend,
        trainer.model,
        trainer.staleness_bound,
        trainer.objective.value,
        trainer.hedge_percent,
    )


def _format_version(version: in_force.ModelVersion) -> output.Row:
    return version.model, version.version, version.offset, version.by, version.uri
