"""Output of the operators' commands: tables for people, or JSON lines for programs."""

import abc
import collections.abc
import json
import typing

Cell = str | int | float | bool
Row = collections.abc.Sequence[Cell]
Columns = collections.abc.Sequence[str]

_MAX_CELL_CHARACTERS = 120


class Output(abc.ABC):
    """Writes the results of one command to a stream."""

    def __init__(self, stream: typing.TextIO) -> None:
        self._stream = stream

    @abc.abstractmethod
    def print_table(
        self, kind: str, columns: Columns, rows: collections.abc.Iterable[Row]
    ) -> None:
        """Print rows of equal columns; `kind` names the type of the rows in JSON output."""

    @abc.abstractmethod
    def print_note(self, text: str) -> None:
        """Print a message to the operator."""

    def _print_line(self, line: str) -> None:
        self._stream.write(line + "\n")


class TableOutput(Output):
    """Prints tables with aligned columns, for people."""

    def print_table(
        self, kind: str, columns: Columns, rows: collections.abc.Iterable[Row]
    ) -> None:
        """Print a heading and a line for each row; print nothing if there are no rows."""
        lines = [[_sanitize(cell) for cell in row] for row in rows]
        if not lines:
            return
        widths = [
            max(len(column), *(len(line[place]) for line in lines))
            for place, column in enumerate(columns)
        ]
        for line in [list(columns), *lines]:
            cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
            self._print_line("  ".join(cells).rstrip())
        self._print_line("")

    def print_note(self, text: str) -> None:
        """Print a message to the operator."""
        self._print_line(_sanitize(text, len(text)))


class JsonOutput(Output):
    """Prints one JSON object per line, whose field `kind` names its type."""

    def print_table(
        self, kind: str, columns: Columns, rows: collections.abc.Iterable[Row]
    ) -> None:
        """Print one JSON object for each row."""
        for row in rows:
            fields = dict(zip(columns, row, strict=True))
            self._print_line(json.dumps({"kind": kind, **fields}))

    def print_note(self, text: str) -> None:
        """Print a message to the operator."""
        self._print_line(json.dumps({"kind": "note", "text": text}))


def _sanitize(cell: Cell, max_characters: int = _MAX_CELL_CHARACTERS) -> str:
    """
    Return a cell's text, shortened and with unprintable characters replaced by `?`.

    Any program can write records to the log, and control characters in one could overwrite what
    the terminal shows of the others.
    """
    text = str(cell).lower() if isinstance(cell, bool) else str(cell)
    return "".join(letter if letter.isprintable() else "?" for letter in text[:max_characters])
