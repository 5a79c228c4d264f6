"""Orders to backend servers: who may give them, and which to give."""

from oleander_orders import crowd, homes, load_guard, pace, plan, rights

__all__ = ["crowd", "homes", "load_guard", "pace", "plan", "rights"]
