"""Validation errors of an input, each with its location, reported together."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """One validation error: its location, the problem and, if known, how to fix it."""

    place: str
    problem: str
    fix: str = ""

    def __str__(self) -> str:
        """Return the error as one line of text."""
        advice = f" ({self.fix})" if self.fix else ""
        return f"{self.place}: {self.problem}{advice}"


@dataclasses.dataclass(slots=True, frozen=True)
class Findings:
    """All validation errors of one input, so that they can be fixed at once."""

    items: tuple[Finding, ...]

    def __str__(self) -> str:
        """Return all errors on one line."""
        return "; ".join(str(item) for item in self.items)
