"""What tells one request from another, whatever ids its attempts have."""

import hashlib

from oleander_direct import servers

_DIGEST_BYTES = 16


def compute_fingerprint(request: servers.CallRequest) -> str:
    """Return a digest of who asks for what: the organisation, the target and the body."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.organisation, request.host, request.method, request.target):
        digest.update(part.encode(errors="surrogatepass"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
