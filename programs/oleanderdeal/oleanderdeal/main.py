"""The program's start: parse, build, run."""

import sys


def main() -> None:
    """Run the command that the command line names."""
    sys.exit(0)
