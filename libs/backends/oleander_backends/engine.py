"""A model engine: streams tokens, takes orders to change its weights."""

import abc
import collections.abc
import dataclasses

import expression

from oleander_base import clock


@dataclasses.dataclass(slots=True, frozen=True)
class Generation:
    """A request to generate; a resumed one starts after the tokens it already has."""

    request_id: str
    prompt: str
    prefix: str
    """Names the shared start of the prompt, for the engine's prefix cache; may be empty."""
    max_tokens: int
    priority: int
    """Lower goes first."""
    resumed_text: str
    resumed_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Chunk:
    """Tokens that one weight version produced."""

    text: str
    tokens: int
    version: int | None
    """The weight version that produced them, or nothing where the engine does not say."""
    is_last: bool


@dataclasses.dataclass(slots=True, frozen=True)
class EngineError:
    """A call that failed."""

    detail: str
    not_run: bool
    """Whether the engine said that it did nothing."""
    retry_after_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLoad:
    """What the engine says of its load, some time ago."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class EngineVersion:
    """What the engine says of its weights, now."""

    version: int | None
    """The version that is loaded whole, or nothing after a load that failed midway."""
    is_loading: bool


@dataclasses.dataclass(slots=True, frozen=True)
class LoadOrder:
    """An order to change weights; the fencing number is the offset of its log record."""

    model: str
    version: int
    fencing: int


class GenerationStream(abc.ABC):
    """The tokens of one running generation."""

    @abc.abstractmethod
    def __iter__(
        self,
    ) -> collections.abc.Iterator[expression.Result[Chunk, EngineError]]:
        """Yield chunks until the last one, or one error."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stop the generation at the engine; may be called from another thread."""


class Engine(abc.ABC):
    """The model engine beside a sidecar."""

    @abc.abstractmethod
    def generate(
        self, generation: Generation, deadline: clock.Deadline
    ) -> expression.Result[GenerationStream, EngineError]:
        """Start a generation."""

    @abc.abstractmethod
    def read_load(self, deadline: clock.Deadline) -> expression.Result[EngineLoad, EngineError]:
        """Return the load report, which lags."""

    @abc.abstractmethod
    def read_version(
        self, deadline: clock.Deadline
    ) -> expression.Result[EngineVersion, EngineError]:
        """Return the weights that the engine runs now."""

    @abc.abstractmethod
    def load_version(
        self, order: LoadOrder, deadline: clock.Deadline
    ) -> expression.Result[EngineVersion, EngineError]:
        """Order the engine to change its weights; returns once they are loaded."""
