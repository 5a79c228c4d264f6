"""Crashes of backend servers under a request, as records of a keyed topic."""

import dataclasses

import cbor2
import expression

from oleander_base import findings, identifiers

_SEPARATOR = "/"


@dataclasses.dataclass(slots=True, frozen=True)
class CrashKey:
    """One crash: a request, and the run of a server that ended under it."""

    fingerprint: str
    """Of the request, whatever ids its attempts have."""
    incarnation_hash: str
    """A short name for the incarnation of the server."""

    @property
    def text(self) -> str:
        """The key of its record."""
        return f"{self.fingerprint}{_SEPARATOR}{self.incarnation_hash}"


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """A server ended while it ran a request."""

    key: CrashKey
    incarnation: str
    was_alone: bool
    """Whether the process that saw it had no other request at that server."""


def create_crash(fingerprint: str, incarnation: str, was_alone: bool) -> Crash:
    """Return the crash of a server under a request."""
    run = f"{identifiers.hash_text(incarnation):016x}"
    return Crash(CrashKey(fingerprint, run), incarnation, was_alone)


def encode_crash(crash: Crash) -> bytes:
    """Return the value of a crash's record."""
    return cbor2.dumps([crash.incarnation, crash.was_alone])


def decode_key(text: str) -> expression.Result[CrashKey, findings.Finding]:
    """Return the crash that a key names; one of another writer is a finding."""
    fingerprint, separator, run = text.partition(_SEPARATOR)
    if not (fingerprint and separator and run):
        return expression.Error(findings.Finding("crash", f"{text[:80]!r} is no key"))
    return expression.Ok(CrashKey(fingerprint, run))


def decode_crash(key: CrashKey, value: bytes) -> expression.Result[Crash, findings.Finding]:
    """Return the crash of a record; bytes of another writer are a finding."""
    try:
        incarnation, was_alone = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        return expression.Error(findings.Finding("crash", f"can't be read: {error!r}"[:200]))
    return expression.Ok(Crash(key, str(incarnation), bool(was_alone)))
