"""Steps for trainers that move between entries."""

import re

import behave


def _find_lines(context, entry, event, trainer):
    """Return an entry's log lines of an event of a trainer as maps of their fields."""
    lines = context.cluster.find(entry).read_log().splitlines()
    found = [dict(re.findall(r"(\w+)=(\S+)", line)) | {"line": line} for line in lines]
    return [
        item for item in found if item.get("event") == event and item.get("trainer") == trainer
    ]


@behave.then("the log of {entry} says that it opened the step of trainer {trainer}")
def check_opened(context, entry, trainer):
    lines = _find_lines(context, entry, "step-registered", trainer)
    assert [item for item in lines if item["line"].endswith("opened")], lines


@behave.then(
    "the log of {entry} says that it answered pulls of trainer {trainer} with {count:d}"
    " samples in total"
)
def check_answered(context, entry, trainer, count):
    lines = _find_lines(context, entry, "pull", trainer)
    answered = [int(item["samples"]) for item in lines if item["line"].endswith("answered")]
    assert sum(answered) == count, lines
