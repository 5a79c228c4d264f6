"""Clients of the platform's services: abstract classes for the log and the host list."""

from oleander_platform import (
    append_limits,
    hostlist,
    http_hostlist,
    http_logservice,
    keyed_follower,
    logservice,
    recordlog,
)

__all__ = [
    "append_limits",
    "hostlist",
    "http_hostlist",
    "http_logservice",
    "keyed_follower",
    "logservice",
    "recordlog",
]
