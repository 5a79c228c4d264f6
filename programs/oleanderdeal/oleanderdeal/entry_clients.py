"""What an operator's command asks an entry."""

import abc
import dataclasses
import http.client
import json
import typing
import urllib.parse

import expression

from oleander_base import clock

_MOST_ANSWER_BYTES = 4 * 1024 * 1024
_CHUNK_BYTES = 65536
_LEAST_SECONDS = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class EntryError:
    """An entry that gave no usable answer."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class EntryConfiguration:
    """How far an entry has applied the configuration."""

    applied_offset: int
    peers: int
    """The sidecars that it is connected to."""


@dataclasses.dataclass(slots=True, frozen=True)
class EntryReport:
    """What an entry has counted since it started."""

    counts: dict[str, int]


class EntryClient(abc.ABC):
    """Asks entries by their URLs."""

    @abc.abstractmethod
    def read_configuration(
        self, url: str, deadline: clock.Deadline
    ) -> expression.Result[EntryConfiguration, EntryError]:
        """Return how far an entry is."""

    @abc.abstractmethod
    def read_report(
        self, url: str, deadline: clock.Deadline
    ) -> expression.Result[EntryReport, EntryError]:
        """Return an entry's counts."""


class HttpEntryClient(EntryClient):
    """Asks by HTTP, with the operators' token."""

    def __init__(self, token: str) -> None:
        self._token = token

    def read_configuration(
        self, url: str, deadline: clock.Deadline
    ) -> expression.Result[EntryConfiguration, EntryError]:
        """Return how far an entry is."""
        return self._get(f"{url}/v1/configuration", deadline).bind(_read_configuration)

    def read_report(
        self, url: str, deadline: clock.Deadline
    ) -> expression.Result[EntryReport, EntryError]:
        """Return an entry's counts."""
        return self._get(f"{url}/v1/report", deadline).bind(_read_report)

    def _get(
        self, url: str, deadline: clock.Deadline
    ) -> expression.Result[typing.Any, EntryError]:
        parts = urllib.parse.urlsplit(url)
        is_secure = parts.scheme == "https"
        kind = http.client.HTTPSConnection if is_secure else http.client.HTTPConnection
        timeout = max(_LEAST_SECONDS, deadline.remaining)
        connection = kind(parts.hostname or "", parts.port, timeout=timeout)
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        try:
            connection.request("GET", parts.path, headers=headers)
            response = connection.getresponse()
            body = _read_body(response, deadline)
        except (OSError, http.client.HTTPException) as error:
            return expression.Error(EntryError(f"can't be reached: {type(error).__name__}"))
        finally:
            connection.close()
        if response.status != http.HTTPStatus.OK:
            return expression.Error(EntryError(f"answered {response.status}"))
        return _read_json(body)


def _read_body(response: http.client.HTTPResponse, deadline: clock.Deadline) -> bytes:
    """Read within the deadline: a timeout of the socket starts anew with every chunk."""
    body = b""
    while chunk := response.read(_CHUNK_BYTES):
        body += chunk
        if deadline.is_past:
            raise TimeoutError
        if len(body) > _MOST_ANSWER_BYTES:
            raise http.client.HTTPException("the answer is too long")
    return body


def _read_json(body: bytes) -> expression.Result[typing.Any, EntryError]:
    try:
        return expression.Ok(json.loads(body))
    except (ValueError, RecursionError):
        return expression.Error(EntryError("answered something that is no JSON"))


def _read_configuration(
    answer: typing.Any,
) -> expression.Result[EntryConfiguration, EntryError]:
    fields = answer if isinstance(answer, dict) else {}
    applied = fields.get("applied_offset")
    peers = fields.get("peers", 0)
    if isinstance(applied, int) and isinstance(peers, int):
        return expression.Ok(EntryConfiguration(applied, peers))
    return expression.Error(EntryError("answered no applied_offset"))


def _read_report(answer: typing.Any) -> expression.Result[EntryReport, EntryError]:
    counts = answer.get("counts") if isinstance(answer, dict) else None
    if not isinstance(counts, dict):
        return expression.Error(EntryError("answered no counts"))
    numbers = {name: value for name, value in counts.items() if isinstance(value, int)}
    return expression.Ok(EntryReport(numbers))
