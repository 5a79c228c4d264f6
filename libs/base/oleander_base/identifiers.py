"""Random identifiers and stable hashes."""

import hashlib
import secrets

_IDENTIFIER_BYTES = 8


def create_incarnation() -> str:
    """Return a random identifier of one run of a process; a restart gets a new one."""
    return secrets.token_hex(_IDENTIFIER_BYTES)


def create_nonce() -> str:
    """Return a random identifier for a single use."""
    return secrets.token_hex(_IDENTIFIER_BYTES)


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same in every process and release."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def digest_body(body: bytes) -> str:
    """Return a 128-bit digest in hexadecimal, to compare request bodies."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()
