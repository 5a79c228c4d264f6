"""HTTP requests and answers as the entry's handlers see them."""

import collections.abc
import dataclasses
import json
import math
import typing

from oleander_base import findings

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
NDJSON_TYPE = "application/x-ndjson"


@dataclasses.dataclass(slots=True, frozen=True)
class HttpRequest:
    """One request, its body already read whole."""

    method: str
    target: str
    """Path and query as they were received."""
    path: tuple[str, ...]
    headers: dict[str, str]
    """Names in lower case."""
    body: bytes
    is_gone: collections.abc.Callable[[], bool]
    """Tells whether the client has closed the connection."""

    def find_header(self, name: str) -> str:
        """Return a header, or an empty text."""
        return self.headers.get(name.lower(), "")


@dataclasses.dataclass(slots=True, frozen=True)
class HttpAnswer:
    """One answer; the parts are sent as they come."""

    status: int
    content_type: str
    parts: collections.abc.Iterable[bytes]
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """An answer that is no success (RFC 9457)."""

    status: int
    title: str
    outcome: str
    reason: str
    retry_after_ms: int = 0
    faults: tuple[findings.Finding, ...] = ()


def answer_json(value: typing.Any, status: int = 200) -> HttpAnswer:
    """Return an answer with a JSON body."""
    return HttpAnswer(status, JSON_TYPE, [json.dumps(value).encode()])


def answer_problem(problem: Problem) -> HttpAnswer:
    """Return the problem document, with Retry-After where trying again can help."""
    content = {
        "type": f"urn:oleanderdeal:{problem.reason}",
        "title": problem.title,
        "status": problem.status,
        "detail": "; ".join(str(item) for item in problem.faults) or problem.title,
        "outcome": problem.outcome,
        "reason": problem.reason,
        "retry_after_ms": problem.retry_after_ms,
        "findings": [
            {"place": item.place, "problem": item.problem, "fix": item.fix}
            for item in problem.faults
        ],
    }
    headers: tuple[tuple[str, str], ...] = ()
    if problem.retry_after_ms > 0:
        headers = (("Retry-After", str(math.ceil(problem.retry_after_ms / 1000))),)
    return HttpAnswer(problem.status, PROBLEM_TYPE, [json.dumps(content).encode()], headers)


def answer_findings(found: findings.Findings) -> HttpAnswer:
    """Return all faults of an input in one answer; nothing was changed."""
    return answer_problem(
        Problem(400, "The request has faults.", "not-run", "bad-input", 0, found.items)
    )
