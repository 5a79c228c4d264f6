"""Readers of the log's topics, each of which is given sound records and an odd one."""

import abc
import types

import odd_values
import raw_server
from oleander_adapter import operator_records, server_records
from oleander_base import clock, tasks
from oleander_batches import index_reader
from oleander_claims import records as claim_records
from oleander_claims import table
from oleander_contracts import fold
from oleander_direct import directory
from oleander_duties import platform
from oleander_leases import lease
from oleander_platform import http_logservice, keyed_follower
from oleander_quarantine import ledger
from oleander_routing import router
from oleander_standins import recordlog as memory_log
from oleander_wire import codec, messages
from oleanderdeal import crash_records, usage_reporter

SECONDS = 5.0
REGISTRATION = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "models": [{"name": "m", "version": 1}],
    "sequence": 4,
}
_ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/a/",
    "kind": "idempotent",
    "timeout_ms": 3000,
    "traffic_split": [{"service": "desk", "weight": 90}],
}
_CONFIGURATION = {
    "version": 7,
    "routes": [_ROUTE],
    "services": [{"name": "desk", "engine": {"stride": 49, "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "idle_timeout_ms": 3},
}
_ODD_KEYS = {
    "a line end": b"odd\r\nX-A: b",
    "no text": b"\xff\xfe",
    "nothing": b"",
    "in Greek": "\u03b1".encode(),
}
_WINDOW_MS = 5000


def create_directory():
    caller = types.SimpleNamespace(close_idle=lambda address: None)
    return directory.Directory(router.Router(1), caller)


def encode_keyed(key, value):
    return bytes([len(key)]) + key + value


def wait_until(is_reached):
    group = tasks.TaskGroup("wait", 1)
    deadline = clock.start_deadline(SECONDS)
    while not is_reached():
        assert not deadline.is_past, "the sound records were not followed"
        group.pause(0.01)


class KeyedReader(abc.ABC):
    """Runs a follower of a keyed topic; subclasses state its sink and its records."""

    def __init__(self):
        self.log = memory_log.MemoryRecordLog()
        self.known = create_directory()
        self.group = tasks.TaskGroup("odd", 1)
        sink = self.create_sink()
        follower = keyed_follower.KeyedFollower(self.log, "topic", sink, self.group, 0.01)
        self.group.supervise(follower.follow)

    @abc.abstractmethod
    def create_sink(self):
        """Return the sink that applies the records."""

    @abc.abstractmethod
    def build(self, name, field="", value=""):
        """Return the key and the value of the record with a name."""

    @abc.abstractmethod
    def list_followed(self):
        """Return the names of the records that were followed."""

    def read(self, field, value):
        """Let the records arrive in turn, and return the names of those that were followed."""
        try:
            self._append(*self.build("1"))
            wait_until(lambda: "1" in self.list_followed())
            self._append(*self.build("2", field, value))
            self._append(*self.build("3"))
            wait_until(lambda: "3" in self.list_followed())
            return self.list_followed()
        finally:
            self.group.stop()

    def _append(self, key, value):
        content = encode_keyed(key, value)
        assert self.log.append("topic", 0, [content], clock.start_deadline(SECONDS)).is_ok()


class RegistrationsReader(KeyedReader):
    def create_sink(self):
        return server_records.ServerSink(self.known)

    def build(self, name, field="", value=""):
        if field == "the key":
            return _ODD_KEYS[value], odd_values.write_json(REGISTRATION)
        return name.encode(), odd_values.write_json(REGISTRATION, field, value)

    def list_followed(self):
        return {item.server_id for item in self.known.list_servers("desk")}


class ConfigurationsReader(KeyedReader):
    """Records each configuration that comes into force."""

    def create_sink(self):
        self._seen = set()
        self.known.update_table = self._seen.add
        return operator_records.OperatorSink(self.known)

    def build(self, name, field="", value=""):
        content = _CONFIGURATION | {"version": int(name)}
        return b"config", odd_values.write_json(content, field, value)

    def list_followed(self):
        return {str(table.version) for table in set(self._seen)}


class TargetVersionsReader(ConfigurationsReader):
    def build(self, name, field="", value=""):
        content = {"model": name, "version": 1}
        return f"version/{name}".encode(), odd_values.write_json(content, field, value)

    def list_followed(self):
        return set(self.known.list_target_versions())


class CrashesReader(KeyedReader):
    def create_sink(self):
        self._ledger = ledger.CrashLedger(1)
        return crash_records.CrashSink(self._ledger)

    def build(self, name, field="", value=""):
        return f"{name}/run".encode(), odd_values.write_cbor(["i/1", False], field, value)

    def list_followed(self):
        return {name for name in "123" if self._ledger.is_suspect(name)}


class LogReader:
    """Reads a topic that is not keyed."""

    def __init__(self):
        self.log = memory_log.MemoryRecordLog()

    def append(self, topic, *contents):
        appended = self.log.append(topic, 0, list(contents), clock.start_deadline(SECONDS))
        assert appended.is_ok()


class BatchesReader(LogReader):
    def read(self, field, value):
        records = [[1, name, "h", "/", "m", 0, 1, 0, 1, 2, ""] for name in "123"]
        odd = odd_values.write_cbor(records[1], field, value)
        first, _, last = map(odd_values.write_cbor, records)
        self.append(index_reader.TOPIC, first, odd, last)
        reader = index_reader.IndexReader(self.log, tasks.TaskGroup("odd", 1), 60.0)
        assert reader.refresh(clock.read_now(), clock.start_deadline(SECONDS))
        return {batch.accepted.batch_id for batch in reader.list_open()}


class LeasesReader(LogReader):
    """Follows a lease whose newest sound record names this host, so it may be claimed at once."""

    def read(self, field, value):
        sound = ["me/1", "me", "held", 0]
        odd = odd_values.write_cbor(sound, field, value)
        self.append("lease", odd_values.write_cbor(sound), odd)
        held = lease.FencedLease(self.log, "lease", "me", 3.0)
        held.acquire_or_renew(0)
        assert held.find_tenure() is None, "an odd record counts as one of another holder"
        self.append("lease", odd_values.write_cbor(sound))
        held.acquire_or_renew(0)
        return {"1", "3"} if held.find_tenure() else set()


class UsageReader(LogReader):
    """Reports a window whose counts stand in two records, with an odd one between them."""

    def __init__(self):
        super().__init__()
        self._reports = {}
        self._window = clock.read_wall_ms() // _WINDOW_MS - 6

    def build_odd(self, field, value):
        record = [1, "2", 1, {self._window: {"red": 1}}]
        return odd_values.write_cbor(record, field.replace("WINDOW", str(self._window)), value)

    def report_usage(self, report, holder, deadline):
        self._reports[report.window] = dict(report.counts)
        return platform.DutyDone()

    def read(self, field, value):
        counts = {self._window: {"red": 1}}
        first, last = (odd_values.write_cbor([1, name, 1, counts]) for name in "13")
        self.append(usage_reporter.USAGE_TOPIC, first, self.build_odd(field, value), last)
        tenure = lease.Tenure(1, clock.start_deadline(60.0))
        held = types.SimpleNamespace(takeover_seconds=0.0, find_tenure=lambda: tenure)
        settings = usage_reporter.UsageSettings(_WINDOW_MS, 10_000, "n")
        usage_reporter.UsageReporter(settings, self.log, held, None, None, self, None).report_due()
        counted = self._reports.get(self._window, {}).get("red", 0)
        return {"1", "3"} if counted == 2 else {f"{counted} counted"}


class UsageReportsReader(UsageReader):
    def build_odd(self, field, value):
        return odd_values.write_cbor([2, self._window - 1, {"red": 1}], field, value)


class PageReader(abc.ABC):
    """Reads a page of a stream over HTTP and applies its records, the second of which is odd."""

    _SOUND: dict

    @abc.abstractmethod
    def apply(self, record):
        """Apply the content of a record of the page."""

    def read(self, field, value):
        listed = [
            {"offset": place, "logged_at_ms": 1, "value": self._SOUND | self.name(place)}
            for place in range(3)
        ]
        listed[1]["value"]["extra"] = 0
        content = {"first_offset": 0, "next_offset": 3, "records": listed}
        body = odd_values.write_json(content, f"records.1.value.{field}", value)
        server = raw_server.RawServer(
            [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)]
        )
        try:
            service = http_logservice.HttpLogService(server.url)
            page = service.read("s", 0, 0, clock.start_deadline(SECONDS))
        finally:
            server.stop()
        assert page.is_ok(), page.error.detail[:200]
        for record in page.ok.records:
            self.apply(record)
        return self.list_followed()


class ContractsReader(PageReader):
    """Applies versions of models, and checks that a peer can be told of all records."""

    _SOUND = {"kind": "version", "version": 1, "uri": "u", "by": "ann"}

    def __init__(self):
        self._fold = fold.ConfigurationFold(100, 10**6)

    def name(self, place):
        return {"model": f"m{place + 1}"}

    def apply(self, record):
        assert self._fold.apply(record.offset, record.logged_at_ms, record.value).is_ok()

    def list_followed(self):
        kept = self._fold.list_after(-1).ok
        assert len(kept) == 3, kept
        told = messages.Records(
            [item.offset for item in kept], [1] * 3, [item.value for item in kept], None
        )
        assert codec.decode_message(codec.encode_message(told)).is_ok()
        return {item.model.removeprefix("m") for item in self._fold.list_versions()}


class ClaimsReader(PageReader):
    _SOUND = {
        "kind": "claim",
        "customer": "c",
        "digest": "d",
        "attempt": 1,
        "sidecar": "s",
    } | dict.fromkeys(("address", "incarnation", "nonce", "evidence"), "x")

    def __init__(self):
        self._table = table.ClaimTable(0, 100)

    def name(self, place):
        return {"key": str(place + 1)}

    def apply(self, record):
        claim = claim_records.read_claim(record.value)
        if claim is not None:
            codec.encode_message(messages.RecordsOffer(claim.attempt))
            self._table.apply(record.offset, claim)

    def list_followed(self):
        return {name for name in "123" if self._table.find("c", name)}


class FailingSink(keyed_follower.KeyedSink):
    """Fails on the records of one key."""

    def __init__(self):
        self.changes = []

    def put(self, key, value):
        if key == "faulty":
            raise RuntimeError("a fault of our own")
        self.changes.append(f"put {key}")

    def delete(self, key):
        self.changes.append(f"delete {key}")

    def retain_only(self, keys):
        pass

    def mark_current(self):
        pass


READERS = {
    "registrations": RegistrationsReader,
    "configurations": ConfigurationsReader,
    "target versions": TargetVersionsReader,
    "crashes": CrashesReader,
    "batches": BatchesReader,
    "leases": LeasesReader,
    "usage": UsageReader,
    "usage reports": UsageReportsReader,
    "contracts": ContractsReader,
    "claims": ClaimsReader,
}
