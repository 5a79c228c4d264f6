"""Odd values of another writer, and records in which one field has such a value."""

import copy
import json

import cbor2

_MARK = "the odd value"
_JSON_VALUES = {
    "huge": "1" + "0" * 400,
    "infinite": "1e999",
    "nested": "[" * 900 + "]" * 900,
    "endlessly nested": "[" * 100_000 + "]" * 100_000,
    "of 5000 digits": "9" * 5000,
}
_TOML_VALUES = _JSON_VALUES | {
    "infinite": "inf",
    "not a number": "nan",
    "bytes of no text": "'\udcff'",
}
_CBOR_VALUES = {
    "huge": b"\xc2\x59\x4e\x20" + b"\xff" * 20_000,
    "infinite": b"\xf9\x7c\x00",
    "decimal": b"\xc4\x82\x1b\x7f" + b"\xff" * 7 + b"\x01",
    "cyclic": b"\xd8\x1c\x81\xd8\x1d\x00",
    "nested": b"\x81" * 380 + b"\x00",
    "far ahead": b"\x1b\x00\x0f" + b"\xff" * 6,
}


def _replace_field(content, place):
    """Return a copy in which the field at a dotted path holds the mark."""
    changed = copy.deepcopy(content)
    *parents, last = place.split(".")
    target = changed
    for parent in parents:
        target = target[int(parent) if parent.isdigit() else parent]
    target[int(last) if last.isdigit() else last] = _MARK
    return changed


def write_json(content, place="", value=""):
    """Return content as JSON, with one odd value if a place is named."""
    if not place:
        return json.dumps(content).encode()
    text = json.dumps(_replace_field(content, place))
    return text.replace(f'"{_MARK}"', _JSON_VALUES.get(value, value)).encode()


def write_cbor(content, place="", value=""):
    """Return content as CBOR, with one odd value if a place is named."""
    if not place:
        return cbor2.dumps(content)
    encoded = cbor2.dumps(_replace_field(content, place))
    return encoded.replace(cbor2.dumps(_MARK), _CBOR_VALUES[value])


def write_toml(content, place="", value=""):
    """Return a mapping of tables as TOML, with one odd value if a place is named."""
    changed = _replace_field(content, place) if place else content
    text = "\n".join(
        f"{name} = {json.dumps(field)}"
        if not isinstance(field, dict)
        else "\n".join(f"{name}.{inner} = {json.dumps(item)}" for inner, item in field.items())
        for name, field in changed.items()
    )
    text = text.replace(f'"{_MARK}"', _TOML_VALUES.get(value, value))
    return text.encode(errors="surrogateescape")
