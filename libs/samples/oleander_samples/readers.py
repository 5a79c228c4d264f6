"""Parses the requests of trainers; all problems of a body are reported together."""

import re

import expression

from oleander_base import findings
from oleander_samples import json_fields, number_sets, pulls, steps

MAX_STEP_BYTES = 16 * 1024 * 1024
"""Maximum size of the body that registers a step."""
MAX_PULL_BYTES = 256 * 1024
"""Maximum size of the body of a pull."""
MAX_GROUPS = 4096
"""Maximum number of groups in a step."""
MAX_SAMPLES = 2 * 8192
"""Maximum number of samples in a step."""
MAX_PROMPT_BYTES = 256 * 1024
"""Maximum size of a group's prompt in UTF-8."""
MAX_PREFIX_BYTES = 64 * 1024
"""Maximum size of a group's prefix key in UTF-8."""
MAX_TOKENS = 128 * 1024
"""Largest token limit that a group may set for its samples."""
MAX_WAIT_MS = 60_000
"""Longest wait for the first sample that a pull may ask for."""
MAX_PULLED_SAMPLES = 1024
"""Maximum number of samples in one answer."""

_STEP_TEXT = re.compile(r"\d{1,15}", re.ASCII)


def read_step(
    customer: str, trainer: str, step_text: str, body: bytes
) -> expression.Result[steps.Step, findings.Findings]:
    """Parse the registration of a step; `step_text` is the step number from the path."""
    found = json_fields.FindingList()
    number = _read_step_number(step_text, found)
    content = json_fields.parse_object(body, MAX_STEP_BYTES)
    if content.is_error():
        found.extend(content.error)
        return expression.Error(found.build())
    reader = json_fields.FieldReader(content.ok, "", found)
    incarnation = reader.read_integer("incarnation", 0)
    version = reader.read_integer("version", 0)
    groups = tuple(map(_read_group, reader.read_objects("groups", MAX_GROUPS)))
    total = sum(group.sample_count for group in groups)
    if total > MAX_SAMPLES:
        found.add("groups", f"has {total} samples in all, more than {MAX_SAMPLES}")
    numbers = None
    if reader.has_field("held") and found.is_empty:
        numbers = _read_held(reader, total, found)
    if not found.is_empty:
        return expression.Error(found.build())
    return expression.Ok(
        steps.Step(customer, trainer, number, incarnation, version, groups, numbers)
    )


def read_pull(body: bytes) -> expression.Result[pulls.Pull, findings.Findings]:
    """Parse a pull; the collector checks later whether the held numbers belong to the step."""
    found = json_fields.FindingList()
    content = json_fields.parse_object(body, MAX_PULL_BYTES)
    if content.is_error():
        return expression.Error(content.error)
    reader = json_fields.FieldReader(content.ok, "", found)
    pull = pulls.Pull(
        incarnation=reader.read_integer("incarnation", 0),
        version=reader.read_integer("version", 0),
        held=_read_held(reader, MAX_SAMPLES, found),
        wait_ms=reader.read_integer("wait_ms", 0, MAX_WAIT_MS),
        max_samples=reader.read_integer("most", 1, MAX_PULLED_SAMPLES),
    )
    if not found.is_empty:
        return expression.Error(found.build())
    return expression.Ok(pull)


def _read_step_number(text: str, found: json_fields.FindingList) -> int:
    if _STEP_TEXT.fullmatch(text) is None:
        found.add("step", "is not an integer of at most 15 digits")
        return 0
    return int(text)


def _read_group(reader: json_fields.FieldReader) -> steps.Group:
    return steps.Group(
        prompt=reader.read_string("prompt", MAX_PROMPT_BYTES),
        prefix=reader.read_string("prefix", MAX_PREFIX_BYTES),
        sample_count=reader.read_integer("samples", 1, MAX_SAMPLES),
        max_tokens=reader.read_integer("max_tokens", 1, MAX_TOKENS),
    )


def _read_held(
    reader: json_fields.FieldReader, total: int, found: json_fields.FindingList
) -> frozenset[int]:
    text = reader.read_string("held", MAX_PULL_BYTES)
    numbers = number_sets.parse_numbers(text, total)
    if numbers.is_ok():
        return numbers.ok
    found.extend(numbers.error)
    return frozenset()
