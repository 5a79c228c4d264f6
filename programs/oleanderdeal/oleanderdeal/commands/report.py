"""Command `report`: compares the service that customers received with their contracts."""

import expression

from oleander_base import clock
from oleander_contracts import contract
from oleanderdeal import configuration_reader, exit_codes, operator_context, output
from oleanderdeal.commands import service_counts

_CALL_TIMEOUT_SECONDS = 2.0
_DEFAULT_WORTH = 1
_NO_CONTRACT = "no contract"
_NO_REQUESTS = ""

_CUSTOMER_COLUMNS = ("customer", "promised_share_percent", "requests", "service_percent")
_OPERATION_COLUMNS = (
    "customer",
    "operation",
    "promised",
    "requests",
    "in_time",
    "in_time_percent",
    "late",
    "refused",
    "unknown",
    "failed",
    "refusals",
)
_TRAINER_COLUMNS = (
    "customer",
    "trainer",
    "promised",
    "delivered",
    "stale",
    "remade",
    "idle_ms",
)

_Contracts = dict[str, contract.Contract]


def run_report(context: operator_context.OperatorContext) -> int:
    """Print the entries' counts since their start, beside the terms of contracts in force."""
    deadline = context.start_deadline()
    counts = service_counts.ServiceCounts()
    problems = _collect_counts(context, counts, deadline)
    reader = configuration_reader.ConfigurationReader(context.open_log(deadline))
    problem = reader.find_problem()
    if problem:
        problems.append(f"no promises are shown: {problem}")
    contracts = {terms.customer: terms for terms in reader.fold.list_contracts()}
    wanted = context.settings.customer
    report = _Report(counts, contracts, wanted)
    context.output.print_table("customer", _CUSTOMER_COLUMNS, report.list_customers())
    context.output.print_table("operation", _OPERATION_COLUMNS, report.list_operations())
    context.output.print_table("trainer", _TRAINER_COLUMNS, report.list_trainers())
    for line in problems:
        context.output.print_note(line)
    return exit_codes.ExitCode.UNREACHABLE if problems else exit_codes.ExitCode.OK


def _collect_counts(
    context: operator_context.OperatorContext,
    counts: service_counts.ServiceCounts,
    deadline: clock.Deadline,
) -> list[str]:
    """Add up the entries' counts; return a message for each entry that could not be read."""
    problems = []
    for url in context.settings.entries:
        match context.entries.read_report(url, deadline.cap(_CALL_TIMEOUT_SECONDS)):
            case expression.Result(tag="ok", ok=report):
                counts.add(report.counts)
            case expression.Result(error=error):
                problems.append(f"without {url}, which {error.detail}")
    return problems


class _Report:
    """Creates the rows of the report's tables: counts beside the terms of the contracts."""

    def __init__(
        self, counts: service_counts.ServiceCounts, contracts: _Contracts, wanted: str
    ) -> None:
        self._contracts = {
            customer: terms for customer, terms in contracts.items() if wanted in {"", customer}
        }
        self._operations = {
            key: value for key, value in counts.operations.items() if wanted in {"", key[0]}
        }
        self._trainers = {
            key: value for key, value in counts.trainers.items() if wanted in {"", key[0]}
        }
        # Operations and trainers of a contract that have no requests get a row of zeros.
        for customer, terms in self._contracts.items():
            for operation in terms.operations:
                key = (customer, operation.name)
                self._operations.setdefault(key, service_counts.OperationCounts())
            for trainer in terms.trainers:
                key = (customer, trainer.name)
                self._trainers.setdefault(key, service_counts.TrainerCounts())

    def list_customers(self) -> list[output.Row]:
        """
        Return a row for each customer.

        The service of a customer is the percentage of its requests that were answered in time,
        each weighted by the worth of its operation.
        """
        keys = [*self._operations, *self._trainers]
        customers = sorted({customer for customer, _ in keys} | set(self._contracts))
        return [self._list_customer(customer) for customer in customers]

    def list_operations(self) -> list[output.Row]:
        """Return a row of counts for each operation, with its terms."""
        return [
            (
                *key,
                self._describe_operation(*key),
                counts.requests,
                counts.answered,
                _compute_percent(counts.answered, counts.requests),
                counts.late,
                counts.refused.total(),
                counts.unknown,
                counts.failed,
                " ".join(f"{reason}={n}" for reason, n in sorted(counts.refused.items())),
            )
            for key, counts in sorted(self._operations.items())
        ]

    def list_trainers(self) -> list[output.Row]:
        """Return a row of counts for each trainer, with its terms."""
        return [
            (
                *key,
                self._describe_trainer(*key),
                counts.delivered,
                counts.stale,
                counts.remade,
                counts.idle_ms,
            )
            for key, counts in sorted(self._trainers.items())
        ]

    def _list_customer(self, customer: str) -> output.Row:
        terms = self._contracts.get(customer)
        share = _NO_CONTRACT if terms is None else terms.share_percent
        requests = 0
        worth_answered = 0
        worth_asked = 0
        for (owner, operation), counts in self._operations.items():
            if owner == customer:
                worth = self._find_worth(customer, operation)
                requests += counts.requests
                worth_answered += worth * counts.answered
                worth_asked += worth * counts.requests
        return customer, share, requests, _compute_percent(worth_answered, worth_asked)

    def _find_worth(self, customer: str, operation: str) -> int:
        found = self._find_operation(customer, operation)
        return _DEFAULT_WORTH if found is None else found.worth

    def _find_operation(self, customer: str, name: str) -> contract.Operation | None:
        terms = self._contracts.get(customer)
        return None if terms is None else terms.find_operation(name)

    def _describe_operation(self, customer: str, name: str) -> str:
        found = self._find_operation(customer, name)
        if found is None:
            return _NO_CONTRACT
        repeats = "repeatable" if found.repeatable else "at most once"
        return f"{found.priority.name.lower()}, {found.timeout_ms} ms, {repeats}"

    def _describe_trainer(self, customer: str, name: str) -> str:
        terms = self._contracts.get(customer)
        found = None if terms is None else terms.find_trainer(name)
        if found is None:
            return _NO_CONTRACT
        return f"at most {found.staleness_bound} behind, {found.objective.value} first"


def _compute_percent(part: int, whole: int) -> float | str:
    return round(100 * part / whole, 1) if whole else _NO_REQUESTS
