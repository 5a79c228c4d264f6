"""Clients for the status pages of entries, used by the operator's commands."""

import abc
import dataclasses
import http
import json
import typing

import expression

from oleander_base import clock, http_exchange


@dataclasses.dataclass(slots=True, frozen=True)
class EntryError:
    """An entry could not be reached or gave no usable answer."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class EntryConfiguration:
    """How far an entry has applied the configuration, and its links."""

    applied_offset: int
    peers: int
    """Number of sidecars that it is connected to."""


@dataclasses.dataclass(slots=True, frozen=True)
class EntryReport:
    """Counters of an entry since its start, by metric name."""

    counts: dict[str, int]


class EntryClient(abc.ABC):
    """Reads the status of entries, given by URL."""

    @abc.abstractmethod
    def read_configuration(
        self, url: str, deadline: clock.Deadline
    ) -> expression.Result[EntryConfiguration, EntryError]:
        """Return the configuration offset and the number of links of the entry at a URL."""

    @abc.abstractmethod
    def read_report(
        self, url: str, deadline: clock.Deadline
    ) -> expression.Result[EntryReport, EntryError]:
        """Return the counters of the entry at a URL."""


class HttpEntryClient(EntryClient):
    """Reads the status over HTTP, authenticated by the operators' token."""

    def __init__(self, token: str) -> None:
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}

    def read_configuration(
        self, url: str, deadline: clock.Deadline
    ) -> expression.Result[EntryConfiguration, EntryError]:
        """Return the configuration offset and the number of links of the entry at a URL."""
        return self._get_object(url, "/v1/configuration", deadline).bind(_parse_configuration)

    def read_report(
        self, url: str, deadline: clock.Deadline
    ) -> expression.Result[EntryReport, EntryError]:
        """Return the counters of the entry at a URL."""
        return self._get_object(url, "/v1/report", deadline).bind(_parse_report)

    def _get_object(
        self, url: str, path: str, deadline: clock.Deadline
    ) -> expression.Result[dict[str, typing.Any], EntryError]:
        request = http_exchange.Request("GET", path, headers=self._headers)
        match http_exchange.HttpCaller(url).call_once(request, deadline):
            case expression.Result(tag="ok", ok=answer):
                return _parse_object(answer)
            case expression.Result(error=error):
                return expression.Error(EntryError(f"can't be reached: {error.detail}"))


def _parse_object(
    answer: http_exchange.Response,
) -> expression.Result[dict[str, typing.Any], EntryError]:
    if answer.status != http.HTTPStatus.OK:
        return expression.Error(EntryError(f"answered {answer.status}"))
    try:
        content = json.loads(answer.body)
    except (ValueError, RecursionError):
        content = None
    if isinstance(content, dict):
        return expression.Ok(content)
    return expression.Error(EntryError("answered no JSON object"))


def _parse_configuration(
    fields: dict[str, typing.Any],
) -> expression.Result[EntryConfiguration, EntryError]:
    applied = fields.get("applied_offset")
    peers = fields.get("peers", 0)
    if isinstance(applied, int) and isinstance(peers, int):
        return expression.Ok(EntryConfiguration(applied, peers))
    return expression.Error(EntryError("answered no applied_offset"))


def _parse_report(fields: dict[str, typing.Any]) -> expression.Result[EntryReport, EntryError]:
    counts = fields.get("counts")
    if not isinstance(counts, dict):
        return expression.Error(EntryError("answered no counts"))
    numbers = {name: value for name, value in counts.items() if isinstance(value, int)}
    return expression.Ok(EntryReport(numbers))
