"""Parses and validates callers' requests; reports all problems of a request together."""

import json
import re
import typing

import expression

from oleander_base import clock, findings, identifiers
from oleander_contracts import contract
from oleander_wire import messages
from oleanderdeal import callers, http_messages

MAX_BODY_BYTES = 1024 * 1024
MAX_TOKENS = 131072
"""Upper bound on `max_tokens` of one generation."""
_KEY_PATTERN = re.compile(r"[!-~]{1,200}")
_TRACE_ID_PATTERN = re.compile(r"[!-~]{1,100}")
_NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")
_NO_OLDEST_VERSION = -1
"""Callers accept any weight version; only trainers set a bound."""


def read_caller_request(
    request: http_messages.HttpRequest, terms: contract.Contract, operation: contract.Operation
) -> expression.Result[callers.CallerRequest, findings.Findings]:
    """Return the valid request, or a finding for each problem."""
    problems: list[findings.Finding] = []
    key = _read_key(request, operation, problems)
    trace_id = _read_trace_id(request, problems)
    timeout_ms = _read_timeout(request, operation, problems)
    if len(request.body) > MAX_BODY_BYTES:
        problems.append(findings.Finding("body", f"is larger than {MAX_BODY_BYTES} bytes"))
    prompt = _read_generation_body(request.body, problems) if operation.generates else None
    if problems:
        return expression.Error(findings.Findings(tuple(problems)))
    return expression.Ok(
        callers.CallerRequest(
            customer=terms.customer,
            operation=operation,
            terms=terms,
            key=key,
            digest=identifiers.digest_body(operation.name.encode() + b"\0" + request.body),
            trace_id=trace_id,
            deadline=clock.start_deadline_ms(timeout_ms),
            body=prompt.text if prompt else request.body,
            generation=prompt.terms if prompt else None,
            is_streamed=prompt.is_streamed if prompt else False,
        )
    )


def _read_key(
    request: http_messages.HttpRequest,
    operation: contract.Operation,
    problems: list[findings.Finding],
) -> str:
    key = request.find_header("Idempotency-Key")
    if not key and not operation.repeatable:
        problems.append(
            findings.Finding(
                "header Idempotency-Key",
                "is missing",
                "operations that may not be repeated need one",
            )
        )
    elif key and not _KEY_PATTERN.fullmatch(key):
        problems.append(
            findings.Finding("header Idempotency-Key", "is not 1 to 200 visible ASCII characters")
        )
    return key


def _read_trace_id(request: http_messages.HttpRequest, problems: list[findings.Finding]) -> str:
    trace_id = request.find_header("Trace-Id") or identifiers.create_nonce()
    if not _TRACE_ID_PATTERN.fullmatch(trace_id):
        problems.append(
            findings.Finding("header Trace-Id", "is not 1 to 100 visible ASCII characters")
        )
    return trace_id


def _read_timeout(
    request: http_messages.HttpRequest,
    operation: contract.Operation,
    problems: list[findings.Finding],
) -> int:
    text = request.find_header("Request-Timeout-Ms")
    if not text:
        return operation.timeout_ms
    if not _NUMBER_PATTERN.fullmatch(text) or int(text) == 0:
        problems.append(
            findings.Finding("header Request-Timeout-Ms", "is not a whole number above 0")
        )
        return operation.timeout_ms
    return min(int(text), operation.timeout_ms)


class _GenerationBody(typing.NamedTuple):
    text: bytes
    terms: messages.GenerationTerms
    is_streamed: bool


def _read_generation_body(body: bytes, problems: list[findings.Finding]) -> _GenerationBody | None:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        problems.append(findings.Finding("body", "is not JSON"))
        return None
    if not isinstance(content, dict):
        problems.append(findings.Finding("body", "is not a JSON object"))
        return None
    previous_problems = len(problems)
    prompt = _read_field(content, "prompt", str, None, problems)
    prefix = _read_field(content, "prefix", str, "", problems)
    max_tokens = _read_field(content, "max_tokens", int, None, problems)
    is_streamed = _read_field(content, "stream", bool, False, problems)
    if isinstance(max_tokens, int) and not 1 <= max_tokens <= MAX_TOKENS:
        problems.append(findings.Finding("body.max_tokens", f"is not from 1 to {MAX_TOKENS}"))
    if len(problems) > previous_problems:
        return None
    terms = messages.GenerationTerms("", prefix, max_tokens, "", 0, _NO_OLDEST_VERSION)
    return _GenerationBody(prompt.encode(), terms, is_streamed)


def _read_field(
    content: dict[str, typing.Any],
    name: str,
    expected_type: type,
    default: typing.Any,
    problems: list[findings.Finding],
) -> typing.Any:
    if name not in content and default is not None:
        return default
    value = content.get(name)
    if type(value) is not expected_type:
        problem = "is missing" if name not in content else f"is no {expected_type.__name__}"
        problems.append(findings.Finding(f"body.{name}", problem))
    return value
