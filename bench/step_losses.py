"""
Print how the steps of a day spent their time, from the logs of all entries.

`python bench/step_losses.py LOG [--limit 7.5] [--details]`. LOG holds the entries' log lines, in
the format of docs/OPERATIONS.md; a number before the JSON object is taken as the time in seconds,
otherwise the time of day is used. Steps are sorted by the time they were open, longest first.
`--details` lists the attempts of the item that ended last.
"""

import argparse
import collections
import dataclasses
import json
import re
import statistics

_PREFIX_SECONDS = re.compile(r"\s*(-?\d+\.\d+)\s")
_REASON_KINDS = (
    ("status-503", "refused"),
    ("status-429", "refused"),
    ("cancelled", "cancelled"),
    ("CancelledError", "cancelled"),
    ("status-5", "failed"),
    ("unusable", "failed"),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """An attempt at an item; times in seconds."""

    item_id: str
    server: str
    entry: str
    started_at: float
    ended_at: float
    kind: str
    resumed: int


@dataclasses.dataclass(slots=True)
class Step:
    """What the logs contain about one batch; times in seconds, 0 if unknown."""

    batch_id: str
    step: int = -1
    total: int = 0
    listed: int = 0
    submitted_at: float = 0.0
    ended_at: float = 0.0
    owners: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def open_seconds(self):
        """How long the step was open, in seconds; 0 if its end was not logged."""
        return max(0.0, self.ended_at - self.submitted_at) if self.ended_at else 0.0

    @property
    def whole(self):
        """The attempts that produced a complete text, in the order in which they ended."""
        found = [item for item in self.attempts if item.kind == "whole"]
        return sorted(found, key=lambda item: item.ended_at)

    def count(self, kind):
        """Return how many attempts are of a kind."""
        return sum(item.kind == kind for item in self.attempts)

    def find_first_starts(self):
        """Return the sorted times at which each item was first accepted by a server."""
        first = {}
        for item in self.attempts:
            if item.kind != "refused":
                first[item.item_id] = min(item.started_at, first.get(item.item_id, 1e9))
        return sorted(first.values())


def read_lines(path):
    """Yield the time in seconds and the fields of each line with a JSON object."""
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            start = line.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(line[start:])
            except ValueError:
                continue
            prefix = _PREFIX_SECONDS.match(line[:start])
            yield (float(prefix[1]) if prefix else _read_time_of_day(fields)), fields


def _read_time_of_day(fields):
    hours, minutes, seconds = fields.get("at", "0:0:0").split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def classify_reason(reason):
    """Return the kind of an attempt from its logged reason; no reason means `whole` (complete)."""
    if not reason:
        return "whole"
    return next((kind for start, kind in _REASON_KINDS if reason.startswith(start)), "broken")


def read_steps(path):
    """Return the steps found in the logs, by batch."""
    steps = {}
    for at, fields in read_lines(path):
        event = fields.get("event")
        if event == "batch-tenure":
            for batch_id in fields["batches"]:
                if batch_id in steps:
                    _record_owner(steps[batch_id], at, fields["runner"])
        elif event in _READERS:
            batch_id = fields["batch"]
            _READERS[event](steps.setdefault(batch_id, Step(batch_id)), at, fields)
    return steps


def _record_owner(step, at, owner):
    if not step.owners or step.owners[-1][1] != owner:
        step.owners.append((at, owner))


def _record_submission(step, at, fields):
    if not fields["error"] and not step.submitted_at:
        step.submitted_at, step.step, step.total = at, fields["step"], fields["items"]


def _record_end(step, at, fields):
    if not fields["error"] and not step.ended_at:
        step.ended_at, step.listed = at, fields["listed"]


def _record_attempt(step, at, fields):
    started_at = at - fields["ms"] / 1000
    kind = classify_reason(fields["reason"])
    step.attempts.append(
        Attempt(
            fields["id"],
            fields["server"],
            fields["process"],
            started_at,
            at,
            kind,
            fields["resumed"],
        )
    )


_READERS = {
    "batch-submitted": _record_submission,
    "batch-ended": _record_end,
    "item": _record_attempt,
}


def describe_step(step):
    """Return the row of a step, with times in seconds since its submission."""
    starts = step.find_first_starts()
    whole = [item.ended_at for item in step.whole if item.ended_at <= (step.ended_at or 1e9)]
    since = step.submitted_at
    half = whole[len(whole) // 2] - since if whole else 0.0
    most = whole[int(len(whole) * 0.9)] - since if whole else 0.0
    last = whole[-1] - since if whole else 0.0
    owner = step.owners[0][0] - since if step.owners else 0.0
    first = starts[0] - since if starts else 0.0
    spread = starts[int(len(starts) * 0.9)] - since if starts else 0.0
    return (
        f"{step.batch_id[:8]} {step.step:3} {since:7.2f} {step.listed:3}/{step.total:3} "
        f"{owner:6.2f} {first:6.2f} {spread:6.2f} {half:6.2f} {most:6.2f} {last:6.2f} "
        f"{step.open_seconds:6.2f} {step.count('refused'):5} {step.count('cancelled'):5} "
        f"{step.count('broken') + step.count('failed'):5} {len(step.owners):3}"
    )


_HEADER = (
    "batch   step   since  listed  owner  first  90%st  50%wh  90%wh   last"
    "   open refus  canc broke own"
)


def describe_last(step):
    """Describe the attempts at the last item that was completed before the step ended."""
    whole = [item for item in step.whole if item.ended_at <= step.ended_at]
    if not whole:
        return []
    last = whole[-1].item_id
    attempts = sorted(
        (item for item in step.attempts if item.item_id == last),
        key=lambda item: item.started_at,
    )
    return [
        f"    {item.started_at - step.submitted_at:6.2f} to "
        f"{item.ended_at - step.submitted_at:6.2f} {item.kind:9} {item.server} "
        f"resumed at {item.resumed}"
        for item in attempts
    ]


def print_summary(steps, limit):
    """Print a summary of all steps; `limit` is in seconds."""
    ended = [step for step in steps if step.ended_at and step.submitted_at]
    if not ended:
        print("no step was seen to end")
        return
    seconds = sorted(step.open_seconds for step in ended)
    over = sum(second > limit for second in seconds)
    kinds = collections.Counter(item.kind for step in steps for item in step.attempts)
    tails = [
        step.ended_at - whole[-1].ended_at
        for step in ended
        if (whole := [item for item in step.whole if item.ended_at <= step.ended_at])
    ]
    print(
        f"{len(steps)} steps, {len(ended)} ended: open {statistics.median(seconds):.2f} s at the "
        f"median, {seconds[-1]:.2f} s at most, {over} over {limit} s; from the last whole text "
        f"to the end {statistics.median(tails):.2f} s at the median, {max(tails):.2f} s at most"
    )
    print("attempts: " + ", ".join(f"{count} {kind}" for kind, count in kinds.most_common()))


def main():
    """Read the arguments and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log")
    parser.add_argument("--limit", type=float, default=7.5, help="seconds a step may be open")
    parser.add_argument("--details", action="store_true")
    chosen = parser.parse_args()
    steps = list(read_steps(chosen.log).values())
    print_summary(steps, chosen.limit)
    print(_HEADER)
    for step in sorted(steps, key=lambda item: -item.open_seconds):
        print(describe_step(step))
        if chosen.details:
            print("\n".join(describe_last(step)))


if __name__ == "__main__":
    main()
