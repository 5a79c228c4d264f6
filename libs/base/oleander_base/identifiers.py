"""Random names that no two processes share."""

import hashlib
import secrets

_IDENTIFIER_BYTES = 8


def create_incarnation() -> str:
    """Return the name of one run of a process; a restart gets another."""
    return secrets.token_hex(_IDENTIFIER_BYTES)


def create_nonce() -> str:
    """Return a name that is used once."""
    return secrets.token_hex(_IDENTIFIER_BYTES)


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same in every process and release."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def digest_body(body: bytes) -> str:
    """Return a short digest that tells two request bodies apart."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()
