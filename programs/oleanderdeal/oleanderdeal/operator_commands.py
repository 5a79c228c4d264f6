"""Dispatch of the operators' commands, of which only `publish` writes to the log."""

import collections.abc
import sys
import time

from oleanderdeal import (
    connect,
    entry_clients,
    operator_context,
    output,
    setting_table,
    settings,
)
from oleanderdeal.commands import audit, check, publish, report, show

_CommandFunction = collections.abc.Callable[[operator_context.OperatorContext], int]
_COMMAND_FUNCTIONS: dict[setting_table.Command, _CommandFunction] = {
    setting_table.Command.PUBLISH: publish.run_publish,
    setting_table.Command.CHECK: check.run_check,
    setting_table.Command.SHOW: show.run_show,
    setting_table.Command.AUDIT: audit.run_audit,
    setting_table.Command.REPORT: report.run_report,
}


def run_operator_command(chosen: settings.Settings) -> int:
    """Run a command with standard input and output, and return its exit status."""
    printer = output.JsonOutput if chosen.json else output.TableOutput
    needs_log = chosen.command is not setting_table.Command.CHECK
    context = operator_context.OperatorContext(
        settings=chosen,
        log=connect.open_log(chosen) if needs_log else None,
        entries=entry_clients.HttpEntryClient(chosen.operator_token),
        source=sys.stdin,
        output=printer(sys.stdout),
        pause=time.sleep,
    )
    return run_command(context)


def run_command(context: operator_context.OperatorContext) -> int:
    """Run the command that the context's settings name, and return its exit status."""
    return _COMMAND_FUNCTIONS[context.settings.command](context)
