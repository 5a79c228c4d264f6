"""Which backend server a request goes to, and when it may be tried again."""

from oleander_routing import peers, preferred, retries, router, subset, windows

__all__ = ["peers", "preferred", "retries", "router", "subset", "windows"]
