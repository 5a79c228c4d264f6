"""Assertions that are also active in production; a failure is counted, logged and raised."""

from oleander_base import log, metrics


class InvariantError(Exception):
    """An invariant does not hold; the operation that detected it must be aborted."""


def require(condition: bool, name: str, detail: str) -> None:
    """Count, log and raise InvariantError unless the condition holds."""
    if condition:
        return
    metrics.count(metrics.INVARIANT_BROKEN)
    metrics.count_invariant(name)
    log.logger.bind(event="invariant-broken", invariant=name).error(detail)
    raise InvariantError(f"{name}: {detail}")
