"""Generations of the engine stand-in, what is true of them, and its prefix cache."""

import dataclasses
import threading
import typing

from oleander_standins import tokens

WAITING = "waiting"
RUNNING = "running"
FINISHED = "finished"
CANCELLED = "cancelled"
"""Also where the caller went away, and for a stream that was cut on request."""


@dataclasses.dataclass(slots=True)
class Generation:
    """One generation and the true versions of its tokens."""

    request_id: str
    prompt: str
    prefix: str
    length: int
    priority: int
    position: int
    """How many tokens are there, with those that the request brought along."""
    label: list[dict[str, int | None]]
    """The true versions of the tokens made here."""
    outcome: str
    run: int
    """Its place in the order of those that got a slot; 0 before that."""
    cancelled: threading.Event

    @property
    def left(self) -> int:
        """How many tokens are to be made."""
        return max(0, self.length - self.position)

    def add_tokens(self, version: int | None, count: int, marked: bool) -> str:
        """Make tokens with a version of the weights; return their text."""
        mark = version if marked else None
        text = tokens.make_text(self.prompt, self.position, count, mark)
        self.position += count
        if self.label and self.label[-1]["version"] == version:
            self.label[-1]["tokens"] = (self.label[-1]["tokens"] or 0) + count
        elif count:
            self.label.append({"version": version, "tokens": count})
        return text

    def describe(self) -> dict[str, typing.Any]:
        """Return what checks need to know."""
        made = sum(run["tokens"] or 0 for run in self.label)
        return {
            "label": self.label,
            "outcome": self.outcome,
            "tokens": made,
            "run": self.run,
        }


class PrefixCache:
    """Remembers the prefixes used last; the one not used for longest goes at the bound."""

    def __init__(self) -> None:
        self.hits = 0
        self.misses = 0
        self._prefixes: dict[str, None] = {}

    def use(self, prefix: str, most: int) -> bool:
        """Tell whether a prefix was there; it is afterwards."""
        hit = prefix in self._prefixes
        self._prefixes.pop(prefix, None)
        self._prefixes[prefix] = None
        while len(self._prefixes) > most:
            self._prefixes.pop(next(iter(self._prefixes)))
        self.hits += hit
        self.misses += not hit
        return hit

    def clear(self) -> None:
        """Forget all: other weights give other contents."""
        self._prefixes.clear()


def read_generation(content: dict[str, typing.Any]) -> Generation | None:
    """Return the generation that a request asks for, or nothing for a malformed request."""
    try:
        prompt = str(content["prompt"])
        return Generation(
            str(content["request_id"]),
            prompt,
            str(content.get("prefix", "")),
            tokens.read_length(prompt, int(content["max_tokens"])),
            int(content.get("priority", 0)),
            int(content.get("resumed_tokens", 0)),
            [],
            WAITING,
            0,
            threading.Event(),
        )
    except (KeyError, TypeError, ValueError):
        return None
