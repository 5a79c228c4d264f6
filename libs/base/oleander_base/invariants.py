"""Checks that stay on in production: a broken one is counted, logged and raised."""

from oleander_base import log, metrics


class InvariantError(Exception):
    """A promise would have been broken; the operation that found it must not go on."""


def require(condition: bool, name: str, detail: str) -> None:
    """Raise when a condition that must always hold does not."""
    if condition:
        return
    metrics.count(metrics.INVARIANT_BROKEN)
    metrics.count_invariant(name)
    log.logger.bind(event="invariant-broken", invariant=name).error(detail)
    raise InvariantError(f"{name}: {detail}")
