"""
Parsing of command-line flags with absl.

Values stay unparsed texts, so that `settings` checks them together with environment variables.
"""

import collections.abc
import dataclasses

from absl import flags

from oleander_base import findings
from oleanderdeal import setting_table

_PROGRAM = "oleanderdeal"
_FLAG_SYNTAX = "settings are given as --name=value"
_ABSL_FLAGS = ("flagfile", "undefok")


@dataclasses.dataclass(slots=True)
class CommandLine:
    """Result of parsing a command line."""

    texts: dict[str, str]
    """Text of each flag that was given, by the setting's name."""
    unknown: list[str]
    """Flags that the command does not have, as `--name`."""
    faults: list[findings.Finding]


class _UncheckedParser(flags.ArgumentParser[str]):
    """Accepts any text: absl would stop at the first bad value, but all must be reported."""

    syntactic_help = ""

    def parse(self, argument: str) -> str:
        """Return the text unchanged."""
        return argument

    def flag_type(self) -> str:
        """Return the type's name for absl's messages."""
        return "text"


def parse_flags(
    settings: collections.abc.Sequence[setting_table.Setting],
    argv: collections.abc.Sequence[str],
) -> CommandLine:
    """Parse a command's flags; absl's flag registry exists only during this call."""
    line = CommandLine({}, [], [])
    kept = _remove_absl_flags(argv, line)
    for argument in _parse(settings, kept, line):
        _report_leftover(argument, line)
    return line


def _define_flags(settings: collections.abc.Sequence[setting_table.Setting]) -> flags.FlagValues:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    values.set_gnu_getopt(True)
    for setting in settings:
        flag = flags.Flag(
            parser=_UncheckedParser(),
            serializer=None,
            name=setting.name,
            default=None,
            help_string=setting.help,
            boolean=setting.kind is setting_table.Kind.BOOLEAN,
        )
        flags.DEFINE_flag(flag, values)
    return values


def _remove_absl_flags(argv: collections.abc.Sequence[str], line: CommandLine) -> list[str]:
    """Remove absl's `--flagfile`, which reads files, and `--undefok`, which hides typos."""
    kept = []
    for argument in argv:
        name = argument.lstrip("-").partition("=")[0]
        if argument.startswith("-") and name in _ABSL_FLAGS:
            line.unknown.append(f"--{name}")
        else:
            kept.append(argument)
    return kept


def _parse(
    settings: collections.abc.Sequence[setting_table.Setting], argv: list[str], line: CommandLine
) -> list[str]:
    """
    Parse the flags and return the arguments that remain.

    absl stops at the first malformed argument, so that argument is reported and the others are
    parsed again without it.
    """
    while True:
        values = _define_flags(settings)
        try:
            leftover = values([_PROGRAM, *argv], known_only=True)[1:]
        except (flags.Error, ValueError) as error:
            culprit = _find_rejected_argument(argv, str(error))
            line.faults.append(findings.Finding(argv[culprit], "can't be read", _FLAG_SYNTAX))
            argv = argv[:culprit] + argv[culprit + 1 :]
            continue
        given = [values[setting.name] for setting in settings if values[setting.name].present]
        line.texts.update({flag.name: str(flag.value) for flag in given})
        return leftover


def _find_rejected_argument(argv: list[str], message: str) -> int:
    """Return the index of the argument that absl's message quotes, else that of the last one."""
    quoted = [place for place, text in enumerate(argv) if len(text) > 1 and text in message]
    return max(quoted, key=lambda place: len(argv[place]), default=len(argv) - 1)


def _report_leftover(argument: str, line: CommandLine) -> None:
    name = argument.lstrip("-").partition("=")[0]
    if argument.startswith("-") and name:
        line.unknown.append(f"--{name}")
        return
    line.faults.append(findings.Finding(argument, "is no flag", _FLAG_SYNTAX))
