"""Which backend server a request goes to, and when it may be tried again."""

from oleander_routing import peers, retries, router, subset

__all__ = ["peers", "retries", "router", "subset"]
