"""Interface to a model engine, which streams tokens and loads weight versions."""

import abc
import collections.abc
import dataclasses

import expression

from oleander_base import clock


@dataclasses.dataclass(slots=True, frozen=True)
class Generation:
    """A request to generate text; a resumed one continues after `resumed_text`."""

    request_id: str
    prompt: str
    prefix: str
    """Name of the prompt's shared prefix, for the engine's prefix cache; may be empty."""
    max_tokens: int
    priority: int
    """Lower values run first."""
    resumed_text: str
    resumed_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Chunk:
    """A piece of a generated text, produced by one weight version."""

    text: str
    tokens: int
    version: int | None
    """The weight version that produced it; None if the engine doesn't report it."""
    is_last: bool


@dataclasses.dataclass(slots=True, frozen=True)
class EngineError:
    """Why a call to the engine failed."""

    detail: str
    not_run: bool
    """Whether the call certainly had no effect, as it was not sent or the engine refused it."""
    retry_after_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLoad:
    """The load that the engine reports, which may be out of date."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class EngineVersion:
    """The state of the engine's weights."""

    version: int | None
    """The loaded version; None after a load that failed halfway."""
    is_loading: bool


@dataclasses.dataclass(slots=True, frozen=True)
class LoadOrder:
    """
    An order to load a weight version.

    `fencing` is the fencing token, the offset of the order's log record. An engine that checks it
    refuses an order with a lower token than one that it has seen.
    """

    model: str
    version: int
    fencing: int


class GenerationStream(abc.ABC):
    """The output of a running generation."""

    @abc.abstractmethod
    def __iter__(
        self,
    ) -> collections.abc.Iterator[expression.Result[Chunk, EngineError]]:
        """Yield chunks up to the last one, or up to a single error that ends the stream."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stop the generation at the engine; thread-safe."""


class Engine(abc.ABC):
    """The model engine that a sidecar serves."""

    @abc.abstractmethod
    def generate(
        self, generation: Generation, deadline: clock.Deadline
    ) -> expression.Result[GenerationStream, EngineError]:
        """Start a generation; the deadline applies to its whole stream."""

    @abc.abstractmethod
    def read_load(self, deadline: clock.Deadline) -> expression.Result[EngineLoad, EngineError]:
        """Return the engine's load report, which may be out of date."""

    @abc.abstractmethod
    def read_version(
        self, deadline: clock.Deadline
    ) -> expression.Result[EngineVersion, EngineError]:
        """Return the weight version that the engine has loaded now."""

    @abc.abstractmethod
    def load_version(
        self, order: LoadOrder, deadline: clock.Deadline
    ) -> expression.Result[EngineVersion, EngineError]:
        """Order the engine to load a weight version; blocks until it is loaded."""
