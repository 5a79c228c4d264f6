"""Formats the help texts of the program from the table of settings."""

from oleanderdeal import exit_codes, setting_table

VERSION = "0.1.0"

_SUMMARIES: dict[setting_table.Command, str] = {
    setting_table.Command.ENTRY: "answer callers and trainers, and choose backend servers",
    setting_table.Command.SIDECAR: "run requests on the backend server beside it",
    setting_table.Command.PUBLISH: "put a contract in force",
    setting_table.Command.CHECK: "check a contract without publishing it",
    setting_table.Command.SHOW: "show the contracts and weight versions in force",
    setting_table.Command.AUDIT: "show every change: when, by whom, and its outcome",
    setting_table.Command.REPORT: "show what each customer received against what it was promised",
}


def summarize(command: setting_table.Command) -> str:
    """Return a one-line summary of a command."""
    return _SUMMARIES[command]


def format_usage() -> str:
    """Return the help text of the whole program."""
    width = max(len(command) for command in setting_table.Command)
    lines = ["usage: oleanderdeal COMMAND [--setting=value ...]", "", "commands:"]
    for command in setting_table.Command:
        lines.append(f"  {command:<{width}}  {_SUMMARIES[command]}")
    lines += ["", "oleanderdeal COMMAND --help lists its settings; --version prints the release."]
    return "\n".join([*lines, "", *_format_exit_codes()])


def format_command_help(command: setting_table.Command) -> str:
    """Return a command's help text, with unit, bounds and default of each setting."""
    lines = [f"usage: oleanderdeal {command} [--setting=value ...]", "", _SUMMARIES[command], ""]
    for setting in setting_table.list_settings(command):
        lines += _format_setting(setting)
    return "\n".join([*lines, "", *_format_exit_codes()])


def _format_setting(setting: setting_table.Setting) -> list[str]:
    return [
        f"  {setting.flag}  ({describe_values(setting)}; {describe_default(setting)})",
        f"      {setting.help}",
        f"      variable: {setting.variable}",
    ]


def describe_values(setting: setting_table.Setting) -> str:
    """Return the permitted values of a setting, with their unit."""
    if setting.kind is setting_table.Kind.CHOICE:
        return ", ".join(str(choice) for choice in setting.choices)
    if setting.kind is setting_table.Kind.INTEGER:
        return f"{setting.low} to {setting.high} {setting.unit}"
    if setting.unit == "secret":
        return f"{setting.kind}, secret"
    return str(setting.kind)


def describe_default(setting: setting_table.Setting) -> str:
    """Return the default of a setting, or that it is required."""
    if setting.default is None:
        return "must be given"
    if setting.default == "":
        return "default: empty"
    if isinstance(setting.default, bool):
        return f"default: {str(setting.default).lower()}"
    return f"default: {setting.default}"


def _format_exit_codes() -> list[str]:
    meanings = exit_codes.MEANINGS
    return ["exit status:", *(f"  {code.value}  {meaning}" for code, meaning in meanings.items())]
