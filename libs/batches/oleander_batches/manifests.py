"""Manifests: the lists of a content's records if it is too large for one record or append."""

import dataclasses
import typing

import cbor2
import expression

from oleander_base import cbor_input, findings

MAX_CONTENT_BYTES = 32 * 1024 * 1024
"""Maximum size of a content. It is the operator's usual limit for a request body; the decoded
fields of a submission are smaller than the JSON that they came in."""
MAX_RECORDS = 16 * 1024
"""Maximum number of records of one content, whatever limits its writer had."""
_MAP_TYPE = 5
"""Major type of a CBOR map. Submissions, results and partial texts are encoded as arrays."""
_MAJOR_TYPE_SHIFT = 5
_RANGES = "ranges"
_BYTES = "bytes"


@dataclasses.dataclass(slots=True, frozen=True)
class Manifest:
    """The location of a content's parts, in order, in the partition that holds the manifest."""

    ranges: tuple[range, ...]
    """Ranges of consecutive offsets; the records between two ranges are of other writers."""
    size: int
    """The size of the whole content in bytes."""


def is_manifest(content: bytes) -> bool:
    """Return whether a record holds a manifest, as opposed to a content itself."""
    return bool(content) and content[0] >> _MAJOR_TYPE_SHIFT == _MAP_TYPE


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest as a CBOR map, which no content is."""
    ranges = [[item.start, len(item)] for item in manifest.ranges]
    return cbor2.dumps({_RANGES: ranges, _BYTES: manifest.size})


def decode_manifest(content: bytes) -> expression.Result[Manifest, findings.Finding]:
    """Decode a manifest; one of another form, or with more than its bounds allow, is a finding."""
    return cbor_input.decode("manifest", content).bind(_build_manifest)


def _build_manifest(fields: typing.Any) -> expression.Result[Manifest, findings.Finding]:
    try:
        ranges = tuple(_build_range(*item) for item in fields[_RANGES])
        size = fields[_BYTES]
    except (ValueError, TypeError, LookupError) as error:
        return expression.Error(findings.Finding("manifest", f"can't be read: {error!r}"[:200]))
    if type(size) is not int:
        return expression.Error(findings.Finding("manifest", "has no size"))
    records = sum(len(item) for item in ranges)
    if not 0 < size <= MAX_CONTENT_BYTES or records > MAX_RECORDS:
        return expression.Error(findings.Finding("manifest", "exceeds its bounds"))
    return expression.Ok(Manifest(ranges, size))


def _build_range(first: int, count: int) -> range:
    if type(first) is not int or type(count) is not int or first < 0:
        raise ValueError("a range is malformed")
    if not 0 < count <= MAX_RECORDS:
        raise ValueError("a range is malformed")
    return range(first, first + count)
