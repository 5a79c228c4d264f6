"""What the program's exit status means."""

import enum


class ExitCode(enum.IntEnum):
    """How a run ended; scripts depend on these numbers."""

    OK = 0
    FAILED = 1
    USAGE = 2
    VOID = 3
    UNREACHABLE = 4
    CUT = 5


MEANINGS: dict[ExitCode, str] = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "failed, or the contract that was checked has faults",
    ExitCode.USAGE: "bad command line, variable or setting",
    ExitCode.VOID: "void: another publisher was first",
    ExitCode.UNREACHABLE: "the platform or an entry can't be reached; what was printed is partial",
    ExitCode.CUT: "stopped at the drain bound with requests in progress",
}
