"""The entry process that calls backend servers directly and stores batches in the log."""

import abc
import collections.abc
import dataclasses
import threading

from oleander_base import clock, identifiers, log, tasks
from oleander_batches import journal
from oleander_direct import calls, crash_guard, directory, fair_share, servers
from oleander_duties import platform, usage
from oleander_leases import lease
from oleander_orders import claimants, load_guard, order_leases
from oleander_platform import keyed_follower, recordlog
from oleander_quarantine import ledger
from oleander_routing import preferred, router
from oleanderdeal import (
    batch_api,
    batch_ownership,
    batch_runner,
    crash_records,
    http_server,
    item_task,
    lifecycle,
    metrics_page,
    ownership,
    result_writer,
    route_lookup,
    usage_reporter,
    version_reconciler,
)

HTTP_THREADS = 24
"""Worker threads for API requests. A trainer's long-polling read occupies one while it waits."""
READY_THREADS = 2
"""The platform polls readiness once a second; a second thread covers a check that hangs."""
MAX_CONCURRENT_ITEMS = 96
"""Batch items that one entry runs concurrently: enough to keep a few dozen engines busy if it is
the only entry left."""
MAX_PREFERRED_SERVERS = 6
"""Servers per backend to which an entry prefers to send calls: more than the attempts of one
call, and enough that the subsets chosen by many entries balance the load."""
_OTHER_TASKS = 20
"""Tasks besides items, orders and partitions: followers, HTTP servers, writers, runner and a
reserve."""
_MAX_SILENCE_SECONDS = 2.5
"""An entry that received no server records for longer is not ready; other entries may be."""
_CONFIGURATION_PAUSE_SECONDS = 0.05
"""Poll interval of the operator's topic: records are rare and must take effect quickly."""
_SERVERS_PAUSE_SECONDS = 0.25
"""Poll interval of the servers' topic: reports are frequent, so each read fetches several."""
_CRASHES_PAUSE_SECONDS = 0.05
"""Poll interval of the crash topic: crashes are rare, but a client may retry immediately."""
_DEREGISTRATION_SECONDS = 2.5
"""Clients may connect for this long after readiness fails: two checks and a margin."""
_STOP_MARGIN_SECONDS = 1.5
"""A graceful stop ends this long before the end of the platform's grace period."""
_JOIN_SECONDS = 0.5
"""Wait at exit for tasks that are blocked in a call; then the process exits without them."""
_RELOAD_INTERVAL_SECONDS = 1.0
"""Interval of settings reloads: a new address of the store must be used within seconds."""
_DRAIN_POLL_SECONDS = 0.05
"""Interval at which a draining entry checks whether the last request has finished."""


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySettings:
    """The settings of one entry process."""

    name: str
    host: str
    """Unique identifier of this host; a replacement with the same name has another one."""
    api_address: str
    ready_address: str
    metrics_address: str
    """Address of the metrics page, or empty to serve none."""
    partitions: int
    order_gap_seconds: float
    batch_keep_seconds: float
    grace_seconds: float
    """Maximum duration of a graceful stop."""
    usage: usage_reporter.UsageSettings | None = None
    """None if usage is not reported."""


@dataclasses.dataclass(slots=True, frozen=True)
class ApiComponents:
    """The components that the HTTP API handler calls."""

    lookup: route_lookup.RouteLookup
    dispatcher: calls.CallDispatcher
    batches: batch_api.BatchApi
    is_ready: collections.abc.Callable[[], bool]


class PlatformAdapter(abc.ABC):
    """Connects an entry to one platform: its log, backend servers, topics and HTTP API."""

    @abc.abstractmethod
    def create_log(self) -> recordlog.RecordLog:
        """Create the client of the platform's log."""

    @abc.abstractmethod
    def create_server_caller(self) -> servers.ServerCaller:
        """Create the client that calls backend servers."""

    @abc.abstractmethod
    def create_duty_platform(self) -> platform.DutyPlatform | None:
        """Create the client for usage reports, or return None if the platform takes none."""

    @abc.abstractmethod
    def create_sinks(
        self, known_servers: directory.Directory
    ) -> tuple[tuple[str, keyed_follower.KeyedSink], tuple[str, keyed_follower.KeyedSink]]:
        """Return (topic, sink) of the operator's records and (topic, sink) of the servers'."""

    @abc.abstractmethod
    def qualify_topic(self, name: str) -> str:
        """Return the platform's full name of a keyed topic of this program."""

    @abc.abstractmethod
    def reload(self, is_requested: bool) -> None:
        """Apply changed settings; called every second. `is_requested` is true after a SIGHUP."""

    @abc.abstractmethod
    def create_handler(self, operations: ApiComponents) -> http_server.Handler:
        """Create the handler of API requests and readiness checks."""


