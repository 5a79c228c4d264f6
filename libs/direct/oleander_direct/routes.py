"""Which backend a request goes to, as the operator's newest configuration says."""

import dataclasses
import enum
import random

from oleander_base import identifiers
from oleander_direct import organisations


class RouteKind(enum.Enum):
    """What may be done with a route's requests."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    """Runs at most once for each request id."""
    STREAM = "stream"
    BATCH = "batch"


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """A backend's part of a route's requests."""

    backend: str
    weight: int


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """How requests of a host and path are handled."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    """The longest that the operator wants a caller kept waiting."""
    target_latency_ms: int
    priority: int
    """0 is the most urgent."""
    shares: tuple[Share, ...]
    max_servers: int
    """To so many servers one request may be sent."""
    is_resumable: bool
    is_single_version: bool
    """Whether one weight version must make the whole of a text."""
    due_ms: int
    """A batch is worth most when its results are there so long after it was handed in."""
    retention_ms: int
    """An item of a batch may be given up so long after it was handed in."""
    is_public: bool = False
    """Whether requests need no key."""

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in {RouteKind.IDEMPOTENT, RouteKind.BATCH} or self.is_resumable

    def pick_backend(self, source: random.Random) -> str:
        """Return a backend by the shares, or an empty text where there is none."""
        usable = [share for share in self.shares if share.weight > 0]
        if not usable:
            return ""
        return source.choices(usable, [share.weight for share in usable])[0].backend

    def pick_backend_by_key(self, key: str) -> str:
        """Return a backend by the shares, the same for a key in every process."""
        return self.pick_backend(random.Random(identifiers.hash_text(key)))


@dataclasses.dataclass(slots=True, frozen=True)
class Backend:
    """A named group of servers."""

    name: str
    models: tuple[str, ...]
    """The models of its engines; empty for a plain service."""
    event_tokens: int
    """How many tokens an event of a stream has, but for the last."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """What a client may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    idle_timeout_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class RouteTable:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    backends: tuple[Backend, ...]
    limits: Limits
    keys: organisations.KeyRing | None = None
    """Nothing where the configuration has no organisations, and nobody needs a key."""

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        matching = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        return max(matching, key=lambda route: len(route.path_prefix), default=None)

    def find_backend(self, name: str) -> Backend | None:
        """Return a backend."""
        return next((item for item in self.backends if item.name == name), None)

    def requires_single_version(self, backend: str) -> bool:
        """Tell whether any route of a backend wants texts of one version."""
        return any(
            route.is_single_version and any(share.backend == backend for share in route.shares)
            for route in self.routes
        )
