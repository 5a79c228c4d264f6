"""Orders to backend servers: who may give them, and which to give."""

from oleander_orders import pace, plan, right, rights

__all__ = ["pace", "plan", "right", "rights"]
