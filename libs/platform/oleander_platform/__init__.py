"""The platform's services, behind one abstract class each: log, host list, weight store."""

from oleander_platform import hostlist, logservice

__all__ = ["hostlist", "logservice"]
