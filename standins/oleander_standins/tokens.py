"""The tokens of the engine stand-in, which follow from the prompt alone, so callers can check."""

import re
import zlib

_LENGTH = re.compile(r"length=(\d{1,6})\b")
_TOKEN_VALUES = 100_000


def make_text(prompt: str, start: int, count: int) -> str:
    """Return the text of some tokens of a prompt's answer."""
    return "".join(_make_token(prompt, position) for position in range(start, start + count))


def read_length(prompt: str, max_tokens: int) -> int:
    """Return how many tokens the answer has: `length=N` in the prompt says so, or the limit."""
    found = _LENGTH.search(prompt)
    return int(found.group(1)) if found else max_tokens


def _make_token(prompt: str, position: int) -> str:
    return f"{zlib.crc32(f'{prompt}|{position}'.encode()) % _TOKEN_VALUES} "
