"""Load balancing over backend servers, and the retry budget."""

from oleander_routing import peers, preferred, retries, router, subset, windows

__all__ = ["peers", "preferred", "retries", "router", "subset", "windows"]
