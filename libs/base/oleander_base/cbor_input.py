"""Decoding of CBOR from other writers."""

import math
import typing

import cbor2
import expression

from oleander_base import findings

_INTEGERS = range(-(2**63), 2**64)
"""The integers that a log line and the encoder take as numbers."""
_LEAVES = (bool, str, bytes, type(None))


def decode(place: str, content: bytes) -> expression.Result[typing.Any, findings.Finding]:
    """
    Decode a record of plain lists, maps, texts, bytes and numbers; anything else is a finding.

    The decoder also builds what a tag asks for: dates, decimals, numbers of any size, a list that
    contains itself. Readers would fail on these later, where they convert, compare or log them.
    """
    loaded = load(place, content)
    if loaded.is_ok() and not _is_plain(loaded.ok, len(content)):
        return _reject(place, "is not made of plain lists, maps, texts, bytes and numbers")
    return loaded


def load(place: str, content: bytes) -> expression.Result[typing.Any, findings.Finding]:
    """Decode any CBOR; the caller checks the types of all values that it uses."""
    try:
        return expression.Ok(cbor2.loads(content))
    except Exception as error:  # the tags of decimals raise errors of other libraries
        return _reject(place, f"is not CBOR: {type(error).__name__}")


def is_integer(value: typing.Any) -> bool:
    """Return whether a value is an integer of at most 64 bits."""
    return type(value) is int and value in _INTEGERS


def _reject(place: str, problem: str) -> expression.Result[typing.Any, findings.Finding]:
    return expression.Error(findings.Finding(place, problem))


def _is_plain(value: typing.Any, size: int) -> bool:
    """Check a value of `size` encoded bytes, which has fewer parts unless it repeats some."""
    waiting = [value]
    parts = 0
    while waiting:
        item = waiting.pop()
        parts += 1
        if parts > size:
            return False
        if type(item) is list:
            waiting += item
        elif type(item) is dict:
            waiting += item.keys()
            waiting += item.values()
        elif not _is_leaf(item):
            return False
    return True


def _is_leaf(item: typing.Any) -> bool:
    if type(item) is int:
        return is_integer(item)
    if type(item) is float:
        return math.isfinite(item)
    return type(item) in _LEAVES
