"""Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if it could not run."""

import collections.abc
import os
import pathlib
import signal
import sys
import traceback
import types

from common import record, site

_BROKEN = 1
_COULD_NOT_RUN = 2

Play = collections.abc.Callable[[record.Record, bool], list[str]]
"""Plays a case, given whether there is a disturbance; returns what broke the rule."""


def run(folder: pathlib.Path, play: Play) -> None:
    """Play a case and exit with its status."""
    signal.signal(signal.SIGTERM, _stop)
    written = record.Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    written.write("case", "with the disturbance" if has_trouble else "without the disturbance")
    try:
        broken = play(written, has_trouble)
    except site.CannotRunError as error:
        written.write("case", f"could not run: {error}")
        sys.exit(_COULD_NOT_RUN)
    except Exception:
        written.write("case", f"could not run: {traceback.format_exc()}")
        sys.exit(_COULD_NOT_RUN)
    for line in broken:
        written.write("case", f"BROKEN: {line}")
    written.write("case", "the rule was broken" if broken else "the rule held")
    sys.exit(_BROKEN if broken else 0)


def _stop(number: int, frame: types.FrameType | None) -> None:
    """End the case, and with it the processes that it started."""
    sys.exit(_COULD_NOT_RUN)
