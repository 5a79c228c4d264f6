"""Finds the route of a caller's request, or says what can be said where there is none."""

import collections.abc
import dataclasses

import expression

from oleander_base import log
from oleander_direct import directory, routes

_RETRY_AFTER_MS = 200
"""Soon: the refusal is of one entry, and another may know the newest configuration."""
_MOST_LOGGED = 120
"""Characters of a text from outside in a log line."""


@dataclasses.dataclass(slots=True, frozen=True)
class NoRoute:
    """No route is known here."""

    is_certain: bool
    """Whether the newest configuration has none; else another entry may know one."""
    reason: str
    retry_after_ms: int


class RouteLookup:
    """Looks routes up in the newest configuration; "no route" is said only where it is known."""

    def __init__(
        self, known: directory.Directory, is_silent: collections.abc.Callable[[], bool]
    ) -> None:
        """Take what tells that the platform was not heard for long."""
        self._known = known
        self._is_silent = is_silent

    def find(
        self, host: str, path: str, request_id: str
    ) -> expression.Result[routes.Route, NoRoute]:
        """Return a request's route."""
        table = self._known.table
        if table is None:
            return _doubt("no configuration yet")
        route = table.match(host, path)
        if route is not None:
            return expression.Ok(route)
        if self._is_silent():
            return _doubt("the newest configuration may be unknown here")
        log.logger.bind(
            event="unrouted",
            id=request_id,
            host=host[:_MOST_LOGGED],
            target=path[:_MOST_LOGGED],
            configuration=table.version,
        ).info("no route")
        return expression.Error(NoRoute(True, "no route", 0))


def _doubt(reason: str) -> expression.Result[routes.Route, NoRoute]:
    return expression.Error(NoRoute(False, reason, _RETRY_AFTER_MS))
