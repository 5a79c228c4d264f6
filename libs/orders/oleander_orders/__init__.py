"""Orders to backend servers: who may give them, and which to give."""

from oleander_orders import load_capacity, load_guard, load_throttle, order_leases, placement, plan

__all__ = ["load_guard", "load_throttle", "load_capacity", "order_leases", "placement", "plan"]
