"""JSON objects from outside: every field is checked, faults are collected with their places."""

import base64
import json
import re
import typing

from oleander_base import findings

_MAX_REPORTED = 10
_SURROGATE = re.compile("[\ud800-\udfff]")


class ObjectReader:
    """
    Takes typed fields out of a JSON object.

    A field that is missing or of another type is noted and read as an empty value, so that one
    pass finds all faults; use the values only where `found` is empty.
    """

    def __init__(
        self, place: str, content: typing.Any, found: list[findings.Finding] | None = None
    ) -> None:
        """Read a parsed value; readers of one input may share their findings."""
        self._place = place
        self._found = [] if found is None else found
        self._content: dict[str, typing.Any] = {}
        if isinstance(content, dict):
            self._content = content
        else:
            self._found.append(findings.Finding(place, "is no object"))

    @property
    def found(self) -> findings.Findings:
        """The faults so far."""
        return findings.Findings(tuple(self._found[:_MAX_REPORTED]))

    @property
    def is_valid(self) -> bool:
        """Whether there are no faults so far."""
        return not self._found

    def has_field(self, name: str) -> bool:
        """Tell whether a field is there and not null."""
        return self._content.get(name) is not None

    def take_count(self, name: str) -> int:
        """Return a whole number that is not negative."""
        value = self._content.get(name)
        if type(value) is int and value >= 0:
            return value
        self.reject(name, "is no whole number from 0 on")
        return 0

    def take_optional_count(self, name: str) -> int | None:
        """Return a whole number that is not negative, or nothing where it is null or missing."""
        if self._content.get(name) is None:
            return None
        return self.take_count(name)

    def take_optional_number(self, name: str) -> float | None:
        """Return a number that is not negative, or nothing where it is null or missing."""
        value = self._content.get(name)
        if value is None:
            return None
        if isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0:
            return float(value)
        self.reject(name, "is no number from 0 on")
        return None

    def take_text(self, name: str) -> str:
        """
        Return a text.

        JSON can escape half of a surrogate pair; such a text can't be encoded again, so that
        sending it on would raise far from here.
        """
        value = self._content.get(name)
        if isinstance(value, str) and not _SURROGATE.search(value):
            return value
        self.reject(name, "is no text")
        return ""

    def take_optional_text(self, name: str) -> str:
        """Return a text, or an empty one where it is null or missing."""
        if self._content.get(name) is None:
            return ""
        return self.take_text(name)

    def take_texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts; a fault names no value, which may be a secret."""
        value = self._content.get(name)
        if isinstance(value, list) and all(
            isinstance(item, str) and not _SURROGATE.search(item) for item in value
        ):
            return tuple(value)
        self.reject(name, "is no list of texts")
        return ()

    def take_base64(self, name: str) -> bytes:
        """Return the bytes that a text encodes."""
        try:
            return base64.b64decode(self.take_text(name), validate=True)
        except ValueError:
            self.reject(name, "is not base64")
            return b""

    def take_flag(self, name: str) -> bool:
        """Return true or false; a missing field is false."""
        value = self._content.get(name, False)
        if isinstance(value, bool):
            return value
        self.reject(name, "is neither true nor false")
        return False

    def take_object_or_empty(self, name: str) -> dict[str, typing.Any]:
        """Return an object as it is; anything else is read as an empty one, and is no fault."""
        value = self._content.get(name)
        return value if isinstance(value, dict) else {}

    def take_object(self, name: str) -> "ObjectReader":
        """Return a reader for an object."""
        value = self._content.get(name)
        return ObjectReader(f"{self._place}.{name}", value, self._found)

    def take_optional_objects(self, name: str) -> list["ObjectReader"]:
        """Return a reader for each object of a list, none where it is null or missing."""
        return [] if self._content.get(name) is None else self.take_objects(name)

    def take_objects(self, name: str) -> list["ObjectReader"]:
        """Return a reader for each object of a list."""
        value = self._content.get(name)
        if not isinstance(value, list):
            self.reject(name, "is no list")
            return []
        place = f"{self._place}.{name}"
        return [
            ObjectReader(f"{place}[{index}]", item, self._found)
            for index, item in enumerate(value)
        ]

    def reject(self, name: str, problem: str) -> None:
        """Note a fault of a field."""
        self._found.append(findings.Finding(f"{self._place}.{name}", problem))


def read_object(place: str, body: bytes) -> ObjectReader:
    """Parse a body that should be one JSON object."""
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        found = [findings.Finding(place, f"is not JSON: {type(error).__name__}")]
        return ObjectReader(place, {}, found)
    return ObjectReader(place, content)
