"""Orders to backend servers: who may give them, and which to give."""

from oleander_orders import plan, right, rights

__all__ = ["plan", "right", "rights"]
