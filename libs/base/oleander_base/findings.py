"""Faults found in an input, each with its place, collected and reported together."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """One fault: where it is, what is wrong and how to mend it."""

    place: str
    problem: str
    fix: str = ""

    def __str__(self) -> str:
        """Return one line for a person."""
        advice = f" ({self.fix})" if self.fix else ""
        return f"{self.place}: {self.problem}{advice}"


@dataclasses.dataclass(slots=True, frozen=True)
class Findings:
    """Every fault of one input, so that one look mends them all."""

    items: tuple[Finding, ...]

    def __str__(self) -> str:
        """Return all faults on one line."""
        return "; ".join(str(item) for item in self.items)
