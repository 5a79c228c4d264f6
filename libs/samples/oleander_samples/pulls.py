"""The requests with which trainers pull samples, and the answers to them."""

import base64
import dataclasses
import enum
import hashlib
import json

from oleander_base import findings
from oleander_samples import steps


@dataclasses.dataclass(slots=True, frozen=True)
class Pull:
    """A trainer's request for samples, which states the samples that it already holds."""

    incarnation: int
    version: int
    """The trainer's policy version, which the trainer does not raise before the pull ends."""
    held: frozenset[int]
    """The numbers of the samples that the trainer already has."""
    wait_ms: int
    """How long the trainer waits for the first sample."""
    max_samples: int
    """The maximum number of samples in the answer."""


@dataclasses.dataclass(slots=True, frozen=True)
class PullAnswer:
    """Samples that the trainer does not hold and that are not stale."""

    step: int
    version: int
    """The policy version against which the samples' staleness was checked."""
    complete: bool
    """Whether the trainer has every sample of the step once it has received these."""
    samples: tuple[steps.Sample, ...]


class RefusalReason(enum.Enum):
    """Why a pull is refused."""

    SUPERSEDED = "superseded"
    """A later pull or a newer incarnation of the trainer replaced it."""
    STEP_UNKNOWN = "step-unknown"
    """This entry does not collect the step; the trainer must register it again."""
    BAD_HELD = "bad-held"
    """The trainer claims to hold a sample number that the step does not have."""


@dataclasses.dataclass(slots=True, frozen=True)
class PullRefusal:
    """The reason why a pull is refused, with details for the caller."""

    reason: RefusalReason
    found: findings.Findings = findings.Findings(())


@dataclasses.dataclass(slots=True, frozen=True)
class EncodedAnswer:
    """An answer's body and the value of its `Content-Digest` header."""

    body: bytes
    digest: str


def encode_answer(answer: PullAnswer) -> EncodedAnswer:
    """Encode an answer as JSON, with a digest by which the trainer detects a truncated body."""
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
