"""Exit statuses of the program and their meanings in the help."""

import enum


class ExitCode(enum.IntEnum):
    """Exit status of a run; operators' scripts depend on the numbers."""

    OK = 0
    FAILED = 1
    USAGE = 2
    VOID = 3
    UNREACHABLE = 4
    DRAIN_TIMED_OUT = 5


MEANINGS: dict[ExitCode, str] = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "failed, or the contract that was checked has faults",
    ExitCode.USAGE: "bad command line, variable or setting",
    ExitCode.VOID: "void: another publisher was first",
    ExitCode.UNREACHABLE: "the platform or an entry can't be reached; what was printed is partial",
    ExitCode.DRAIN_TIMED_OUT: "ended when --drain_ms was over, with requests still in progress",
}
