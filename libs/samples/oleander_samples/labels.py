"""Labels: the weight versions that generated each part of a text, as stated by the engines."""

import dataclasses
import enum
import typing

import expression

from oleander_samples import steps

_NO_UNSTATED_VERSION = -1


class LabelFault(enum.Enum):
    """Why a label can't be determined."""

    UNSTATED = "unstated"
    """Tokens lack a version, and the engine's was not read before and after the generation."""
    UNSETTLED = "unsettled"
    """Tokens lack a version, and the engine's version may have changed during the generation."""
    CONTRADICTION = "contradiction"
    """The stated versions disagree with those read from the engine, or a value is negative."""
    EMPTY = "empty"
    """The text has no tokens."""


@dataclasses.dataclass(slots=True, frozen=True)
class LabelError:
    """The reason why a label can't be determined; its text must be discarded."""

    fault: LabelFault
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Assumption:
    """An engine's weight version as read before and after a generation; None where unknown."""

    before: int | None
    after: int | None
    has_pending_order: bool
    """Whether an order to change weights may have been in progress between the two readings."""


class LabelBuilder:
    """
    Builds the label of a text from its stream and from the label that it was resumed from.

    An assumption supplies the version only of pieces for which the engine stated none, and only
    if it can't be wrong: both readings agree, no weight change was in progress, and no piece of
    this stream states another version.
    """

    def __init__(self, resumed: tuple[steps.LabelPart, ...] = ()) -> None:
        self._resumed = resumed
        self._pieces: list[tuple[int | None, int]] = []
        self._assumption: Assumption | None = None
        self._is_invalid = False

    @property
    def oldest_version(self) -> int | None:
        """The oldest version stated so far; None if none was stated."""
        known = [part.version for part in self._resumed]
        known += [version for version, _ in self._pieces if version is not None]
        return min(known, default=None)

    @property
    def versions(self) -> frozenset[int]:
        """All versions stated so far."""
        known = [part.version for part in self._resumed]
        known += [version for version, _ in self._pieces if version is not None]
        return frozenset(known)

    @property
    def outdated_tokens(self) -> int:
        """The number of tokens of older versions than the newest one stated so far."""
        known = [(part.version, part.tokens) for part in self._resumed]
        known += [(version, tokens) for version, tokens in self._pieces if version is not None]
        newest = max((version for version, _ in known), default=0)
        return sum(tokens for version, tokens in known if version < newest)

    def add(self, version: int | None, tokens: int) -> None:
        """Add the tokens of a piece, merging it with a preceding piece of the same version."""
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
        """Set the versions that were read from the engine before and after this generation."""
        self._assumption = Assumption(before, after, has_pending_order)

    def build(self) -> expression.Result[tuple[steps.LabelPart, ...], LabelError]:
        """Return the label, or why it can't be determined; it is never guessed."""
        if self._is_invalid:
            return _reject(LabelFault.CONTRADICTION, "a token count or a version is negative")
        settled = self._resolve_unstated()
        if settled.is_error():
            return expression.Error(settled.error)
        parts = list(self._resumed)
        for version, tokens in self._pieces:
            _append_merged(parts, settled.ok if version is None else version, tokens)
        if not parts:
            return _reject(LabelFault.EMPTY, "the text has no tokens")
        return expression.Ok(tuple(parts))

    def _resolve_unstated(self) -> expression.Result[int, LabelError]:
        """
        Return the version of all pieces for which the engine stated none.

        The result is `_NO_UNSTATED_VERSION` if there are no such pieces.
        """
        versions = {version for version, _ in self._pieces}
        if None not in versions:
            return expression.Ok(_NO_UNSTATED_VERSION)
        assumption = self._assumption
        if assumption is None or assumption.before is None or assumption.after is None:
            return _reject(LabelFault.UNSTATED, "tokens without a version")
        if assumption.has_pending_order or assumption.before != assumption.after:
            return _reject(LabelFault.UNSETTLED, str(assumption))
        stated = versions - {None, assumption.before}
        if stated:
            detail = f"the engine had version {assumption.before}, but the stream states {stated}"
            return _reject(LabelFault.CONTRADICTION, detail)
        return expression.Ok(assumption.before)


def _append_merged(parts: list[steps.LabelPart], version: int, tokens: int) -> None:
    if parts and parts[-1].version == version:
        tokens += parts.pop().tokens
    parts.append(steps.LabelPart(version, tokens))


def _reject(fault: LabelFault, detail: str) -> expression.Result[typing.Any, LabelError]:
    return expression.Error(LabelError(fault, detail))
