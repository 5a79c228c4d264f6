"""
Settings of one run, read from flags and environment variables.

A flag overrides its variable, and a variable overrides the default. All settings are checked
before anything starts, and every fault is reported with the flag or variable that it is in.
"""

import collections.abc
import dataclasses
import difflib
import typing

import expression

from oleander_base import findings
from oleanderdeal import command_line, setting_table, setting_values

_MIN_SIMILARITY = 0.6
_TABLE = setting_table.TABLE


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """
    Checked settings of one run, passed as an argument and never read from a global.

    `setting_table.TABLE` states the unit, bounds and default of each. A setting that the command
    does not have holds its default, or an empty text if it has none.
    """

    command: setting_table.Command
    name: str
    address: str
    failure_domain: str
    log_url: str
    log_timeout_ms: int
    hosts_url: str
    configuration_poll_ms: int
    log_level: setting_table.LogLevel
    log_json: bool
    statsd_host: str
    statsd_port: int
    process_token: str = dataclasses.field(repr=False)
    customer_tokens: tuple[setting_values.CustomerToken, ...]
    backend: str
    backend_kind: setting_table.BackendKind | None
    """None for every command but `sidecar`."""
    backend_url: str
    slots: int
    queue_length: int
    model: str
    checks_fencing: bool
    load_timeout_ms: int
    load_spread_ms: int
    kept_answers: int
    kept_answer_bytes: int
    heartbeat_ms: int
    peer_limit: int
    http_threads: int
    sample_tasks: int
    claim_shards: int
    claim_window: int
    snapshot_interval_ms: int
    drain_ms: int
    file: str
    by: str
    customer: str
    entries: tuple[str, ...]
    operator_token: str = dataclasses.field(repr=False)
    wait_ms: int
    json: bool

    @property
    def listen_host(self) -> str:
        """The IP address in `address`, without the brackets of IPv6."""
        return self.address.rpartition(":")[0].removeprefix("[").removesuffix("]")

    @property
    def listen_port(self) -> int:
        """The port in `address`; 0 lets the system choose a free one."""
        return int(self.address.rpartition(":")[2])


@dataclasses.dataclass(slots=True, frozen=True)
class _SettingText:
    """Text of a setting, and the flag or variable that gave it."""

    origin: str
    text: str


def read_settings(
    command: str,
    argv: collections.abc.Sequence[str],
    environ: collections.abc.Mapping[str, str],
) -> expression.Result[Settings, findings.Findings]:
    """Return a command's settings, or all faults; `argv` holds the flags after its name."""
    if command not in tuple(setting_table.Command):
        fix = suggest_nearest(command, tuple(setting_table.Command))
        finding = findings.Finding(command or "command line", "is no command", fix)
        return expression.Error(findings.Findings((finding,)))
    found: list[findings.Finding] = []
    run = setting_table.Command(command)
    given = _collect_texts(run, argv, environ, found)
    values = {setting.name: _choose_value(setting, run, given, found) for setting in _TABLE}
    if not found:
        _check_combinations(run, values, found)
    if found:
        return expression.Error(findings.Findings(tuple(found)))
    return expression.Ok(Settings(command=run, **values))


def suggest_nearest(word: str, known: collections.abc.Iterable[str]) -> str:
    """Return the hint `did you mean NAME?` for a mistyped word, or '' if none is similar."""
    nearest = difflib.get_close_matches(word, list(known), n=1, cutoff=_MIN_SIMILARITY)
    return f"did you mean {nearest[0]}?" if nearest else ""


def _collect_texts(
    command: setting_table.Command,
    argv: collections.abc.Sequence[str],
    environ: collections.abc.Mapping[str, str],
    found: list[findings.Finding],
) -> dict[str, _SettingText]:
    given = _read_variables(environ, found)
    known = setting_table.list_settings(command)
    line = command_line.parse_flags(known, argv)
    for name, text in line.texts.items():
        given[name] = _SettingText(f"--{name}", text)
    found.extend(line.faults)
    for flag in line.unknown:
        found.append(
            findings.Finding(flag, f"is no flag of {command}", _suggest_flag(flag, known))
        )
    return given


def _suggest_flag(flag: str, known: collections.abc.Sequence[setting_table.Setting]) -> str:
    for setting in _TABLE:
        if setting.flag == flag:
            return f"it belongs to {', '.join(setting.commands)}"
    return suggest_nearest(flag, [setting.flag for setting in known])


def _read_variables(
    environ: collections.abc.Mapping[str, str], found: list[findings.Finding]
) -> dict[str, _SettingText]:
    """
    Collect the environment variables with the program's prefix, and report unknown ones.

    A variable for another command is not a fault, because a host sets the same variables for
    every command that runs on it.
    """
    by_variable = {setting.variable: setting for setting in _TABLE}
    given = {}
    for variable, text in environ.items():
        if not variable.startswith(setting_table.VARIABLE_PREFIX):
            continue
        if variable in by_variable:
            given[by_variable[variable].name] = _SettingText(variable, text)
            continue
        fix = suggest_nearest(variable, by_variable)
        found.append(findings.Finding(variable, "is not a known variable", fix))
    return given


def _choose_value(
    setting: setting_table.Setting,
    command: setting_table.Command,
    given: dict[str, _SettingText],
    found: list[findings.Finding],
) -> typing.Any:
    """Return the parsed value or the default; add a finding and return None if it is faulty."""
    source = given.get(setting.name) if command in setting.commands else None
    if source is None:
        return _choose_default(setting, command, found)
    result = setting_values.read_value(setting, source.text)
    if result.is_ok():
        return result.ok
    fix = f"in {setting.unit}" if setting.unit else str(setting.kind)
    found.append(findings.Finding(source.origin, result.error, fix))
    return None


def _choose_default(
    setting: setting_table.Setting,
    command: setting_table.Command,
    found: list[findings.Finding],
) -> typing.Any:
    if setting.default is None:
        if command in setting.commands:
            fix = f"or set {setting.variable}"
            found.append(findings.Finding(setting.flag, "must be given", fix))
        return None if setting.kind is setting_table.Kind.CHOICE else ""
    if isinstance(setting.default, str):
        return setting_values.read_value(setting, setting.default).ok
    return setting.default


def _check_combinations(
    command: setting_table.Command,
    values: dict[str, typing.Any],
    found: list[findings.Finding],
) -> None:
    """Check rules that involve several settings, once each setting is valid by itself."""
    is_engine = values["backend_kind"] == setting_table.BackendKind.ENGINE
    if is_engine and not values["model"]:
        found.append(findings.Finding("--model", "must be given", "an engine runs one model"))
    if command == setting_table.Command.REPORT and not values["entries"]:
        found.append(
            findings.Finding(
                "--entries", "must be given", "the URLs of the entries whose counts are reported"
            )
        )
