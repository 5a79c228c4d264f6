"""Steps for the contents of comments on constants."""

import ast
import dataclasses
import io
import pathlib
import re
import tokenize

import behave

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_FIGURE = re.compile(
    r"\b\d[\d.,]*\s?(s|ms|MB|KB|seconds?|percent|bytes|megabytes?|times|plays?|days?)\b"
    r"|\b\d[\d.,]* of \d"
)
_CLAUSE_END = re.compile(r"(?<=[.;:!?])\s+")
_FAILED = (
    r"(?<!\bis )(?<!\bare )(?<!\bbe )(?<!\bbeing )(?<!\bbeen )(?<!\ba )(?<!\bthe )"
    r"\b(overflowed|failed|refused|rejected|lost|timed out|stalled|starved|overloaded|crashed"
    r"|leaked|deadlocked|exhausted|corrupted|broke|expired|missed|delayed|ejected"
    r"|(gave|caused) (\w+ )?(false|spurious|duplicate|late|lost)|(was|were|came) too \w+)\b"
)
_WOULD_FAIL = (
    r"\bwould (\w+ )?(overflow|fail|refuse|reject|lose|time out|stall|starve|overload|crash"
    r"|leak|deadlock|exhaust|corrupt|break|expire|miss|delay|eject"
    r"|be (refused|rejected|lost|stalled|starved|overloaded|exhausted|corrupted|missed|ejected)"
    r"|(give|cause) (\w+ )?(false|spurious|duplicate|late|lost)|(be|come) too \w+)\b"
)
_REASON = re.compile(rf"({_FIGURE.pattern}).*?({_FAILED}|{_WOULD_FAIL})", re.I)
"""A figure followed by what went wrong, or would go wrong, with it."""
_PROVENANCE = re.compile(r"\b(measured|guess(ed)?|plays?|quiet day|turned out|jumpy)\b", re.I)
_TIME = re.compile(r"(TIMEOUT|DELAY|PAUSE|INTERVAL|TTL|GRACE|BACKOFF)$")


@dataclasses.dataclass(slots=True, frozen=True)
class Constant:
    """A module-level constant with its line comments and docstring as one text."""

    place: str
    name: str
    comment: str


_FAULTS = {
    "has a figure in its comment": lambda item: _has_bare_figure(item.comment),
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


@behave.given("the constant {name} and {place} it the line comment {comment}")
def write_line_comment(context, name, place, comment):
    sources = {
        "above": f"# {comment}.\n{name} = 1\n",
        "beside": f"{name} = 1  # {comment}.\n",
        "inside": f"{name} = (\n    # {comment}.\n    1\n)\n",
        "far above": f"# {comment}.\n\n{name} = 1\n",
    }
    context.constants = _read_constants(sources[place], "written here")


@behave.then("none of them {fault}")
def check_none(context, fault):
    found = [item for item in context.constants if _FAULTS[fault](item)]
    assert not found, "\n".join(map(str, found))


@behave.then("one of them {fault}")
def check_found(context, fault):
    assert [item for item in context.constants if _FAULTS[fault](item)], context.constants


def _has_bare_figure(comment):
    """Return whether a clause has a figure but does not say what goes wrong with it."""
    clauses = _CLAUSE_END.split(" ".join(comment.split()))
    return any(_FIGURE.search(clause) and not _REASON.search(clause) for clause in clauses)


def _read_constants(source, place):
    body = ast.parse(source).body
    lines = _find_line_comments(source)
    return [
        Constant(
            f"{place}:{item.lineno}", name, f"{_join_lines(item, lines)} {_read_comment(after)}"
        )
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


def _find_line_comments(source):
    """Map line numbers to the `#` comment there and whether the line holds nothing else."""
    tokens = tokenize.generate_tokens(io.StringIO(source).readline)
    return {
        token.start[0]: (token.string.lstrip("#: "), not token.line[: token.start[1]].strip())
        for token in tokens
        if token.type == tokenize.COMMENT
    }


def _join_lines(item, lines):
    """Return the `#` comments directly above, within and beside a statement, as one text."""
    first = item.lineno
    while lines.get(first - 1, ("", False))[1]:
        first -= 1
    return " ".join(lines[line][0] for line in range(first, item.end_lineno + 1) if line in lines)
