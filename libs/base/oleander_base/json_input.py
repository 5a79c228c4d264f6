"""Validation of JSON objects from other systems; errors are collected with their locations."""

import base64
import json
import math
import re
import typing

from oleander_base import findings

MAX_INTEGER = 2**53 - 1
"""The largest integer that is exact in any JSON library (RFC 7493). A larger one raises
OverflowError later, where it is divided or becomes a time."""
MAX_NESTING = 300
"""Most levels of a value that is sent on; 400 levels are rejected as CBOR."""
_CUT_LEVELS = MAX_NESTING + 50
"""More than `MAX_NESTING` in a value, with what stands around it; the parser reads some 900."""
_MAX_REPORTED = 10
_SURROGATE = re.compile("[\ud800-\udfff]")
_TEXT_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_OPENING = (b"[", b"{")
_CLOSING = (b"]", b"}")


class ObjectReader:
    """
    Reads typed fields of a JSON object.

    A field that is missing or has another type is recorded as a finding and read as an empty
    value, so that one pass finds all errors. The values are valid only if `found` is empty.
    """

    def __init__(
        self, place: str, content: typing.Any, found: list[findings.Finding] | None = None
    ) -> None:
        """Read a parsed value; pass `found` to add to the findings of another reader."""
        self._place = place
        self._found = [] if found is None else found
        self._content: dict[str, typing.Any] = {}
        if isinstance(content, dict):
            self._content = content
        else:
            self._found.append(findings.Finding(place, "is no object"))

    @property
    def found(self) -> findings.Findings:
        """The findings so far, at most ten."""
        return findings.Findings(tuple(self._found[:_MAX_REPORTED]))

    @property
    def is_valid(self) -> bool:
        """Whether there are no findings so far."""
        return not self._found

    def has_field(self, name: str) -> bool:
        """Tell whether a field is present and not null."""
        return self._content.get(name) is not None

    def take_count(self, name: str) -> int:
        """Return an integer from 0 to `MAX_INTEGER`; 0 and a finding for anything else."""
        value = self._content.get(name)
        if is_count(value):
            return typing.cast(int, value)
        is_large = type(value) is int and value > 0
        self.reject(name, "is too large" if is_large else "is no whole number from 0 on")
        return 0

    def take_optional_count(self, name: str) -> int | None:
        """Return an integer as `take_count` does, or None if the field is null or missing."""
        if self._content.get(name) is None:
            return None
        return self.take_count(name)

    def take_optional_number(self, name: str) -> float | None:
        """Return a number from 0 to `MAX_INTEGER`, or None if the field is null or missing."""
        value = self._content.get(name)
        if value is None:
            return None
        if is_number(value):
            return float(value)
        self.reject(name, f"is no number from 0 to {MAX_INTEGER}")
        return None

    def take_text(self, name: str) -> str:
        """
        Return a string without surrogates.

        JSON can escape half of a surrogate pair. Such a string can't be encoded as UTF-8, so it
        would raise an error later, where it is sent on.
        """
        value = self._content.get(name)
        if isinstance(value, str) and not _SURROGATE.search(value):
            return value
        self.reject(name, "is no text")
        return ""

    def take_optional_text(self, name: str) -> str:
        """Return a string, empty if the field is null or missing."""
        if self._content.get(name) is None:
            return ""
        return self.take_text(name)

    def take_texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings; a finding omits the value, which may be a secret."""
        value = self._content.get(name)
        if isinstance(value, list) and all(
            isinstance(item, str) and not _SURROGATE.search(item) for item in value
        ):
            return tuple(value)
        self.reject(name, "is no list of texts")
        return ()

    def take_base64(self, name: str) -> bytes:
        """Return the decoded bytes of a base64 string."""
        try:
            return base64.b64decode(self.take_text(name), validate=True)
        except ValueError:
            self.reject(name, "is not base64")
            return b""

    def take_flag(self, name: str) -> bool:
        """Return a boolean; false if the field is missing."""
        value = self._content.get(name, False)
        if isinstance(value, bool):
            return value
        self.reject(name, "is neither true nor false")
        return False

    def take_object_or_empty(self, name: str) -> dict[str, typing.Any]:
        """Return an object with unchecked fields; for other values an empty one, no finding."""
        value = self._content.get(name)
        return value if isinstance(value, dict) else {}

    def take_object(self, name: str) -> "ObjectReader":
        """Return a reader for an object."""
        value = self._content.get(name)
        return ObjectReader(f"{self._place}.{name}", value, self._found)

    def take_optional_objects(self, name: str) -> list["ObjectReader"]:
        """Return a reader per object of a list; none if the field is null or missing."""
        return [] if self._content.get(name) is None else self.take_objects(name)

    def take_objects(self, name: str) -> list["ObjectReader"]:
        """Return a reader per object of a list."""
        place = f"{self._place}.{name}"
        return [
            ObjectReader(f"{place}[{index}]", item, self._found)
            for index, item in enumerate(self.take_list(name))
        ]

    def take_list(self, name: str) -> list[typing.Any]:
        """Return a list of unchecked values."""
        value = self._content.get(name)
        if isinstance(value, list):
            return value
        self.reject(name, "is no list")
        return []

    def reject(self, name: str, problem: str) -> None:
        """Record a finding about a field."""
        self._found.append(findings.Finding(f"{self._place}.{name}", problem))


def is_count(value: typing.Any) -> bool:
    """Return whether a parsed value is an integer from 0 to `MAX_INTEGER`."""
    return type(value) is int and 0 <= value <= MAX_INTEGER


def is_number(value: typing.Any) -> bool:
    """Return whether a parsed value is a finite number from 0 to `MAX_INTEGER`."""
    return is_count(value) or (
        isinstance(value, float) and math.isfinite(value) and 0 <= value <= MAX_INTEGER
    )


def can_be_sent_on(value: typing.Any) -> bool:
    """Return whether a parsed value has no surrogates and at most `MAX_NESTING` levels."""
    level = [value]
    for _ in range(MAX_NESTING + 1):
        texts = [item for item in level if isinstance(item, str)]
        if any(map(_SURROGATE.search, texts)):
            return False
        level = [part for item in level for part in _list_parts(item)]
        if not level:
            return True
    return False


def _list_parts(value: typing.Any) -> list[typing.Any]:
    if isinstance(value, dict):
        return [*value.keys(), *value.values()]
    return value if isinstance(value, list) else []


def read_object_of_values(place: str, body: bytes) -> ObjectReader:
    """
    Parse a body that contains values of several writers as a JSON object.

    What the parser can't read because it is nested too deep becomes null, and the values beside it
    are read.
    """
    try:
        return ObjectReader(place, json.loads(body))
    except RecursionError:
        return read_object(place, _cut_nested(body))
    except ValueError:
        return read_object(place, body)


def _cut_nested(body: bytes) -> bytes:
    """Replace what has `_CUT_LEVELS` levels above it by null."""
    kept = []
    depth = kept_to = 0
    for token in _TEXT_OR_BRACKET.finditer(body):
        if token[0] in _OPENING:
            depth += 1
            if depth == _CUT_LEVELS + 1:
                kept += [body[kept_to : token.start()], b"null"]
        elif token[0] in _CLOSING:
            if depth == _CUT_LEVELS + 1:
                kept_to = token.end()
            depth -= 1
    return b"".join([*kept, body[kept_to:]])


def read_object(place: str, body: bytes) -> ObjectReader:
    """Parse a body as a JSON object; a syntax error becomes a finding of the reader."""
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        found = [findings.Finding(place, f"is not JSON: {type(error).__name__}")]
        return ObjectReader(place, {}, found)
    return ObjectReader(place, content)
