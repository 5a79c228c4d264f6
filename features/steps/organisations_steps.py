"""Steps for organisations and the identification of callers by key."""

import types
import unittest.mock

import behave
import cbor2

import server_fakes
from oleander_base import clock
from oleander_batches import records, submission
from oleander_direct import directory, organisations, routes
from oleander_routing import router
from oleanderdeal import direct_entry, item_texts, route_lookup

_RED = organisations.Organisation("red", ("r1", "r2"), 0)
_BLUE = organisations.Organisation("blue", ("b1",), None)
_LIMITS = routes.Limits(1, 1, 1)


def _build_key_ring(names):
    if names == "without":
        return None
    return organisations.KeyRing(item for item in (_RED, _BLUE) if item.name in names.split())


@behave.given("the organisations are {configured} and the newest configuration is {age}")
def configure(context, configured, age):
    context.keys = _build_key_ring(configured)
    context.is_current = age == "known"


@behave.when("a call comes with the header {header} for a {kind} route")
def call_with_header(context, header, kind):
    header = "" if header == "none" else header
    context.caller = organisations.identify_caller(
        context.keys, header, kind == "public", context.is_current
    )


def _describe(caller):
    if isinstance(caller, organisations.UnknownKey):
        return "unknown" if caller.is_definitive else "maybe unknown"
    if not caller.hides_credentials:
        return "anybody"
    if not caller.organisation:
        return "anonymous"
    return caller.organisation + (
        "" if caller.priority is None else f" priority {caller.priority}"
    )


@behave.then("the caller is {caller}")
def check_identity(context, caller):
    assert _describe(context.caller) == caller, context.caller


@behave.given(
    "an entry that read {configuration} and last heard the operator's records {seconds:f} s ago"
)
def create_entry(context, configuration, seconds):
    context.now = 1000.0
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        context.directory = directory.Directory(router.Router(1), server_fakes.FailingCaller())
        if configuration == "a configuration":
            context.directory.update_table(
                routes.RouteTable(1, (), (), _LIMITS, _build_key_ring("red"))
            )
        context.directory.record_configuration_read()
        context.now += seconds
        context.directory.record_list_read()


@behave.when("a caller presents {key}")
def look_up_key(context, key):
    entry = types.SimpleNamespace(_directory=context.directory)
    entry._is_platform_silent = lambda: direct_entry.DirectEntry._is_platform_silent(entry)
    lookup = route_lookup.RouteLookup(
        context.directory, lambda: direct_entry.DirectEntry._is_stale(entry)
    )
    with unittest.mock.patch.object(clock, "read_now", lambda: context.now):
        context.found = lookup.identify(f"Bearer {key}", False, "id")


@behave.then("its lookup says {answer}")
def check_lookup(context, answer):
    found = context.found
    seen = found.ok.organisation if found.is_ok() else ""
    if found.is_error():
        seen = "denied" if found.error.is_certain else "unsure"
        assert found.error.is_certain or found.error.retry_after_ms > 0
    assert seen == answer, found


class _CountedKey(str):
    """A key that counts how often it is compared to another."""

    __slots__ = ("compared",)

    def __eq__(self, other):
        self.compared = getattr(self, "compared", 0) + 1
        return str.__eq__(self, other)

    def __hash__(self):
        return str.__hash__(self)


@behave.given("{count:d} organisations of two keys each")
def create_organisations(context, count):
    context.keys = organisations.KeyRing(
        organisations.Organisation(f"o{n}", (f"a{n}", f"b{n}"), None) for n in range(count)
    )


@behave.then("a key is found by comparing it with at most {most:d} others")
def check_comparisons(context, most):
    key = _CountedKey("b70")
    assert context.keys.find_organisation(key).name == "o70"
    assert key.compared <= most, key.compared


@behave.given("a text of item i of model m that was kept for red")
def keep_text(context):
    start = submission.PartialText(0, "text", 1, ((1, 1),))
    context.texts = item_texts.TextCache()
    context.texts.add([item_texts.KnownText("red", "i", "m", start, None)])


@behave.then("{organisation} finds {found} for item i")
def find_text(context, organisation, found):
    known = context.texts.find(organisation, "i", "m")
    assert (known is not None) == (found == "a text"), known


@behave.then("records of both kinds are read, with red and with no organisation")
def read_records(context):
    record = records.Accepted("b", "h", "/p", "m", 1, 1, 0, 1, 3, "red")
    encoded = records.encode_record(record)
    assert records.decode_record(encoded).ok == record
    earlier = cbor2.dumps(cbor2.loads(encoded)[:-1])
    assert records.decode_record(earlier).ok.organisation == ""
    handed_in = submission.Submission("b", "h", "/p", 1, "m", 1, 1, (), "red")
    encoded = submission.encode_submission(handed_in)
    assert submission.decode_submission(encoded).ok == handed_in
    earlier = cbor2.dumps(cbor2.loads(encoded)[:-1])
    assert submission.decode_submission(earlier).ok.organisation == ""
