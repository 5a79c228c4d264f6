"""The backend servers that an entry calls itself, without a sidecar beside them."""

import abc
import collections.abc
import dataclasses

import expression

from oleander_base import clock

FAILED_STATUS = 500
"""Of a server that ran a request and failed; other errors tell of the way to it or of its time."""


@dataclasses.dataclass(slots=True, frozen=True)
class ModelVersion:
    """Weights that a server states to have loaded."""

    model: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Server:
    """One incarnation of a backend server, as it describes itself in the platform's list."""

    server_id: str
    started_ms: int
    """When it started, by its own clock; tells incarnations of one id apart."""
    backend: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    models: tuple[ModelVersion, ...]

    @property
    def incarnation(self) -> str:
        """A name for this run of the server."""
        return f"{self.server_id}/{self.started_ms}"

    def find_version(self, model: str) -> int | None:
        """Return the version that it has of a model."""
        return next((item.version for item in self.models if item.model == model), None)


@dataclasses.dataclass(slots=True, frozen=True)
class CallRequest:
    """A request of a caller, passed on as it came."""

    request_id: str
    host: str
    method: str
    target: str
    """Path and query, byte for byte as received."""
    headers: tuple[tuple[str, str], ...]
    body: bytes
    may_repeat: bool
    organisation: str = ""
    """On whose behalf it runs; empty where there is none."""
    priority: int | None = None
    """Goes before the priority of the route."""


@dataclasses.dataclass(slots=True, frozen=True)
class CallAnswer:
    """A whole answer that the server gave to this very request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    did_not_run: bool
    """Whether the server stated that it did nothing."""
    is_wrong_server: bool
    """Whether another server has the address now; it did nothing."""
    stamp: str
    """The server's proof that it ran the request; empty where it gave none."""

    @property
    def is_success(self) -> bool:
        """Whether the request succeeded."""
        return 200 <= self.status < 300


@dataclasses.dataclass(slots=True, frozen=True)
class CallFailure:
    """There is no usable answer."""

    detail: str
    was_sent: bool
    """Whether the server may have run the request."""
    was_cancelled: bool = False
    server_ended: bool = False
    """Whether the server broke off and takes no more connections."""


@dataclasses.dataclass(slots=True, frozen=True)
class GenerateRequest:
    """A sample to generate; a resumed one goes on after the events it already has."""

    call: CallRequest
    resumed_events: int
    urgency: int
    """From 0, the first, to 9."""


@dataclasses.dataclass(slots=True, frozen=True)
class GeneratedEvent:
    """One event of a stream, or its end."""

    text: str
    version: int | None
    """The weight version that made it, or nothing where the server did not say."""
    is_end: bool = False


class EventStream(abc.ABC):
    """The events of a generation; read by one thread."""

    @abc.abstractmethod
    def read_event(self) -> expression.Result[GeneratedEvent, CallFailure]:
        """Return the next event; the end is stated only where the whole stream was read."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection; a server that is still at work stops."""


@dataclasses.dataclass(slots=True, frozen=True)
class VersionOrder:
    """An order to load weights."""

    model: str
    version: int
    keeps_requests_running: bool
    """Whether what runs goes on under the new weights; else it ends first."""
    holder: str
    fencing_token: int
    accepted_orders: int
    """The order has effect only while the server has accepted just so many."""


@dataclasses.dataclass(slots=True, frozen=True)
class EngineState:
    """What an engine says of itself when asked; some hundred milliseconds old."""

    models: tuple[ModelVersion, ...]
    is_loading: bool
    accepted_orders: int
    """How many orders it has accepted; an order states it, so that a late one has no effect."""

    def find_version(self, model: str) -> int | None:
        """Return the version that it has of a model."""
        return next((item.version for item in self.models if item.model == model), None)


@dataclasses.dataclass(slots=True, frozen=True)
class OrderAccepted:
    """The server carries it out, or has done so."""

    is_done: bool


@dataclasses.dataclass(slots=True, frozen=True)
class OrderRefused:
    """The server did nothing and will do nothing."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class OrderUnknown:
    """The server may carry it out, now or later."""

    detail: str


OrderOutcome = OrderAccepted | OrderRefused | OrderUnknown


class ServerCaller(abc.ABC):
    """Reaches backend servers; an answer of another request or server never passes for this."""

    @abc.abstractmethod
    def call(
        self,
        server: Server,
        request: CallRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> expression.Result[CallAnswer, CallFailure]:
        """Send a request and return its whole answer."""

    @abc.abstractmethod
    def generate(
        self,
        server: Server,
        request: GenerateRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> expression.Result[EventStream | CallAnswer, CallFailure]:
        """Start a generation; an answer without events is returned as it is."""

    @abc.abstractmethod
    def read_state(
        self, server: Server, deadline: clock.Deadline
    ) -> expression.Result[EngineState, CallFailure]:
        """Ask an engine for its state."""

    @abc.abstractmethod
    def order(self, server: Server, order: VersionOrder, deadline: clock.Deadline) -> OrderOutcome:
        """Order a server to load weights."""

    @abc.abstractmethod
    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that is gone."""
