"""The weights of the engine stand-in: the version loaded and orders to load another one."""

import collections
import collections.abc
import dataclasses
import http.client
import threading
import time
import typing

from oleander_standins import client

_MAX_KEPT_ORDERS = 1000
_FETCH_TIMEOUT_SECONDS = 10.0
_STATUS_OK = 200
_STATUS_CONFLICT = 409
_STATUS_FAILED = 500
_STATUS_UNAVAILABLE = 503


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An order to load a version, with the fencing number of its sender."""

    model: str
    version: int
    fencing: int


@dataclasses.dataclass(slots=True, frozen=True)
class Faults:
    """Settings and faults that apply to one order."""

    checks_fencing: bool
    fails: bool
    load_seconds: float
    """How long the load takes, after the weights were fetched."""
    weights_url: str
    pause_halfway: collections.abc.Callable[[], None]


class Weights:
    """Carries out orders one at a time and keeps the newest thousand for tests."""

    def __init__(
        self,
        version: int | None,
        lock: threading.Condition,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._version = version
        self._lock = lock
        self._on_change = on_change
        self._is_loading = False
        self._fencing = 0
        self._turn = threading.Lock()
        self._orders: collections.deque[dict[str, typing.Any]] = collections.deque(
            maxlen=_MAX_KEPT_ORDERS
        )

    @property
    def version(self) -> int | None:
        """The version loaded, or None after a load that failed midway."""
        return self._version

    @property
    def state(self) -> dict[str, typing.Any]:
        """The version, whether a load is running, and the last fencing number accepted."""
        with self._lock:
            return {
                "version": self._version,
                "loading": self._is_loading,
                "fencing": self._fencing,
            }

    @property
    def orders(self) -> list[dict[str, typing.Any]]:
        """The orders carried out or refused with their statuses, oldest first."""
        return list(self._orders)

    def load(self, order: Order, faults: Faults) -> int:
        """Carry out an order after those before it; return the HTTP status of the result."""
        with self._turn:
            status = self._load(order, faults)
        self._orders.append(dataclasses.asdict(order) | {"status": status})
        return status

    def _load(self, order: Order, faults: Faults) -> int:
        with self._lock:
            if faults.checks_fencing and order.fencing < self._fencing:
                return _STATUS_CONFLICT
            self._fencing = order.fencing
            self._is_loading = True
        status = _carry_out(order, faults)
        with self._lock:
            self._is_loading = False
            if status != _STATUS_UNAVAILABLE:
                self._version = order.version if status == _STATUS_OK else None
                self._on_change()
        return status


def _carry_out(order: Order, faults: Faults) -> int:
    if faults.weights_url and not _fetch(faults.weights_url, order):
        return _STATUS_UNAVAILABLE
    time.sleep(faults.load_seconds / 2)
    faults.pause_halfway()
    if faults.fails:
        return _STATUS_FAILED
    time.sleep(faults.load_seconds / 2)
    return _STATUS_OK


def _fetch(base_url: str, order: Order) -> bool:
    url = f"{base_url}/weights/{order.model}/{order.version}"
    try:
        return client.call("GET", url, None, {}, _FETCH_TIMEOUT_SECONDS).status == _STATUS_OK
    except (OSError, http.client.HTTPException):
        return False
