"""A request and a server for tests of crashes and quarantine."""

from oleander_direct import fingerprints, servers

REQUEST = servers.CallRequest("id", "h", "POST", "/a", (), b"body", True, "red")
FINGERPRINT = fingerprints.compute_fingerprint(REQUEST)
SEED = 3


def build_server(name, address=""):
    """Return a server of the backend "desk", with an address derived from its name."""
    return servers.Server(name, 1, "desk", address or f"{name}:1", "z", 6, False, ())
