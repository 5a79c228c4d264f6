"""Encodes messages as CBOR frames and decodes them; unknown fields are ignored."""

import dataclasses
import enum
import types
import typing

import cbor2
import expression

from oleander_base import cbor_input, findings
from oleander_wire import messages

MAX_FRAME_BYTES = 4 * 1024 * 1024
_TYPE_FIELD = "type"


@dataclasses.dataclass(slots=True, frozen=True)
class _Field:
    name: str
    value_type: type
    is_optional: bool
    has_default: bool
    """Whether the field may be missing, since earlier releases don't send it."""


def _read_fields(message_type: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(message_type)
    return tuple(
        _describe_field(field, hints[field.name]) for field in dataclasses.fields(message_type)
    )


def _describe_field(field: "dataclasses.Field[typing.Any]", hint: typing.Any) -> _Field:
    has_default = field.default is not dataclasses.MISSING
    if isinstance(hint, types.UnionType):
        inner = next(item for item in typing.get_args(hint) if item is not type(None))
        return _Field(field.name, typing.get_origin(inner) or inner, True, has_default)
    return _Field(field.name, typing.get_origin(hint) or hint, False, has_default)


_TYPES: dict[str, type] = {item.__name__: item for item in typing.get_args(messages.Message)}
_FIELDS: dict[type, tuple[_Field, ...]] = {
    item: _read_fields(item)
    for item in (*_TYPES.values(), messages.GenerationTerms, messages.SampleId)
}


def encode_message(message: messages.Message) -> bytes:
    """Encode a message as a frame."""
    content = _encode_fields(message)
    content[_TYPE_FIELD] = type(message).__name__
    return cbor2.dumps(content)


def _encode_fields(value: typing.Any) -> dict[str, typing.Any]:
    return {
        field.name: _encode_value(getattr(value, field.name)) for field in _FIELDS[type(value)]
    }


def _encode_value(value: typing.Any) -> typing.Any:
    if isinstance(value, enum.Enum):
        return value.value
    if type(value) in _FIELDS:
        return _encode_fields(value)
    return value


def decode_message(
    frame: bytes | str,
) -> expression.Result[messages.Message, findings.Findings]:
    """Decode a frame; return all validation errors if it is not a valid message."""
    if isinstance(frame, str):
        return _reject("frame", "is text, not CBOR")
    decoded = cbor_input.load("frame", frame)
    if decoded.is_error():
        return expression.Error(findings.Findings((decoded.error,)))
    content = decoded.ok
    if not isinstance(content, dict):
        return _reject("frame", "is not a map")
    name = content.get(_TYPE_FIELD)
    message_type = _TYPES.get(name) if isinstance(name, str) else None
    if message_type is None:
        return _reject(_TYPE_FIELD, f"unknown message {str(name)[:40]!r}")
    found: list[findings.Finding] = []
    message = _decode_fields(message_type, content, name or "", found)
    if found:
        return expression.Error(findings.Findings(tuple(found)))
    return expression.Ok(typing.cast(messages.Message, message))


def _reject(place: str, problem: str) -> expression.Result[messages.Message, findings.Findings]:
    return expression.Error(findings.Findings((findings.Finding(place, problem),)))


def _decode_fields(
    message_type: type,
    content: dict[str, typing.Any],
    place: str,
    found: list[findings.Finding],
) -> typing.Any:
    values = {}
    before = len(found)
    for field in _FIELDS[message_type]:
        if field.name not in content:
            if field.has_default:
                continue
            found.append(findings.Finding(f"{place}.{field.name}", "is missing"))
            continue
        values[field.name] = _decode_value(field, content[field.name], place, found)
    return message_type(**values) if len(found) == before else None


def _decode_value(
    field: _Field, value: typing.Any, place: str, found: list[findings.Finding]
) -> typing.Any:
    where = f"{place}.{field.name}"
    if value is None and field.is_optional:
        return None
    if field.value_type in _FIELDS and isinstance(value, dict):
        return _decode_fields(field.value_type, value, where, found)
    if issubclass(field.value_type, enum.Enum):
        known = {item.value: item for item in field.value_type}
        if isinstance(value, str) and value in known:
            return known[value]
    elif field.value_type is int:
        if cbor_input.is_integer(value):
            return value
    elif type(value) is field.value_type:
        return value
    found.append(findings.Finding(where, f"is no {field.value_type.__name__}"))
    return None
