"""Validation of the fields of a mapping; errors are collected with their locations."""

import collections.abc
import dataclasses
import difflib
import typing

from oleander_base import findings
from oleander_contracts import names, nodes

_Choice = typing.TypeVar("_Choice")
_MAX_SHOWN_CHARACTERS = 40


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """The inclusive range of a number field."""

    low: int
    high: int


class FieldReader:
    """
    Reads the fields of one mapping.

    Every `read_` method adds a finding for an invalid field and still returns a value of its
    type, so that callers need no error branches. The values are valid only if `found` is empty.
    """

    def __init__(self, node: nodes.Node, found: list[findings.Finding]) -> None:
        self._node = node
        self._found = found
        self._known_names: list[str] = []
        self._entries: dict[str, nodes.Entry] = {}
        entries = node.list_entries()
        self._is_mapping = entries is not None
        if entries is None:
            found.append(findings.Finding(node.place, "is no mapping of fields"))
        for entry in entries or ():
            self._add_entry(entry)

    def find_place(self, name: str) -> str:
        """Return the location of a field, for a finding about its value."""
        if name in self._entries:
            return self._entries[name].node.place
        return self._node.describe_field(name)

    def read_integer(self, name: str, bounds: Bounds, default: int | None = None) -> int:
        """Return an integer within bounds; a field without a default is required."""
        node = self._find_node(name, default is None)
        if node is None:
            return default or 0
        value = node.read_scalar()
        # bool is a subclass of int, but true and false are not valid numbers.
        if not isinstance(value, int) or isinstance(value, bool):
            self._add_finding(node, f"is no whole number: {_format_value(value)}")
            return 0
        if not bounds.low <= value <= bounds.high:
            self._add_finding(node, f"{value} is outside {bounds.low} to {bounds.high}")
        return value

    def read_boolean(self, name: str, fix: str = "", default: bool | None = None) -> bool:
        """Return a boolean; a field without a default is required."""
        node = self._find_node(name, default is None, fix)
        if node is None:
            return default or False
        value = node.read_scalar()
        if isinstance(value, bool):
            return value
        self._add_finding(node, f"is neither true nor false: {_format_value(value)}", fix)
        return False

    def read_name(self, name: str, fix: str = "") -> str:
        """Return a required name (see `names`)."""
        node = self._find_node(name, True, fix)
        if node is None:
            return ""
        value = node.read_scalar()
        if isinstance(value, str) and names.is_name(value):
            return value
        self._add_finding(node, f"is no name: {_format_value(value)}", names.RULE)
        return ""

    def read_text(self, name: str, max_length: int, default: str | None = None) -> str:
        """Return a printable string of bounded length; a field without a default is required."""
        node = self._find_node(name, default is None)
        if node is None:
            return default or ""
        value = node.read_scalar()
        if isinstance(value, str) and len(value) <= max_length and value.isprintable():
            return value
        self._add_finding(
            node, f"is no printable text of at most {max_length} letters: {_format_value(value)}"
        )
        return ""

    def read_choice(self, name: str, choices: collections.abc.Mapping[str, _Choice]) -> _Choice:
        """Return the value for the field's word; the first value if the word is invalid."""
        first = next(iter(choices.values()))
        node = self._find_node(name, True)
        if node is None:
            return first
        value = node.read_scalar()
        if isinstance(value, str) and value in choices:
            return choices[value]
        self._add_finding(node, f"{_format_value(value)} is none of {', '.join(choices)}")
        return first

    def read_items(self, name: str, max_items: int, required: bool) -> tuple[nodes.Node, ...]:
        """Return the items of a list, at most `max_items`."""
        node = self._find_node(name, required)
        if node is None:
            return ()
        items = node.list_items()
        if items is None:
            self._add_finding(node, "is no list")
            return ()
        if len(items) > max_items:
            self._add_finding(node, f"has {len(items)} items, more than {max_items}")
        return items[:max_items]

    def read_node(self, name: str) -> nodes.Node | None:
        """Return a required field as a node, to be read by another reader."""
        return self._find_node(name, True)

    def report_unknown(self) -> None:
        """
        Add a finding for every field that no `read_` method asked for; call it last.

        Unknown fields are ignored in documents that a program wrote: a record with a field of a
        later release must get the same verdict from processes of both releases, or they would
        have different contracts in force.
        """
        if not self._node.is_handwritten:
            return
        for name, entry in self._entries.items():
            if name in self._known_names:
                continue
            nearest = difflib.get_close_matches(name, self._known_names, n=1)
            fix = (
                f"did you mean {nearest[0]}?"
                if nearest
                else f"known: {', '.join(self._known_names)}"
            )
            self._found.append(findings.Finding(entry.place, "is no known field", fix))

    def _add_entry(self, entry: nodes.Entry) -> None:
        if entry.name in self._entries:
            self._found.append(findings.Finding(entry.place, "stands here a second time"))
            return
        self._entries[entry.name] = entry

    def _find_node(self, name: str, required: bool, fix: str = "") -> nodes.Node | None:
        self._known_names.append(name)
        if name in self._entries:
            return self._entries[name].node
        if required and self._is_mapping:
            place = self._node.describe_field(name)
            self._found.append(findings.Finding(place, "is missing", fix))
        return None

    def _add_finding(self, node: nodes.Node, problem: str, fix: str = "") -> None:
        self._found.append(findings.Finding(node.place, problem, fix))


def _format_value(value: nodes.Scalar) -> str:
    if isinstance(value, nodes.UnsupportedScalar):
        return repr(value.text[:_MAX_SHOWN_CHARACTERS])
    return "empty" if value is None else repr(value)[:_MAX_SHOWN_CHARACTERS]
