"""Differences between two versions of a contract, for display."""

import dataclasses
import typing

from oleander_contracts import contract, readers

_LIST_FIELDS = ("operations", "trainers")


@dataclasses.dataclass(slots=True, frozen=True)
class Difference:
    """A changed field; `before` or `after` is empty if the field did not or does not exist."""

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        """Return the difference as one line of text."""
        return f"{self.path}: {self.before or 'none'} to {self.after or 'none'}"


def list_differences(
    before: contract.Contract | None, after: contract.Contract
) -> tuple[Difference, ...]:
    """Return the changed fields; operations and trainers are matched by name."""
    old = {} if before is None else _flatten(readers.write_document(before))
    new = _flatten(readers.write_document(after))
    paths = [*new, *(path for path in old if path not in new)]
    return tuple(
        Difference(path, old.get(path, ""), new.get(path, ""))
        for path in paths
        if old.get(path) != new.get(path)
    )


def _flatten(document: dict[str, typing.Any]) -> dict[str, str]:
    fields = {}
    for name, value in document.items():
        if name not in _LIST_FIELDS:
            fields[name] = _format_value(value)
            continue
        for item in value:
            for key, part in item.items():
                if key != "name":
                    fields[f"{name}.{item['name']}.{key}"] = _format_value(part)
    return fields


def _format_value(value: typing.Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
