"""Data types and encodings of batch submissions, item results and partial texts."""

import dataclasses
import enum
import typing

import cbor2
import expression

from oleander_base import cbor_input, findings


@dataclasses.dataclass(slots=True, frozen=True)
class Scoring:
    """The request whose answer is the score of an item's text."""

    request_id: str
    host: str
    path: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """One sample to be generated."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    """The tokens of the prompt plus the maximum number of tokens to generate."""
    group: str
    scoring: Scoring | None
    expected_tokens: int = 0
    """The trainer's estimate of the sample's tokens, often inaccurate; 0 if it gave none."""


@dataclasses.dataclass(slots=True, frozen=True)
class Submission:
    """The items that a trainer submitted for one step."""

    batch_id: str
    host: str
    path: str
    """The path that selects the route, together with the host."""
    step: int
    model: str
    oldest_version: int
    """The oldest weight version that may generate any token of the batch."""
    wanted_groups: int
    """The number of complete groups that the trainer waits for."""
    items: tuple[Item, ...]
    organisation: str = ""
    """The organisation that owns the batch for its lifetime; empty if callers need no API key."""

    @property
    def body_bytes(self) -> int:
        """The size of all request bodies of the submission."""
        scorings = [item.scoring for item in self.items if item.scoring is not None]
        return sum(len(item.body) for item in self.items) + sum(
            len(scoring.body) for scoring in scorings
        )

    def find_item(self, item_id: str) -> Item | None:
        """Return the item with this ID, or None."""
        return next((item for item in self.items if item.item_id == item_id), None)


class ResultState(enum.Enum):
    """Whether an item has a text."""

    DONE = "done"
    """The text was generated and scored."""
    LOST = "lost"
    """The item was given up."""


@dataclasses.dataclass(slots=True, frozen=True)
class ItemResult:
    """The outcome of one item, as its trainer reads it."""

    item_id: str
    state: ResultState
    text: str
    versions: tuple[int, ...]
    """All weight versions that generated a part of the text."""
    score: str


@dataclasses.dataclass(slots=True, frozen=True)
class PartialText:
    """The start of an item's text, from which another process can resume it."""

    item_number: int
    text: str
    events: int
    label: tuple[tuple[int, int], ...]
    """Pairs of a weight version and its number of events, in text order."""


def build_lost_result(item_id: str) -> ItemResult:
    """Return the result of an item that was given up."""
    return ItemResult(item_id, ResultState.LOST, "", (), "")


_Value = typing.TypeVar("_Value")
_Decoded = expression.Result[typing.Any, findings.Finding]


def encode_submission(submission: Submission) -> bytes:
    """Encode a submission as CBOR."""
    items = [_encode_item(item) for item in submission.items]
    return cbor2.dumps(
        [
            submission.batch_id,
            submission.host,
            submission.path,
            submission.step,
            submission.model,
            submission.oldest_version,
            submission.wanted_groups,
            items,
            submission.organisation,
        ]
    )


def decode_submission(content: bytes) -> expression.Result[Submission, findings.Finding]:
    """Decode a submission; invalid content yields a finding."""
    return _decode("submission", content, _build_submission)


def encode_result(result: ItemResult) -> bytes:
    """Encode an item's result as CBOR."""
    fields = [result.item_id, result.state.value, result.text, result.versions, result.score]
    return cbor2.dumps(fields)


def decode_result(content: bytes) -> expression.Result[ItemResult, findings.Finding]:
    """Decode an item's result; invalid content yields a finding."""
    return _decode("result", content, _build_result)


def encode_partial(partial: PartialText) -> bytes:
    """Encode a partial text as CBOR."""
    return cbor2.dumps([partial.item_number, partial.text, partial.events, partial.label])


def decode_partial(content: bytes) -> expression.Result[PartialText, findings.Finding]:
    """Decode a partial text; invalid content yields a finding."""
    return _decode("partial", content, _build_partial)


def _decode(
    place: str, content: bytes, build: typing.Callable[[typing.Any], typing.Any]
) -> _Decoded:
    """Decode one record; content of another writer yields a finding, not an exception."""
    decoded = cbor_input.decode(place, content)
    if decoded.is_error():
        return decoded
    try:
        return expression.Ok(build(decoded.ok))
    except (ValueError, TypeError, LookupError) as error:
        return expression.Error(findings.Finding(place, f"can't be read: {error!r}"[:200]))


def _check_type(value: typing.Any, kind: type[_Value]) -> _Value:
    """Return a field of another writer's record; raise TypeError if it has another type."""
    if type(value) is not kind:
        raise TypeError(f"{type(value).__name__} in place of {kind.__name__}")
    return value


def _build_submission(fields: typing.Any) -> Submission:
    batch_id, host, path, step, model, oldest_version, wanted_groups, items, *rest = fields
    return Submission(
        _check_type(batch_id, str),
        _check_type(host, str),
        _check_type(path, str),
        _check_type(step, int),
        _check_type(model, str),
        _check_type(oldest_version, int),
        _check_type(wanted_groups, int),
        tuple(_build_item(item) for item in items),
        _check_type(rest[0], str) if rest else "",
    )


def _encode_item(item: Item) -> list[typing.Any]:
    scoring = item.scoring
    flat = scoring and [scoring.request_id, scoring.host, scoring.path, scoring.body]
    return [
        item.item_id,
        item.path,
        item.headers,
        item.body,
        item.tokens,
        item.group,
        flat,
        item.expected_tokens,
    ]


def _build_item(fields: typing.Any) -> Item:
    item_id, path, headers, body, tokens, group, scoring, expected_tokens = fields
    pairs = tuple((_check_type(name, str), _check_type(value, str)) for name, value in headers)
    return Item(
        _check_type(item_id, str),
        _check_type(path, str),
        pairs,
        _check_type(body, bytes),
        _check_type(tokens, int),
        _check_type(group, str),
        _build_scoring(*scoring) if scoring else None,
        _check_type(expected_tokens, int),
    )


def _build_scoring(
    request_id: typing.Any, host: typing.Any, path: typing.Any, body: typing.Any
) -> Scoring:
    return Scoring(
        _check_type(request_id, str),
        _check_type(host, str),
        _check_type(path, str),
        _check_type(body, bytes),
    )


def _build_result(fields: typing.Any) -> ItemResult:
    item_id, state, text, versions, score = fields
    return ItemResult(
        _check_type(item_id, str),
        ResultState(state),
        _check_type(text, str),
        tuple(_check_type(version, int) for version in versions),
        _check_type(score, str),
    )


def _build_partial(fields: typing.Any) -> PartialText:
    number, text, events, label = fields
    pairs = tuple((_check_type(version, int), _check_type(made, int)) for version, made in label)
    return PartialText(
        _check_type(number, int), _check_type(text, str), _check_type(events, int), pairs
    )
