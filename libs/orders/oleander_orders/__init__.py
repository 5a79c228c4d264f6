"""Orders to backend servers to load weight versions: planning, leases and crash protection."""

from oleander_orders import (
    claimants,
    load_capacity,
    load_guard,
    load_throttle,
    order_leases,
    placement,
    plan,
)

__all__ = [
    "claimants",
    "load_guard",
    "load_throttle",
    "load_capacity",
    "order_leases",
    "placement",
    "plan",
]
