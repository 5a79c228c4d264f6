"""
The tokens of the engine stand-in.

Each is a function of the prompt and its position, so that receivers can check a text.
"""

import itertools
import re
import zlib

_LENGTH = re.compile(r"length=(\d{1,6})\b")
_TOKEN_VALUES = 100_000


def make_text(prompt: str, start: int, count: int, version: int | None = None) -> str:
    """Return the text of `count` tokens of a prompt's answer, marked with a version if given."""
    mark = "" if version is None else f"v{version}"
    return "".join(
        f"{_make_token(prompt, position)}{mark} " for position in range(start, start + count)
    )


def read_marks(text: str) -> list[tuple[int, int]]:
    """Return the versions in a marked text as runs of (version, number of tokens)."""
    versions = [int(item.partition("v")[2]) for item in text.split()]
    return [(version, len(list(run))) for version, run in itertools.groupby(versions)]


def remove_marks(text: str) -> str:
    """Return a marked text without the versions in it."""
    return "".join(f"{item.partition('v')[0]} " for item in text.split())


def read_length(prompt: str, max_tokens: int) -> int:
    """Return the length of an answer in tokens: N if the prompt has `length=N`, else the limit."""
    found = _LENGTH.search(prompt)
    return int(found.group(1)) if found else max_tokens


def _make_token(prompt: str, position: int) -> str:
    return str(zlib.crc32(f"{prompt}|{position}".encode()) % _TOKEN_VALUES)
