"""Creates the clients of the platform's services; the only place that selects adapters."""

import importlib

from oleander_platform import hostlist, logservice
from oleanderdeal import settings


def open_log(process_settings: settings.Settings) -> logservice.LogService:
    """Create the client of the platform's log."""
    adapter = importlib.import_module("oleander_platform.http_logservice")
    log: logservice.LogService = adapter.HttpLogService(process_settings.log_url)
    return log


def open_host_list(process_settings: settings.Settings) -> hostlist.HostList:
    """Create the client of the platform's host list."""
    adapter = importlib.import_module("oleander_platform.http_hostlist")
    hosts: hostlist.HostList = adapter.HttpHostList(process_settings.hosts_url)
    return hosts