class DirectEntry:
    """Wires up and runs the components of one entry process."""

    def __init__(self, settings: EntrySettings, adapter: PlatformAdapter) -> None:
        self._settings = settings
        self._adapter = adapter
        self._leaving = threading.Event()
        self._group = tasks.TaskGroup(
            "entry",
            MAX_CONCURRENT_ITEMS
            + version_reconciler.MAX_TASKS
            + settings.partitions
            + _OTHER_TASKS,
        )
        log_service = adapter.create_log()
        caller = adapter.create_server_caller()
        self._caller = caller
        self._router = router.Router(
            identifiers.hash_text(settings.name),
            preferred_peers=preferred.PreferredPeers(settings.host, MAX_PREFERRED_SERVERS),
            has_connection=self._has_connection,
        )
        self._directory = directory.Directory(self._router, caller)
        self._followers = self._create_followers(log_service, adapter)
        self._journal = journal.BatchJournal(
            log_service, self._group, settings.partitions, settings.batch_keep_seconds
        )
        self._ownership = ownership.PartitionOwnership(log_service, settings.name, self._group)
        crashes = ledger.CrashLedger(identifiers.hash_text(settings.host))
        self._crash_writer = self._create_crash_writer(crashes, log_service)
        guard = crash_guard.CrashGuard(self._directory, crashes, self._crash_writer)
        self._usage_reporter, counter = self._create_reporter(log_service)
        concurrency_shares = fair_share.FairShareLimiter(HTTP_THREADS)
        dispatcher = calls.CallDispatcher(
            self._directory, self._router, caller, counter, concurrency_shares, guard
        )
        self._result_writer = result_writer.ResultWriter(self._journal, self._group)
        item_runner = item_task.ItemRunner(
            self._directory, self._router, caller, dispatcher, self._group, guard
        )
        self._batch_runner = batch_runner.BatchRunner(
            self._directory,
            self._journal,
            batch_ownership.BatchOwnership(self._journal, self._ownership, settings.name),
            self._router,
            item_runner,
            self._result_writer,
            self._group,
            MAX_CONCURRENT_ITEMS,
        )
        order_rights = order_leases.OrderLeases(
            log_service,
            settings.host,
            settings.order_gap_seconds,
            settings.partitions,
            self._group,
        )
        self._version_reconciler = version_reconciler.VersionReconciler(
            self._directory,
            order_rights,
            claimants.ClaimPlanner(settings.name),
            self._ownership,
            self._journal,
            caller,
            self._group,
            load_guard.LoadGuard(self._directory, crashes, self._crash_writer),
        )
        components = ApiComponents(
            route_lookup.RouteLookup(self._directory, self._is_stale),
            dispatcher,
            batch_api.BatchApi(self._journal),
            self._is_ready,
        )
        handler = adapter.create_handler(components)
        self._api_server = self._create_server(handler, settings.api_address, HTTP_THREADS)
        self._ready_server = self._create_server(handler, settings.ready_address, READY_THREADS)
        self._metrics_server = (
            self._create_server(metrics_page.MetricsHandler(), settings.metrics_address, 1)
            if settings.metrics_address
            else None
        )

    def run(self, stop: lifecycle.StopSignal) -> None:
        """Serve until stopped, then drain requests in progress."""
        for follower in self._followers:
            self._group.supervise(follower.follow)
        self._group.supervise(self._crash_writer.write)
        self._group.supervise(self._journal.index.follow)
        self._group.supervise(self._ownership.maintain_membership)
        self._group.supervise(self._result_writer.write)
        self._group.supervise(self._batch_runner.start_items)
        self._group.supervise(self._batch_runner.checkpoint_partials)
        self._group.supervise(self._version_reconciler.run)
        if self._usage_reporter is not None:
            self._group.supervise(self._usage_reporter.flush_repeatedly)
            self._group.supervise(self._usage_reporter.keep_lease)
            self._group.supervise(self._usage_reporter.report_repeatedly)
        self._group.start(self._api_server.serve)
        self._group.start(self._ready_server.serve)
        if self._metrics_server is not None:
            self._group.start(self._metrics_server.serve)
        log.logger.bind(event="started", callers=self._settings.api_address).info("serving")
        reload = lifecycle.ReloadSignal()
        while not stop.wait(_RELOAD_INTERVAL_SECONDS):
            self._adapter.reload(reload.consume())
        self._drain()
        log.logger.bind(event="stopped").info("stopped, no request is in progress")

    def _has_connection(self, server_id: str) -> bool:
        server = self._directory.find_server(server_id)
        return server is not None and self._caller.has_idle(server.address)

    def _create_crash_writer(
        self, crashes: ledger.CrashLedger, log_service: recordlog.RecordLog
    ) -> crash_records.CrashWriter:
        """Subscribe to crashes recorded by other processes; return the writer of local ones."""
        topic = self._adapter.qualify_topic(crash_records.TOPIC)
        sink = crash_records.CrashSink(crashes)
        self._followers.append(
            keyed_follower.KeyedFollower(
                log_service, topic, sink, self._group, _CRASHES_PAUSE_SECONDS
            )
        )
        return crash_records.CrashWriter(crashes, log_service, topic, self._group)

    def _create_reporter(
        self, log_service: recordlog.RecordLog
    ) -> tuple[usage_reporter.UsageReporter | None, usage.UsageCounter | None]:
        """Return the usage reporter and counter, or None for both if usage is not reported."""
        settings = self._settings.usage
        duty_platform = self._adapter.create_duty_platform()
        if settings is None or duty_platform is None:
            return None, None
        counter = usage.UsageCounter(settings.window_ms)
        duty_lease = lease.FencedLease(
            log_service,
            usage_reporter.LEASE_TOPIC,
            self._settings.host,
            self._settings.order_gap_seconds,
        )
        reporter = usage_reporter.UsageReporter(
            settings, log_service, duty_lease, self._ownership, counter, duty_platform, self._group
        )
        return reporter, counter

    def _create_followers(
        self, log_service: recordlog.RecordLog, adapter: PlatformAdapter
    ) -> list[keyed_follower.KeyedFollower]:
        operator_topic, servers_topic = adapter.create_sinks(self._directory)
        return [
            keyed_follower.KeyedFollower(
                log_service, *operator_topic, self._group, _CONFIGURATION_PAUSE_SECONDS
            ),
            keyed_follower.KeyedFollower(
                log_service, *servers_topic, self._group, _SERVERS_PAUSE_SECONDS
            ),
        ]

    def _create_server(
        self, handler: http_server.Handler, address: str, threads: int
    ) -> http_server.HttpServer:
        host, _, port = address.rpartition(":")
        return http_server.HttpServer(handler, host, int(port), threads, self._leaving.is_set)

    def _is_ready(self) -> bool:
        if self._leaving.is_set() or self._is_platform_silent():
            return False
        return self._directory.table is not None and self._journal.index.is_caught_up

    def _is_platform_silent(self) -> bool:
        return (
            not self._directory.has_server_list
            or self._directory.list_age_seconds > _MAX_SILENCE_SECONDS
        )

    def _is_stale(self) -> bool:
        return (
            self._is_platform_silent()
            or self._directory.configuration_age_seconds > _MAX_SILENCE_SECONDS
        )

    def _is_idle(self) -> bool:
        is_api_idle = self._api_server.is_idle and not self._api_server.connections
        return is_api_idle and self._result_writer.is_idle and not self._batch_runner.running

    def _drain(self) -> None:
        """
        Fail the readiness check, hand over batches, answer remaining requests, and stop.

        The platform routes clients here until the check has failed twice, and clients reuse
        their connections. An immediate exit would cut requests that are already on their way, so
        every response from now on closes its connection instead.
        """
        deadline = clock.start_deadline(self._settings.grace_seconds - _STOP_MARGIN_SECONDS)
        log.logger.bind(event="stopping", running=self._batch_runner.running).info("finishing")
        self._leaving.set()
        self._version_reconciler.stop()
        if self._usage_reporter is not None:
            self._usage_reporter.release_lease()
        self._batch_runner.drain()
        self._ownership.leave()
        pause = threading.Event()
        pause.wait(_DEREGISTRATION_SECONDS)
        while not deadline.is_past and not self._is_idle():
            self._api_server.close_idle()
            pause.wait(_DRAIN_POLL_SECONDS)
        if self._api_server.connections:
            log.logger.bind(event="drain-cut", connections=self._api_server.connections).error(
                "drain deadline passed, closing connections with requests in progress"
            )
        if self._usage_reporter is not None:
            self._usage_reporter.flush()
        self._group.stop()
        self._api_server.stop()
        self._group.join(clock.start_deadline(_JOIN_SECONDS))
