"""Counts the outcomes of each customer's requests, under the metric names that `report` reads."""

from oleander_base import log, metrics
from oleander_wire import messages
from oleanderdeal import callers


def count_answer(request: callers.CallerRequest, answer: callers.CallerAnswer) -> None:
    """Count and log one answer; at level DEBUG if the request was done."""
    is_done = answer.outcome is messages.Outcome.DONE
    log.logger.bind(
        event="request",
        trace=request.trace_id,
        customer=request.customer,
        operation=request.operation.name,
        remaining_ms=request.deadline.remaining_ms,
    ).log("DEBUG" if is_done else "INFO", f"{answer.outcome.value} {answer.reason}")
    name = f"customer.{request.customer}.{request.operation.name}"
    match answer.outcome:
        case messages.Outcome.DONE if request.deadline.is_past:
            metrics.count(f"{name}.late")
        case messages.Outcome.DONE:
            metrics.count(f"{name}.answered")
            metrics.count(metrics.ANSWERED)
        case messages.Outcome.NOT_RUN:
            metrics.count(f"{name}.refused.{answer.reason}")
            metrics.count(metrics.REFUSED)
        case messages.Outcome.FAILED:
            metrics.count(f"{name}.failed")
        case messages.Outcome.UNKNOWN:
            metrics.count(f"{name}.unknown")
            metrics.count(metrics.UNKNOWN)


def count_samples(customer: str, trainer: str, kind: str, amount: int) -> None:
    """Add to one of a trainer's counters, such as samples or idle milliseconds of pulls."""
    if amount:
        metrics.count(f"customer.{customer}.trainer.{trainer}.{kind}", amount)
