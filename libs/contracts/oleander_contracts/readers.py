"""
Reads contracts from YAML and JSON, and writes them as JSON.

All errors of a contract are reported together with their locations. The limits below are part of
the format of the log, as every process must read its records in the same way: a release that
changes a limit must still accept and reject the records of the previous release as before.
"""

import json
import typing

import expression
import ruamel.yaml

from oleander_base import findings
from oleander_contracts import contract, fields, names, nodes

MAX_CONTRACT_BYTES = 64 * 1024
MAX_OPERATIONS = 64
MAX_TRAINERS = 16
RESERVED_OPERATION = "trainer"
"""Not allowed as the name of an operation, because the names of the trainers' counters have this
word where those of the operations' counters have the operation."""

ContractResult = expression.Result[contract.Contract, findings.Findings]

_SHARE_PERCENT = fields.Bounds(1, 100)
_PERCENT = fields.Bounds(0, 100)
_TIMEOUT_MS = fields.Bounds(1, 600_000)
_WORTH = fields.Bounds(0, 1000)
_STALENESS = fields.Bounds(0, 100)
_DEFAULT_WORTH = 1

_PRIORITIES = {item.name.lower(): item for item in contract.Priority}
_OBJECTIVES = {item.value: item for item in contract.Objective}

_REPEATABLE_FIX = "true if running it twice does no harm, else false"
_MODEL_FIX = "the model whose weights this trainer updates"


def read_contract(text: str, source: str) -> ContractResult:
    """Read a contract from a YAML or JSON text; `source` names the text in findings."""
    size = len(text.encode(errors="replace"))
    if size > MAX_CONTRACT_BYTES:
        return _reject(source, f"has {size} bytes, more than {MAX_CONTRACT_BYTES}")
    composer = ruamel.yaml.YAML(typ="safe", pure=True)
    try:
        # compose() constructs no Python objects, so tags in the text can't create any.
        root = composer.compose(text)
    except ruamel.yaml.error.MarkedYAMLError as error:
        return _reject(_describe_mark(error, source), f"is no YAML: {error.problem}")
    except (ruamel.yaml.error.YAMLError, ValueError, RecursionError) as error:
        return _reject(source, f"is no YAML: {_describe_error(error)}")
    if root is None:
        return _reject(source, "is empty")
    return _read_root(nodes.YamlNode(root, source))


def read_document(document: typing.Any) -> ContractResult:
    """Read a contract from a JSON document, the form that is stored in the log."""
    try:
        size = len(json.dumps(document, separators=(",", ":")))
    except (TypeError, ValueError, RecursionError):
        return _reject("document", "is no JSON document, or is nested too deep")
    if size > MAX_CONTRACT_BYTES:
        return _reject("document", f"has {size} bytes, more than {MAX_CONTRACT_BYTES}")
    return _read_root(nodes.JsonNode(document))


def write_document(terms: contract.Contract) -> dict[str, typing.Any]:
    """Return a contract as a JSON document that includes fields with default values."""
    return {
        "customer": terms.customer,
        "share_percent": terms.share_percent,
        "retry_percent": terms.retry_percent,
        "operations": [_write_operation(operation) for operation in terms.operations],
        "trainers": [_write_trainer(trainer) for trainer in terms.trainers],
    }


def _write_operation(operation: contract.Operation) -> dict[str, typing.Any]:
    return {
        "name": operation.name,
        "backend": operation.backend,
        "priority": operation.priority.name.lower(),
        "repeatable": operation.repeatable,
        "timeout_ms": operation.timeout_ms,
        "worth": operation.worth,
        "generates": operation.generates,
    }


def _write_trainer(trainer: contract.TrainerTerms) -> dict[str, typing.Any]:
    return {
        "name": trainer.name,
        "backend": trainer.backend,
        "model": trainer.model,
        "staleness_bound": trainer.staleness_bound,
        "objective": trainer.objective.value,
        "hedge_percent": trainer.hedge_percent,
    }


