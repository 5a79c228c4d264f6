"""Creates the clients of the platform's services; the only place that selects adapters."""

import importlib

from oleander_platform import hostlist, logservice
from oleanderdeal import settings


def open_log(chosen: settings.Settings) -> logservice.LogService:
    """Create the client of the platform's log."""
    adapter = importlib.import_module("oleander_platform.http_logservice")
    log: logservice.LogService = adapter.HttpLogService(chosen.log_url)
    return log


def open_host_list(chosen: settings.Settings) -> hostlist.HostList:
    """Create the client of the platform's host list."""
    adapter = importlib.import_module("oleander_platform.http_hostlist")
    hosts: hostlist.HostList = adapter.HttpHostList(chosen.hosts_url)
    return hosts
