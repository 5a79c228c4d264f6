"""Orders to backend servers: who may give them, and which to give."""

from oleander_orders import crowd, pace, plan, right, rights

__all__ = ["crowd", "pace", "plan", "right", "rights"]
