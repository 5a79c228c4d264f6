"""Records of server crashes, as stored in a keyed topic of the platform's log."""

import dataclasses
import typing

import cbor2
import expression

from oleander_base import cbor_input, findings, identifiers

_SEPARATOR = "/"


@dataclasses.dataclass(slots=True, frozen=True)
class CrashKey:
    """The identity of a crash: the request and the incarnation of the server that ended."""

    fingerprint: str
    """Identifies the request by its content, whatever request ids its attempts have."""
    incarnation_hash: str
    """The hash of the server's incarnation, in 16 hex digits."""

    @property
    def text(self) -> str:
        """The key of the crash's record in the topic."""
        return f"{self.fingerprint}{_SEPARATOR}{self.incarnation_hash}"


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """The end of a server while it was running a request."""

    key: CrashKey
    incarnation: str
    was_alone: bool
    """Whether the process that recorded the crash had no other request at that server."""


def create_crash(fingerprint: str, incarnation: str, was_alone: bool) -> Crash:
    """Create the crash of a server incarnation that was running a request."""
    run = f"{identifiers.hash_text(incarnation):016x}"
    return Crash(CrashKey(fingerprint, run), incarnation, was_alone)


def encode_crash(crash: Crash) -> bytes:
    """Encode the value of a crash's record as CBOR."""
    return cbor2.dumps([crash.incarnation, crash.was_alone])


def decode_key(text: str) -> expression.Result[CrashKey, findings.Finding]:
    """Decode the key of a crash's record; a key of another form is a finding."""
    fingerprint, separator, run = text.partition(_SEPARATOR)
    if not (fingerprint and separator and run):
        return expression.Error(findings.Finding("crash", f"{text[:80]!r} is no key"))
    return expression.Ok(CrashKey(fingerprint, run))


def decode_crash(key: CrashKey, value: bytes) -> expression.Result[Crash, findings.Finding]:
    """Decode the value of a crash's record; a value of another form is a finding."""
    return cbor_input.decode("crash", value).bind(lambda fields: _build_crash(key, fields))


def _build_crash(key: CrashKey, fields: typing.Any) -> expression.Result[Crash, findings.Finding]:
    match fields:
        case [str(incarnation), bool(was_alone)]:
            return expression.Ok(Crash(key, incarnation, was_alone))
    return expression.Error(findings.Finding("crash", "has other fields"))