def _reject(place: str, problem: str) -> ContractResult:
    return expression.Error(findings.Findings((findings.Finding(place, problem),)))


def _describe_mark(error: ruamel.yaml.error.MarkedYAMLError, source: str) -> str:
    mark = error.problem_mark or error.context_mark
    return f"{source}:{mark.line + 1}:{mark.column + 1}" if mark else source


def _describe_error(error: Exception) -> str:
    if isinstance(error, RecursionError):
        return "nested too deep"
    return str(error).splitlines()[0]


def _read_root(node: nodes.Node) -> ContractResult:
    found: list[findings.Finding] = []
    terms = read_terms(node, found)
    if found:
        return expression.Error(findings.Findings(tuple(found)))
    return expression.Ok(terms)


def read_terms(node: nodes.Node, found: list[findings.Finding]) -> contract.Contract:
    """Read a contract from a node; it is valid only if nothing was added to `found`."""
    reader = fields.FieldReader(node, found)
    customer = reader.read_name("customer")
    if customer == names.OPERATOR:
        found.append(findings.Finding(reader.find_place("customer"), "is kept for operators"))
    share_percent = reader.read_integer("share_percent", _SHARE_PERCENT)
    retry_percent = reader.read_integer("retry_percent", _PERCENT)
    operations = reader.read_items("operations", MAX_OPERATIONS, required=True)
    trainers = reader.read_items("trainers", MAX_TRAINERS, required=False)
    reader.report_unknown()
    seen_operations = _UniqueNames(found)
    seen_trainers = _UniqueNames(found)
    return contract.Contract(
        customer=customer,
        share_percent=share_percent,
        retry_percent=retry_percent,
        operations=tuple(_read_operation(item, found, seen_operations) for item in operations),
        trainers=tuple(_read_trainer(item, found, seen_trainers) for item in trainers),
    )


class _UniqueNames:
    """Reports names that occur twice in one list."""

    def __init__(self, found: list[findings.Finding]) -> None:
        self._found = found
        self._places: dict[str, str] = {}

    def read_name(self, reader: fields.FieldReader) -> str:
        """Return the name of an item; add a finding if an earlier item has it."""
        name = reader.read_name("name")
        place = reader.find_place("name")
        if name in self._places:
            problem = f"{name} is already at {self._places[name]}"
            self._found.append(findings.Finding(place, problem))
        elif name:
            self._places[name] = place
        return name


def _read_operation(
    node: nodes.Node, found: list[findings.Finding], seen: _UniqueNames
) -> contract.Operation:
    reader = fields.FieldReader(node, found)
    operation = contract.Operation(
        name=seen.read_name(reader),
        backend=reader.read_name("backend"),
        priority=reader.read_choice("priority", _PRIORITIES),
        repeatable=reader.read_boolean("repeatable", _REPEATABLE_FIX),
        timeout_ms=reader.read_integer("timeout_ms", _TIMEOUT_MS),
        worth=reader.read_integer("worth", _WORTH, _DEFAULT_WORTH),
        generates=reader.read_boolean("generates", default=False),
    )
    reader.report_unknown()
    if operation.name == RESERVED_OPERATION:
        found.append(findings.Finding(reader.find_place("name"), "is kept for trainers"))
    return operation


def _read_trainer(
    node: nodes.Node, found: list[findings.Finding], seen: _UniqueNames
) -> contract.TrainerTerms:
    reader = fields.FieldReader(node, found)
    trainer = contract.TrainerTerms(
        name=seen.read_name(reader),
        backend=reader.read_name("backend"),
        model=reader.read_name("model", _MODEL_FIX),
        staleness_bound=reader.read_integer("staleness_bound", _STALENESS),
        objective=reader.read_choice("objective", _OBJECTIVES),
        hedge_percent=reader.read_integer("hedge_percent", _PERCENT),
    )
    reader.report_unknown()
    return trainer
