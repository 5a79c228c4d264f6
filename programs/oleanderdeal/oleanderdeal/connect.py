"""The one place where the adapters to the platform are chosen."""

import importlib

from oleander_platform import hostlist, logservice
from oleanderdeal import settings


def open_log(chosen: settings.Settings) -> logservice.LogService:
    """Return the platform's log service."""
    adapter = importlib.import_module("oleander_platform.http_logservice")
    log: logservice.LogService = adapter.HttpLogService(chosen.log_url)
    return log


def open_host_list(chosen: settings.Settings) -> hostlist.HostList:
    """Return the platform's list of hosts."""
    adapter = importlib.import_module("oleander_platform.http_hostlist")
    hosts: hostlist.HostList = adapter.HttpHostList(chosen.hosts_url)
    return hosts
