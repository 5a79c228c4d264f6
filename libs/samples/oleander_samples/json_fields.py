"""Validates the fields of a JSON object and collects all problems with their paths."""

import json
import typing

import expression

from oleander_base import findings

MAX_SAFE_INTEGER = 2**53 - 1
"""The largest integer that every JSON library represents exactly."""
MAX_FINDINGS = 100
"""Maximum number of problems reported for one body."""


class FindingList:
    """The problems found so far; those beyond `MAX_FINDINGS` are dropped."""

    def __init__(self) -> None:
        self._items: list[findings.Finding] = []

    @property
    def is_empty(self) -> bool:
        """Whether no problem has been found."""
        return not self._items

    def add(self, place: str, problem: str, fix: str = "") -> None:
        """Add a problem, unless `MAX_FINDINGS` has been reached."""
        if len(self._items) < MAX_FINDINGS:
            self._items.append(findings.Finding(place, problem, fix))

    def extend(self, found: findings.Findings) -> None:
        """Add the problems that another reader found."""
        for item in found.items:
            self.add(item.place, item.problem, item.fix)

    def build(self) -> findings.Findings:
        """Return the collected problems as findings."""
        return findings.Findings(tuple(self._items))


class FieldReader:
    """
    Reads the fields of one JSON object.

    An invalid field adds a finding and is returned as a placeholder: the minimum for an integer,
    otherwise an empty value.
    """

    def __init__(self, content: dict[str, typing.Any], place: str, found: FindingList) -> None:
        self._content = content
        self._place = place
        self._found = found

    def has_field(self, name: str) -> bool:
        """Return whether the object has a field of this name, valid or not."""
        return name in self._content

    def read_integer(self, name: str, minimum: int, maximum: int = MAX_SAFE_INTEGER) -> int:
        """Return an integer from minimum to maximum, both included; the minimum if invalid."""
        value = self._content.get(name)
        if type(value) is not int:
            self._reject(name, "is not an integer", f"give one from {minimum} to {maximum}")
            return minimum
        if not minimum <= value <= maximum:
            self._reject(name, f"is not from {minimum} to {maximum}")
            return minimum
        return value

    def read_string(self, name: str, max_bytes: int) -> str:
        """Return a string of at most `max_bytes` in UTF-8; an empty one if invalid."""
        value = self._content.get(name)
        if not isinstance(value, str):
            self._reject(name, "is not a string")
            return ""
        size = _measure_utf8_bytes(value)
        if size is None:
            self._reject(name, "contains an unpaired surrogate", "send whole characters")
            return ""
        if size > max_bytes:
            self._reject(name, f"has {size} bytes, more than {max_bytes}")
            return ""
        return value

    def read_objects(self, name: str, max_entries: int) -> "list[FieldReader]":
        """
        Return a reader for each object of a list that must not be empty.

        Entries that are not objects add a finding and are left out.
        """
        value = self._content.get(name)
        if not isinstance(value, list) or not value:
            self._reject(name, "is not a non-empty list")
            return []
        if len(value) > max_entries:
            self._reject(name, f"has {len(value)} entries, more than {max_entries}")
            return []
        readers = [self._read_entry(item, f"{name}[{at}]") for at, item in enumerate(value)]
        return [reader for reader in readers if reader is not None]

    def _read_entry(self, item: object, place: str) -> "FieldReader | None":
        if isinstance(item, dict):
            return FieldReader(item, f"{self._place}{place}.", self._found)
        self._found.add(self._place + place, "is not an object")
        return None

    def _reject(self, name: str, problem: str, fix: str = "") -> None:
        missing = name not in self._content
        self._found.add(self._place + name, "is missing" if missing else problem, fix)


def parse_object(
    body: bytes, max_bytes: int
) -> expression.Result[dict[str, typing.Any], findings.Findings]:
    """Return the JSON object of a body of at most `max_bytes`, or why it can't be parsed."""
    if len(body) > max_bytes:
        return _reject_body(f"has {len(body)} bytes, more than {max_bytes}")
    try:
        content = json.loads(body.decode("utf-8"))
    except (ValueError, RecursionError) as error:
        return _reject_body(f"is not valid JSON in UTF-8: {str(error)[:100]}")
    if not isinstance(content, dict):
        return _reject_body("is not a JSON object")
    return expression.Ok(content)


def _reject_body(
    problem: str,
) -> expression.Result[dict[str, typing.Any], findings.Findings]:
    return expression.Error(findings.Findings((findings.Finding("body", problem),)))


def _measure_utf8_bytes(text: str) -> int | None:
    """Return the length of a text in UTF-8, or None if it contains an unpaired surrogate."""
    try:
        return len(text.encode("utf-8"))
    except UnicodeEncodeError:
        return None
