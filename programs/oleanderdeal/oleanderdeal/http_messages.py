"""HTTP requests and answers, as `http_server` exchanges them with its handlers."""

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
    """A request whose body was read completely."""

    method: str
    target: str
    """Undecoded path and query string."""
    path: tuple[str, ...]
    headers: dict[str, str]
    """Values by header name; the names are in lower case."""
    body: bytes
    is_gone: collections.abc.Callable[[], bool]
    """Returns whether the client has closed the connection."""

    def find_header(self, name: str) -> str:
        """Return the value of a header, or '' if the request does not have it."""
        return self.headers.get(name.lower(), "")


@dataclasses.dataclass(slots=True, frozen=True)
class HttpAnswer:
    """An answer whose body parts are sent as soon as `parts` yields them."""

    status: int
    content_type: str
    parts: collections.abc.Iterable[bytes]
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """Content of a problem document (RFC 9457), for an answer that is not a success."""

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
    """
    Return an answer with the problem document.

    It has a Retry-After header, rounded up to seconds, if `retry_after_ms` is above 0.
    """
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
    """Return a 400 that lists all faults of an input; such a request has had no effect."""
    return answer_problem(
        Problem(400, "The request has faults.", "not-run", "bad-input", 0, found.items)
    )
