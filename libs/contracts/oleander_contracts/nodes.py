"""A common interface to YAML and JSON documents: nodes with their source locations."""

import abc
import dataclasses
import re
import typing

import ruamel.yaml

_TAG_PREFIX = "tag:yaml.org,2002:"
_DECIMAL_INTEGER = re.compile(r"[-+]?[0-9]{1,18}", re.ASCII)


@dataclasses.dataclass(slots=True, frozen=True)
class UnsupportedScalar:
    """A scalar of an unsupported type, or a node that is not a scalar."""

    text: str


Scalar = int | bool | str | UnsupportedScalar | None


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """One field of a mapping."""

    name: str
    place: str
    node: "Node"


class Node(abc.ABC):
    """
    A mapping, a list or a scalar with its location.

    Children are created on access, so neither deep nesting nor a self-reference (YAML alias) has
    a cost: nodes that no field asks for are never visited.
    """

    @property
    @abc.abstractmethod
    def place(self) -> str:
        """The location of the node, for a finding."""

    @property
    @abc.abstractmethod
    def is_handwritten(self) -> bool:
        """Whether a person wrote the document, so that an unknown field is probably a typo."""

    @abc.abstractmethod
    def describe_field(self, name: str) -> str:
        """Return the location at which to report a field that is missing from this mapping."""

    @abc.abstractmethod
    def list_entries(self) -> tuple[Entry, ...] | None:
        """Return the fields of a mapping in order, with duplicates; None for other nodes."""

    @abc.abstractmethod
    def list_items(self) -> tuple["Node", ...] | None:
        """Return the items of a list; None if it is not a list."""

    @abc.abstractmethod
    def read_scalar(self) -> Scalar:
        """Return the value of a scalar, or UnsupportedScalar if its type is unknown."""


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


class JsonNode(Node):
    """A node of a JSON document; its location is its path, such as operations[0].name."""

    def __init__(self, value: typing.Any, path: str = "") -> None:
        self._value = value
        self._path = path

    @property
    def place(self) -> str:
        """The path from the root, or "document" for the root itself."""
        return self._path or "document"

    @property
    def is_handwritten(self) -> bool:
        """False: a program wrote the document, maybe one of a later release with more fields."""
        return False

    def describe_field(self, name: str) -> str:
        """Return the path that the field would have."""
        return _join_path(self._path, name)

    def list_entries(self) -> tuple[Entry, ...] | None:
        """Return the fields of an object; None if it is not an object."""
        if not isinstance(self._value, dict):
            return None
        return tuple(self._make_entry(str(key), value) for key, value in self._value.items())

    def list_items(self) -> tuple[Node, ...] | None:
        """Return the items of an array; None if it is not an array."""
        if not isinstance(self._value, list):
            return None
        return tuple(
            JsonNode(value, f"{self._path}[{number}]") for number, value in enumerate(self._value)
        )

    def read_scalar(self) -> Scalar:
        """Return null, an integer, a boolean or a string unchanged."""
        if self._value is None or isinstance(self._value, int | bool | str):
            return self._value
        return UnsupportedScalar(type(self._value).__name__)

    def _make_entry(self, name: str, value: typing.Any) -> Entry:
        path = _join_path(self._path, name)
        return Entry(name, path, JsonNode(value, path))


class YamlNode(Node):
    """A node of a YAML text; its location is source, line, column and path."""

    def __init__(self, node: ruamel.yaml.Node, source: str, path: str = "") -> None:
        self._node = node
        self._source = source
        self._path = path
        self._mark = node.start_mark

    @property
    def place(self) -> str:
        """The source, line and column at which the node starts, and its path."""
        return f"{_describe_mark(self._mark, self._source)} {self._path}".rstrip()

    @property
    def is_handwritten(self) -> bool:
        """True: YAML contracts are written by hand."""
        return True

    def describe_field(self, name: str) -> str:
        """Return the location of the mapping with the path that the field would have."""
        return f"{_describe_mark(self._mark, self._source)} {_join_path(self._path, name)}"

    def list_entries(self) -> tuple[Entry, ...] | None:
        """Return the fields of a mapping, with duplicates; None if it is not a mapping."""
        if not isinstance(self._node, ruamel.yaml.MappingNode):
            return None
        return tuple(self._make_entry(key, value) for key, value in self._node.value)

    def list_items(self) -> tuple[Node, ...] | None:
        """Return the items of a sequence; None if it is not a sequence."""
        if not isinstance(self._node, ruamel.yaml.SequenceNode):
            return None
        return tuple(
            YamlNode(item, self._source, f"{self._path}[{number}]")
            for number, item in enumerate(self._node.value)
        )

    def read_scalar(self) -> Scalar:
        """Return the value of a scalar; integers are decimal, of at most 18 digits."""
        if not isinstance(self._node, ruamel.yaml.ScalarNode):
            return UnsupportedScalar(type(self._node).__name__.removesuffix("Node").lower())
        text = str(self._node.value)
        tag = str(self._node.tag).removeprefix(_TAG_PREFIX)
        if tag == "str":
            return text
        if tag == "bool":
            return text.lower() == "true"
        if tag == "null":
            return None
        if tag == "int" and _DECIMAL_INTEGER.fullmatch(text):
            return int(text)
        return UnsupportedScalar(text)

    def _make_entry(self, key: ruamel.yaml.Node, value: ruamel.yaml.Node) -> Entry:
        name = str(key.value) if isinstance(key, ruamel.yaml.ScalarNode) else "?"
        path = _join_path(self._path, name)
        node = YamlNode(value, self._source, path)
        if value.value == "":
            # The parser gives an empty value the location of the next token, often another line.
            node._mark = key.start_mark
        return Entry(name, f"{_describe_mark(key.start_mark, self._source)} {path}", node)


def _describe_mark(mark: ruamel.yaml.error.StringMark, source: str) -> str:
    return f"{source}:{mark.line + 1}:{mark.column + 1}"
