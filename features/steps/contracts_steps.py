"""Steps for contracts."""

import json
import pathlib

import behave

from oleander_contracts import readers

_EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "docs" / "examples"
_SOURCE = "t"


@behave.given("the contract example {file}")
def load_example(context, file):
    context.contract_text = (_EXAMPLES / file).read_text()


@behave.given("this contract")
def set_text(context):
    context.contract_text = context.text


@behave.given("a contract text of {count:d} times {piece}")
def set_repeated_text(context, count, piece):
    context.contract_text = piece.replace("\\0", "\0") * count


@behave.given("the contract text {text}")
def set_line(context, text):
    context.contract_text = text


@behave.when("the contract is read")
def read_text(context):
    context.contract_result = readers.read_contract(context.contract_text, _SOURCE)


@behave.when("the contract is read from {form}")
def read_form(context, form):
    if form == "JSON":
        context.contract_result = readers.read_document(json.loads(context.contract_text))
    else:
        read_text(context)


@behave.when("{old} becomes {new} in the contract and it is read")
def read_changed(context, old, new):
    assert old in context.contract_text
    changed = context.contract_text.replace(old, new.replace("\\n", "\n"))
    context.contract_result = readers.read_contract(changed, _SOURCE)


@behave.when("{old} becomes in the contract and it is read")
@behave.when("{old} becomes  in the contract and it is read")
def read_without(context, old):
    read_changed(context, old, "")


@behave.then("the contract findings are {expected}")
def check_contract_findings(context, expected):
    result = context.contract_result
    found = str(result.error) if result.is_error() else "none"
    assert found == expected, found


@behave.then("the contract findings stand at {paths}")
def check_contract_paths(context, paths):
    found = [item.place.rpartition(" ")[2] for item in context.contract_result.error.items]
    assert found == paths.split(", "), found


@behave.then("the contract of {customer} has operations {operations} and trainers {trainers}")
def check_contract(context, customer, operations, trainers):
    assert context.contract_result.is_ok(), str(context.contract_result.error)
    terms = context.contract_result.ok
    assert terms.customer == customer
    assert [item.name for item in terms.operations] == operations.split(", ")
    assert [item.name for item in terms.trainers] == trainers.split(", ")


@behave.then("the contract is the same after it was written to the log's form and read back")
def check_round_trip(context):
    terms = context.contract_result.ok
    document = json.loads(json.dumps(readers.write_document(terms)))
    assert readers.read_document(document).ok == terms
