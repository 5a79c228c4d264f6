"""The compact notation for sets of sample numbers, such as `0-5,9`."""

import collections.abc
import re

import expression

from oleander_base import findings

_PLACE = "held"
_PART = re.compile(r"(\d{1,9})(?:-(\d{1,9}))?", re.ASCII)
_MAX_QUOTED_CHARACTERS = 40


def parse_numbers(text: str, total: int) -> expression.Result[frozenset[int], findings.Findings]:
    """
    Return the sample numbers of a text, all of which must be below `total`.

    Numbers and ranges must ascend without overlap. Overlapping ranges could make a short text
    expand to far more than `total` numbers.
    """
    numbers: set[int] = set()
    lowest = 0
    for part in text.split(",") if text else ():
        match = _PART.fullmatch(part)
        if match is None:
            return _reject(part, "is not a number or range", "write for example 0-5,9")
        first = int(match[1])
        last = int(match[2] or first)
        if first < lowest or last < first:
            return _reject(part, "is not in ascending order", "sort the numbers, without overlaps")
        if last >= total:
            return _reject(part, f"is outside 0-{total - 1}", "list only samples of this step")
        numbers.update(range(first, last + 1))
        lowest = last + 1
    return expression.Ok(frozenset(numbers))


def format_numbers(numbers: collections.abc.Iterable[int]) -> str:
    """Return the compact notation of a set of sample numbers."""
    parts: list[list[int]] = []
    for number in sorted(numbers):
        if parts and number == parts[-1][1] + 1:
            parts[-1][1] = number
        else:
            parts.append([number, number])
    return ",".join(str(low) if low == high else f"{low}-{high}" for low, high in parts)


def _reject(
    part: str, problem: str, fix: str
) -> expression.Result[frozenset[int], findings.Findings]:
    finding = findings.Finding(_PLACE, f"{part[:_MAX_QUOTED_CHARACTERS]!r} {problem}", fix)
    return expression.Error(findings.Findings((finding,)))
