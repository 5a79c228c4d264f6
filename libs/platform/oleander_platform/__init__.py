"""The platform's services, behind one abstract class each: log, host list, weight store."""

from oleander_platform import (
    hostlist,
    http_hostlist,
    http_logservice,
    keyed_follower,
    logservice,
    recordlog,
)

__all__ = [
    "hostlist",
    "http_hostlist",
    "http_logservice",
    "keyed_follower",
    "logservice",
    "recordlog",
]
