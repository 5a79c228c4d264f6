"""Fingerprints that identify a request by its content rather than by its request id."""

import hashlib

from oleander_direct import servers

_DIGEST_BYTES = 16


def compute_fingerprint(request: servers.CallRequest) -> str:
    """Return a hex digest of a request's organisation, host, method, target and body."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.organisation, request.host, request.method, request.target):
        digest.update(part.encode(errors="surrogatepass"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
