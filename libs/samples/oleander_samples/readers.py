"""Reads what trainers send; all faults of a body are reported together, with their places."""

import re

import expression

from oleander_base import findings
from oleander_samples import fields, held, pulls, steps

MOST_STEP_BYTES = 16 * 1024 * 1024
MOST_PULL_BYTES = 256 * 1024
MOST_GROUPS = 4096
MOST_SAMPLES = 2 * 8192
"""Samples of one step."""
MOST_PROMPT_BYTES = 256 * 1024
MOST_PREFIX_BYTES = 64 * 1024
MOST_TOKENS = 128 * 1024
"""Tokens of one sample."""
MOST_WAIT_MS = 60_000
MOST_PULLED = 1024
"""Samples of one answer."""

_STEP_TEXT = re.compile(r"\d{1,15}", re.ASCII)


def read_step(
    customer: str, trainer: str, step_text: str, body: bytes
) -> expression.Result[steps.Step, findings.Findings]:
    """Return the step that a trainer registers."""
    found = fields.FindingList()
    number = _read_step_number(step_text, found)
    content = fields.parse_object(body, MOST_STEP_BYTES)
    if content.is_error():
        found.extend(content.error)
        return expression.Error(found.build())
    reader = fields.FieldReader(content.ok, "", found)
    incarnation = reader.read_whole("incarnation", 0)
    version = reader.read_whole("version", 0)
    groups = tuple(map(_read_group, reader.read_objects("groups", MOST_GROUPS)))
    total = sum(group.samples for group in groups)
    if total > MOST_SAMPLES:
        found.add("groups", f"has {total} samples in all, more than {MOST_SAMPLES}")
    numbers = None
    if reader.has("held") and found.is_empty:
        numbers = _read_held(reader, total, found)
    if not found.is_empty:
        return expression.Error(found.build())
    return expression.Ok(
        steps.Step(customer, trainer, number, incarnation, version, groups, numbers)
    )


def read_pull(body: bytes) -> expression.Result[pulls.Pull, findings.Findings]:
    """Return a pull; whether its numbers belong to the step is for the collector to check."""
    found = fields.FindingList()
    content = fields.parse_object(body, MOST_PULL_BYTES)
    if content.is_error():
        return expression.Error(content.error)
    reader = fields.FieldReader(content.ok, "", found)
    pull = pulls.Pull(
        incarnation=reader.read_whole("incarnation", 0),
        version=reader.read_whole("version", 0),
        held=_read_held(reader, MOST_SAMPLES, found),
        wait_ms=reader.read_whole("wait_ms", 0, MOST_WAIT_MS),
        most=reader.read_whole("most", 1, MOST_PULLED),
    )
    if not found.is_empty:
        return expression.Error(found.build())
    return expression.Ok(pull)


def _read_step_number(text: str, found: fields.FindingList) -> int:
    if _STEP_TEXT.fullmatch(text) is None:
        found.add("step", "is no whole number of at most 15 digits")
        return 0
    return int(text)


def _read_group(reader: fields.FieldReader) -> steps.Group:
    return steps.Group(
        prompt=reader.read_text("prompt", MOST_PROMPT_BYTES),
        prefix=reader.read_text("prefix", MOST_PREFIX_BYTES),
        samples=reader.read_whole("samples", 1, MOST_SAMPLES),
        max_tokens=reader.read_whole("max_tokens", 1, MOST_TOKENS),
    )


def _read_held(
    reader: fields.FieldReader, total: int, found: fields.FindingList
) -> frozenset[int]:
    text = reader.read_text("held", MOST_PULL_BYTES)
    numbers = held.read_held(text, total)
    if numbers.is_ok():
        return numbers.ok
    found.extend(numbers.error)
    return frozenset()
