"""Finds a request's route and who makes it, or says what can be said where it can't."""

import collections.abc
import dataclasses

import expression

from oleander_base import log
from oleander_direct import directory, organisations, routes

_RETRY_AFTER_MS = 200
"""Soon: the refusal is of one entry, and another may know the newest configuration."""
_NO_CONFIGURATION_REASON = "no configuration yet"
_STALE_REASON = "the newest configuration may be unknown here"
_MAX_LOGGED_CHARACTERS = 120
"""Characters of a text from outside in a log line."""


@dataclasses.dataclass(slots=True, frozen=True)
class NoRoute:
    """No route is known here."""

    is_certain: bool
    """Whether the newest configuration has none; else another entry may know one."""
    reason: str
    retry_after_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class NoAccess:
    """No organisation holds the key, as far as is known here."""

    is_certain: bool
    """Whether the newest configuration has none; else another entry may know one."""
    reason: str
    retry_after_ms: int


class RouteLookup:
    """Looks up routes and keys in the newest configuration; denies only what it is sure of."""

    def __init__(
        self, known_servers: directory.Directory, is_stale: collections.abc.Callable[[], bool]
    ) -> None:
        """Take what tells that a newer configuration may be in force."""
        self._directory = known_servers
        self._is_stale = is_stale

    def find(
        self, host: str, path: str, request_id: str
    ) -> expression.Result[routes.Route, NoRoute]:
        """Return a request's route."""
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
        """Return who calls; the key is in no log line."""
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
