"""Which weight versions made a text, as the engines themselves stated it."""

import dataclasses
import enum
import typing

import expression

from oleander_samples import steps

_NO_UNSTATED_VERSION = -1


class LabelFault(enum.Enum):
    """Why a label can't be known."""

    UNSTATED = "unstated"
    """An engine did not say what made some tokens, and nobody else knows."""
    UNSETTLED = "unsettled"
    """The engine's version changed, or may have, while it made unstated tokens."""
    CONTRADICTION = "contradiction"
    """Two statements about the same tokens differ, or one makes no sense."""
    EMPTY = "empty"
    """No tokens were stated at all."""


@dataclasses.dataclass(slots=True, frozen=True)
class LabelError:
    """A label that can't be known; what it belongs to must be thrown away."""

    fault: LabelFault
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Assumption:
    """What was read from an engine around a generation of which it stated no version."""

    before: int | None
    after: int | None
    has_pending_order: bool
    """Whether an order to change weights may have been under way in between."""


class LabelBuilder:
    """
    Collects the pieces of one generation, after those that it was resumed from.

    An assumption settles only pieces whose version the engine did not state, and only when it
    can't be wrong: both readings agree, no order was open, and no stated piece says otherwise.
    """

    def __init__(self, resumed: tuple[steps.LabelPart, ...] = ()) -> None:
        self._resumed = resumed
        self._pieces: list[tuple[int | None, int]] = []
        self._assumption: Assumption | None = None
        self._is_invalid = False

    @property
    def oldest_version(self) -> int | None:
        """The oldest version stated so far."""
        known = [part.version for part in self._resumed]
        known += [version for version, _ in self._pieces if version is not None]
        return min(known, default=None)

    @property
    def outdated_tokens(self) -> int:
        """How many tokens older weights made than the newest stated so far; 0 for one version."""
        known = [(part.version, part.tokens) for part in self._resumed]
        known += [(version, made) for version, made in self._pieces if version is not None]
        newest = max((version for version, _ in known), default=0)
        return sum(made for version, made in known if version < newest)

    def add(self, version: int | None, tokens: int) -> None:
        """Add tokens; neighbours of one version become one piece."""
        if tokens < 0 or (version is not None and version < 0):
            self._is_invalid = True
            return
        if tokens == 0:
            return
        if self._pieces and self._pieces[-1][0] == version:
            tokens += self._pieces.pop()[1]
        self._pieces.append((version, tokens))

    def set_assumption(
        self, before: int | None, after: int | None, has_pending_order: bool
    ) -> None:
        """State what was read from the engine before and after this generation."""
        self._assumption = Assumption(before, after, has_pending_order)

    def build(self) -> expression.Result[tuple[steps.LabelPart, ...], LabelError]:
        """Return the label, or why it can't be known; it is never guessed."""
        if self._is_invalid:
            return _reject(LabelFault.CONTRADICTION, "negative tokens or version")
        settled = self._resolve_unstated()
        if settled.is_error():
            return expression.Error(settled.error)
        parts = list(self._resumed)
        for version, tokens in self._pieces:
            _append_merged(parts, settled.ok if version is None else version, tokens)
        if not parts:
            return _reject(LabelFault.EMPTY, "no tokens were stated")
        return expression.Ok(tuple(parts))

    def _resolve_unstated(self) -> expression.Result[int, LabelError]:
        """Return the one version that can have made the unstated pieces."""
        versions = {version for version, _ in self._pieces}
        if None not in versions:
            return expression.Ok(_NO_UNSTATED_VERSION)
        assumption = self._assumption
        if assumption is None or assumption.before is None or assumption.after is None:
            return _reject(LabelFault.UNSTATED, "tokens without a stated version")
        if assumption.has_pending_order or assumption.before != assumption.after:
            return _reject(LabelFault.UNSETTLED, str(assumption))
        stated = versions - {None, assumption.before}
        if stated:
            detail = f"read {assumption.before}, but the stream said {stated}"
            return _reject(LabelFault.CONTRADICTION, detail)
        return expression.Ok(assumption.before)


def _append_merged(parts: list[steps.LabelPart], version: int, tokens: int) -> None:
    if parts and parts[-1].version == version:
        tokens += parts.pop().tokens
    parts.append(steps.LabelPart(version, tokens))


def _reject(fault: LabelFault, detail: str) -> expression.Result[typing.Any, LabelError]:
    return expression.Error(LabelError(fault, detail))
