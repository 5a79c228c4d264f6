"""Orders to backend servers: who may give them, and which to give."""

from oleander_orders import load_guard, load_throttle, pace, placement, plan, rights

__all__ = ["load_guard", "load_throttle", "pace", "placement", "plan", "rights"]
