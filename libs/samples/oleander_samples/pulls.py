"""What a trainer asks for and what it is answered."""

import base64
import dataclasses
import enum
import hashlib
import json

from oleander_base import findings
from oleander_samples import steps


@dataclasses.dataclass(slots=True, frozen=True)
class Pull:
    """A trainer's statement of what it has, and its question for more."""

    incarnation: int
    version: int
    """The trainer's policy version; it is not raised until the pull has ended."""
    held: frozenset[int]
    wait_ms: int
    """How long the trainer is willing to wait for the first sample."""
    max_samples: int


@dataclasses.dataclass(slots=True, frozen=True)
class PullAnswer:
    """Samples that the trainer does not have, all of them fresh."""

    step: int
    version: int
    """The version that their staleness was checked against."""
    complete: bool
    """Whether the trainer, with these, has every sample of the step."""
    samples: tuple[steps.Sample, ...]


class RefusalReason(enum.Enum):
    """Why a pull is not answered with samples."""

    SUPERSEDED = "superseded"
    """A later pull, or a newer incarnation of the trainer, has taken its place."""
    STEP_UNKNOWN = "step-unknown"
    """The step is not collected here (any more): register it again."""
    BAD_HELD = "bad-held"
    """The trainer says it has samples that the step does not have."""


@dataclasses.dataclass(slots=True, frozen=True)
class PullRefusal:
    """A pull that got no samples."""

    reason: RefusalReason
    found: findings.Findings = findings.Findings(())


@dataclasses.dataclass(slots=True, frozen=True)
class EncodedAnswer:
    """A body and the value of its `Content-Digest` header."""

    body: bytes
    digest: str


def encode_answer(answer: PullAnswer) -> EncodedAnswer:
    """Return the JSON of an answer; the digest lets the trainer notice one that was cut."""
    content = {
        "step": answer.step,
        "version": answer.version,
        "complete": answer.complete,
        "samples": [_encode_sample(item) for item in answer.samples],
    }
    body = json.dumps(content, separators=(",", ":")).encode("ascii")
    digest = base64.b64encode(hashlib.sha256(body).digest()).decode("ascii")
    return EncodedAnswer(body, f"sha-256=:{digest}:")


def _encode_sample(sample: steps.Sample) -> dict[str, object]:
    return {
        "number": sample.number,
        "group": sample.group,
        "text": sample.text,
        "label": [{"version": part.version, "tokens": part.tokens} for part in sample.label],
    }
