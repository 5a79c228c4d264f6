"""Backend servers that an entry calls directly, and the interface for calling them."""

import abc
import collections.abc
import dataclasses

import expression

from oleander_base import clock

REFUSAL_STATUSES = frozenset({408, 429, 503})
"""
HTTP statuses that callers take as a promise that their request did not run.

A server that answers with one of them may have run the request unless it states that it did not.
"""
FAILED_STATUS = 500
"""
The HTTP status of a server that ran a request and failed.

Other error statuses are about the connection to the server or about timeouts.
"""


def is_success_status(status: int) -> bool:
    """Return whether an HTTP status is in the 2xx range."""
    return 200 <= status < 300


@dataclasses.dataclass(slots=True, frozen=True)
class ModelVersion:
    """A weight version that a server reports as loaded."""

    model: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Server:
    """One incarnation of a backend server, as it describes itself in the platform's list."""

    server_id: str
    started_ms: int
    """When the server started, in milliseconds of its own clock; differs between incarnations."""
    backend: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    models: tuple[ModelVersion, ...]

    @property
    def incarnation(self) -> str:
        """The name of this incarnation: the server's id and its start time."""
        return f"{self.server_id}/{self.started_ms}"

    def find_version(self, model: str) -> int | None:
        """Return the loaded version of a model, or None if the server does not have the model."""
        return next((item.version for item in self.models if item.model == model), None)


@dataclasses.dataclass(slots=True, frozen=True)
class CallRequest:
    """A caller's request, which is forwarded unchanged."""

    request_id: str
    host: str
    method: str
    target: str
    """The path and query, byte for byte as received."""
    headers: tuple[tuple[str, str], ...]
    body: bytes
    may_repeat: bool
    organisation: str = ""
    """The organisation that the request is counted for; empty if there is none."""
    priority: int | None = None
    """Overrides the priority of the route; 0 is the most urgent."""


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerOrigin:
    """How an answer was received; logged, because it shows how an answer may have gone astray."""

    is_framed: bool = True
    """Whether the answer stated its end; otherwise the close of the connection ended it."""
    earlier_requests: int = 0
    """How many requests were sent on the connection before."""


@dataclasses.dataclass(slots=True, frozen=True)
class CallAnswer:
    """A complete answer of a server, verified to belong to this request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    did_not_run: bool
    """Whether the server stated that it did not run the request."""
    is_wrong_server: bool
    """Whether another server, which now has the address, answered without running the request."""
    stamp: str
    """The server's proof that it ran the request; empty if it sent none."""
    origin: AnswerOrigin = AnswerOrigin()

    @property
    def is_success(self) -> bool:
        """Whether the status is in the 2xx range."""
        return is_success_status(self.status)


@dataclasses.dataclass(slots=True, frozen=True)
class CallFailure:
    """Why an attempt returned no usable answer."""

    detail: str
    was_sent: bool
    """Whether the server may have run the request."""
    was_cancelled: bool = False
    server_ended: bool = False
    """Whether the server closed the connection early and accepts no new ones."""


@dataclasses.dataclass(slots=True, frozen=True)
class GenerateRequest:
    """A request to generate a sample, possibly resumed after events that were received before."""

    call: CallRequest
    resumed_events: int
    """The number of events received before; 0 for a new sample."""
    urgency: int
    """From 0, the most urgent, to 9."""


@dataclasses.dataclass(slots=True, frozen=True)
class GeneratedEvent:
    """One event of a generation's stream, or the end of the stream."""

    text: str
    version: int | None
    """The weight version that generated the text; None if the server did not state it."""
    is_end: bool = False


class EventStream(abc.ABC):
    """The events of a generation; must be read by one thread only."""

    @abc.abstractmethod
    def read_event(self) -> expression.Result[GeneratedEvent, CallFailure]:
        """Return the next event; `is_end` is set only if the whole stream was read."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection, which makes a server that is still generating stop."""


@dataclasses.dataclass(slots=True, frozen=True)
class VersionOrder:
    """An order to a server to load a weight version."""

    model: str
    version: int
    keeps_requests_running: bool
    """Whether running requests continue with the new weights; if not, they end before the load."""
    holder: str
    """The name of the process that holds the right to order this server."""
    fencing: int
    """The fencing token of the holder's lease, which is higher for each later holder."""
    accepted_orders: int
    """The order takes effect only if the server has accepted exactly this many orders before."""


@dataclasses.dataclass(slots=True, frozen=True)
class EngineState:
    """An engine's report of its own state, some hundred milliseconds old."""

    models: tuple[ModelVersion, ...]
    is_loading: bool
    accepted_orders: int
    """How many orders it has accepted; orders state this count, so a late order has no effect."""

    def find_version(self, model: str) -> int | None:
        """Return the loaded version of a model, or None if the server does not have the model."""
        return next((item.version for item in self.models if item.model == model), None)


@dataclasses.dataclass(slots=True, frozen=True)
class OrderTaken:
    """The server is carrying out the order or has done so."""

    is_done: bool


@dataclasses.dataclass(slots=True, frozen=True)
class OrderRefused:
    """The server refused the order and will not carry it out later."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class OrderUnknown:
    """The server did not confirm the order and may carry it out, now or later."""

    detail: str


OrderOutcome = OrderTaken | OrderRefused | OrderUnknown


class ServerCaller(abc.ABC):
    """
    The interface for calling backend servers.

    Implementations must detect answers that belong to another request or come from another
    server, and must not return them as answers to this request. A success without the server's
    stamp is a failure, too, and the request may have run.
    """

    @abc.abstractmethod
    def call(
        self,
        server: Server,
        request: CallRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> expression.Result[CallAnswer, CallFailure]:
        """Send a request and return the complete answer."""

    @abc.abstractmethod
    def generate(
        self,
        server: Server,
        request: GenerateRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> expression.Result[EventStream | CallAnswer, CallFailure]:
        """Start a generation and return its stream, or the answer if it is not a stream."""

    @abc.abstractmethod
    def read_state(
        self, server: Server, deadline: clock.Deadline
    ) -> expression.Result[EngineState, CallFailure]:
        """Return the state that an engine reports."""

    @abc.abstractmethod
    def order(self, server: Server, order: VersionOrder, deadline: clock.Deadline) -> OrderOutcome:
        """Send a server an order to load weights."""

    @abc.abstractmethod
    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to a server's address can be reused."""

    @abc.abstractmethod
    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that is gone."""
