"""Looks up the route and the organisation of a request in the newest known configuration."""

import collections.abc
import dataclasses

import expression

from oleander_base import log
from oleander_direct import directory, organisations, routes

_RETRY_AFTER_MS = 200
"""This delay is short, because another entry may already know the newest configuration."""
_NO_CONFIGURATION_REASON = "no configuration yet"
_STALE_REASON = "the newest configuration may be unknown here"
_MAX_LOGGED_CHARACTERS = 120
"""Longest part of a client-supplied text that is copied into a log line."""


@dataclasses.dataclass(slots=True, frozen=True)
class NoRoute:
    """No known route matches the request."""

    is_certain: bool
    """Whether the answer is final; if not, another entry may have a newer configuration."""
    reason: str
    retry_after_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class NoAccess:
    """No known organisation holds the API key."""

    is_certain: bool
    """Whether the answer is final; if not, another entry may have a newer configuration."""
    reason: str
    retry_after_ms: int


class RouteLookup:
    """
    Looks up routes and API keys.

    A failed lookup is final only if this process knows the newest configuration; otherwise the
    client is asked to retry, since another entry may know more.
    """

    def __init__(
        self, known_servers: directory.Directory, is_stale: collections.abc.Callable[[], bool]
    ) -> None:
        """Create a lookup; `is_stale` returns whether a newer configuration may exist."""
        self._directory = known_servers
        self._is_stale = is_stale

    def find(
        self, host: str, path: str, request_id: str
    ) -> expression.Result[routes.Route, NoRoute]:
        """Return the route for a host and path."""
        table = self._directory.table
        if table is None:
            return _refuse_unresolved(_NO_CONFIGURATION_REASON)
        route = table.match(host, path)
        if route is not None:
            return expression.Ok(route)
        if self._is_stale():
            return _refuse_unresolved(_STALE_REASON)
        log.logger.bind(
            event="unrouted",
            id=request_id,
            host=host[:_MAX_LOGGED_CHARACTERS],
            target=path[:_MAX_LOGGED_CHARACTERS],
            configuration=table.version,
        ).info("no route")
        return expression.Error(NoRoute(True, "no route", 0))

    def identify(
        self, authorization: str, is_public: bool, request_id: str
    ) -> expression.Result[organisations.Caller, NoAccess]:
        """Return the caller that an Authorization header identifies; never logs the key."""
        table = self._directory.table
        if table is None:
            return expression.Error(NoAccess(False, _NO_CONFIGURATION_REASON, _RETRY_AFTER_MS))
        is_current = not self._is_stale()
        caller = organisations.identify_caller(table.keys, authorization, is_public, is_current)
        if isinstance(caller, organisations.Caller):
            return expression.Ok(caller)
        if not caller.is_definitive:
            return expression.Error(NoAccess(False, _STALE_REASON, _RETRY_AFTER_MS))
        log.logger.bind(
            event="unauthorized",
            id=request_id,
            has_key=bool(organisations.read_key(authorization)),
            configuration=table.version,
            age_ms=int(self._directory.configuration_age_seconds * 1000),
        ).info("no organisation holds the key")
        return expression.Error(NoAccess(True, "unknown key", 0))


def _refuse_unresolved(reason: str) -> expression.Result[routes.Route, NoRoute]:
    return expression.Error(NoRoute(False, reason, _RETRY_AFTER_MS))
