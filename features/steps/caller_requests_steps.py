"""Steps for the validation of callers' requests."""

import behave

from oleander_contracts import contract
from oleanderdeal import caller_requests, http_messages

_TEXTS = {"none": "", "with space": "a b", "200 long": "k" * 200, "201 long": "k" * 201}


def create_operation(name):
    return contract.Operation(
        name, "desk", contract.Priority.CRITICAL, name != "booking", 2000, 1, name == "suggestion"
    )


@behave.given("a caller's request to {name} with key {key}, timeout {timeout} and body {body}")
def create_request(context, name, key, timeout, body):
    headers = {"idempotency-key": _TEXTS.get(key, key), "request-timeout-ms": timeout}
    if timeout == "none":
        del headers["request-timeout-ms"]
    content = b"x" * 2 * 1024 * 1024 if body == "2 MiB" else body.encode()
    context.request = http_messages.HttpRequest("POST", "/", (), headers, content, lambda: False)
    context.operation = create_operation(name)


@behave.when("the caller's request is read")
def read_request(context):
    terms = contract.Contract("catania", 50, 10, (context.operation,), ())
    context.result = caller_requests.read_caller_request(context.request, terms, context.operation)


@behave.then("the caller's request has problems at {places}")
def check_faults(context, places):
    found = [item.place for item in context.result.error.items]
    assert found == places.split(", "), found


@behave.then("the caller's request has a deadline within {most:d} ms")
def check_deadline(context, most):
    assert context.result.is_ok(), context.result
    assert 0 < context.result.ok.deadline.remaining_ms <= most
