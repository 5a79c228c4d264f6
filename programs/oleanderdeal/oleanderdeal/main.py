"""Main function: parses the command line, configures logs and metrics, runs the command."""

import collections.abc
import importlib
import os
import sys

import expression

from oleander_base import findings, log, metrics
from oleanderdeal import exit_codes, help_texts, setting_table, settings

_HELP_FLAGS = ("--help", "-h", "-help")
_VERSION_FLAGS = ("--version", "-version")

_CommandFunction = collections.abc.Callable[[settings.Settings], int]
_OPERATOR_FUNCTION = ("oleanderdeal.operator_commands", "run_operator_command")
_COMMAND_FUNCTIONS: dict[setting_table.Command, tuple[str, str]] = {
    setting_table.Command.ENTRY: ("oleanderdeal.entry", "run_entry"),
    setting_table.Command.SIDECAR: ("oleanderdeal.sidecar", "run_sidecar"),
    setting_table.Command.PUBLISH: _OPERATOR_FUNCTION,
    setting_table.Command.CHECK: _OPERATOR_FUNCTION,
    setting_table.Command.SHOW: _OPERATOR_FUNCTION,
    setting_table.Command.AUDIT: _OPERATOR_FUNCTION,
    setting_table.Command.REPORT: _OPERATOR_FUNCTION,
}


def main() -> None:
    """Run the program with this process's arguments and environment, and exit."""
    sys.exit(run_program(sys.argv[1:], os.environ))


def run_program(
    arguments: collections.abc.Sequence[str], environ: collections.abc.Mapping[str, str]
) -> int:
    """Run the command that the first argument names, and return the exit status."""
    if not arguments:
        _print_error(help_texts.format_usage())
        return exit_codes.ExitCode.USAGE
    command = arguments[0]
    if command in _VERSION_FLAGS:
        _print_out(help_texts.VERSION)
        return exit_codes.ExitCode.OK
    if command in _HELP_FLAGS:
        _print_out(help_texts.format_usage())
        return exit_codes.ExitCode.OK
    if command in tuple(setting_table.Command) and _is_help_requested(arguments):
        _print_out(help_texts.format_command_help(setting_table.Command(command)))
        return exit_codes.ExitCode.OK
    result = settings.read_settings(command, arguments[1:], environ)
    match result:
        case expression.Result(tag="ok", ok=chosen):
            return _run_command(chosen)
        case expression.Result(error=found):
            return _print_findings(found)


def _is_help_requested(arguments: collections.abc.Sequence[str]) -> bool:
    return any(flag in arguments for flag in _HELP_FLAGS)


def _print_findings(found: findings.Findings) -> int:
    for finding in found.items:
        _print_error(f"oleanderdeal: {finding}")
    _print_error("oleanderdeal: see oleanderdeal --help")
    return exit_codes.ExitCode.USAGE


def _run_command(chosen: settings.Settings) -> int:
    process = chosen.name or chosen.command.value
    log.configure_log(chosen.log_level.value.upper(), chosen.log_json, process)
    prefix = f"oleanderdeal.{chosen.command}.{process}"
    metrics.configure_metrics(chosen.statsd_host, chosen.statsd_port, prefix)
    return _import_command(chosen.command)(chosen)


def _import_command(command: setting_table.Command) -> _CommandFunction:
    """
    Import the module of one command and return its function.

    Hosts have little memory, so a sidecar must not load modules that only an entry or an
    operator's command uses.
    """
    module, function = _COMMAND_FUNCTIONS[command]
    run: _CommandFunction = getattr(importlib.import_module(module), function)
    return run


def _print_out(text: str) -> None:
    sys.stdout.write(text + "\n")


def _print_error(text: str) -> None:
    sys.stderr.write(text + "\n")
