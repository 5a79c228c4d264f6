"""Steps for what the comments on constants say."""

import ast
import dataclasses
import pathlib
import re

import behave

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_FIGURE = re.compile(
    r"\b\d[\d.,]*\s?(s|ms|MB|KB|seconds?|percent|bytes|megabytes?|times|plays?|days?)\b"
    r"|\b\d[\d.,]* of \d"
)
_PROVENANCE = re.compile(r"\b(measured|guess(ed)?|plays?|quiet day|turned out|jumpy)\b", re.I)
_TIME = re.compile(r"(TIMEOUT|DELAY|PAUSE|INTERVAL|TTL|GRACE|BACKOFF)$")


@dataclasses.dataclass(slots=True, frozen=True)
class Constant:
    """A constant of a module, and its comment."""

    place: str
    name: str
    comment: str


_FAULTS = {
    "has a figure in its comment": lambda item: _FIGURE.search(item.comment),
    "tells how its value was found": lambda item: _PROVENANCE.search(item.comment),
    "is a time without a unit": lambda item: _TIME.search(item.name),
}


@behave.given("the constants of {folder}")
def read_folder(context, folder):
    paths = sorted((_ROOT / folder).rglob("*.py"))
    context.constants = [
        item for path in paths for item in _read_constants(path.read_text(), path.name)
    ]
    assert context.constants, f"{folder} has no constants with comments"


@behave.given("the constant {name} with the comment {comment}")
def write_constant(context, name, comment):
    source = f'{name} = 1\n"""{comment}."""\n'
    context.constants = _read_constants(source, "written here")


@behave.then("none of them {fault}")
def check_none(context, fault):
    found = [item for item in context.constants if _FAULTS[fault](item)]
    assert not found, "\n".join(map(str, found))


@behave.then("one of them {fault}")
def check_found(context, fault):
    assert [item for item in context.constants if _FAULTS[fault](item)], context.constants


def _read_constants(source, place):
    body = ast.parse(source).body
    return [
        Constant(f"{place}:{item.lineno}", name, _read_comment(after))
        for item, after in zip(body, [*body[1:], None], strict=True)
        if (name := _read_name(item)).strip("_").isupper()
    ]


def _read_name(item):
    if isinstance(item, ast.Assign):
        return ast.unparse(item.targets[0])
    return ast.unparse(item.target) if isinstance(item, ast.AnnAssign) else ""


def _read_comment(item):
    is_text = isinstance(item, ast.Expr) and isinstance(item.value, ast.Constant)
    return str(item.value.value) if is_text else ""
