"""An entry that calls backend servers itself and keeps batches in the platform's log."""

import abc
import collections.abc
import dataclasses
import threading

from oleander_base import clock, identifiers, log, tasks
from oleander_batches import journal
from oleander_direct import calls, crash_guard, directory, servers, shares
from oleander_duties import platform, usage
from oleander_leases import lease
from oleander_orders import load_guard, rights
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
    version_keeper,
)

HTTP_THREADS = 24
"""Requests that one entry answers at once; the reads of trainers hold one while they wait."""
READY_THREADS = 2
"""The platform asks once a second; the second thread is for a check that hangs."""
MOST_ITEMS = 96
"""Items that one entry generates at once: all that a few dozen engines can run, should the
entry be the only one left."""
MOST_PREFERRED = 6
"""Servers of a backend that an entry keeps to with calls: more than one call may try, and enough
that the choices of many entries even out."""
_OTHER_TASKS = 20
"""Followers, servers, writer, runner, keeper and room for a few more."""
_SILENT_SECONDS = 2.5
"""After such a silence of the platform an entry is not ready: others may hear it."""
_CONFIGURATION_PAUSE_SECONDS = 0.05
"""Configurations are rare and must be in force soon."""
_SERVERS_PAUSE_SECONDS = 0.25
"""Servers report all the time, so several reports are read together."""
_CRASHES_PAUSE_SECONDS = 0.05
"""Crashes are rare, and a request may come again at once."""
_LEAVE_SECONDS = 2.5
"""How long after the readiness check fails clients may still come: two checks and a margin."""
_STOP_MARGIN_SECONDS = 1.5
"""A stop ends so long before the platform's limit."""
_CLOSE_SECONDS = 0.5
"""For tasks that wait in a call; the process ends without them after it."""
_RELOAD_SECONDS = 1.0
"""Settings change rarely; the store's new address must be used within a few seconds."""
_POLL_SECONDS = 0.05
"""How soon the end of the last request is seen."""


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySettings:
    """What the entry was told by whoever starts it."""

    name: str
    host: str
    """Names this host alone, also among those that were replaced."""
    callers_address: str
    ready_address: str
    metrics_address: str
    """Where metrics are served as text; empty where they are not."""
    partitions: int
    order_gap_seconds: float
    batch_keep_seconds: float
    grace_seconds: float
    """How long a stop may take at most."""
    usage: usage_reporter.UsageSettings | None = None
    """Nothing where use is not to be reported."""


@dataclasses.dataclass(slots=True, frozen=True)
class Operations:
    """What a surface for callers may use."""

    lookup: route_lookup.RouteLookup
    dispatcher: calls.CallDispatcher
    batches: batch_api.BatchApi
    is_ready: collections.abc.Callable[[], bool]


class Deployment(abc.ABC):
    """Joins the entry to one platform."""

    @abc.abstractmethod
    def create_log(self) -> recordlog.RecordLog:
        """Return the platform's log."""

    @abc.abstractmethod
    def create_caller(self) -> servers.ServerCaller:
        """Return what reaches backend servers."""

    @abc.abstractmethod
    def create_duties(self) -> platform.DutyPlatform | None:
        """Return what takes reports of use, if anything does."""

    @abc.abstractmethod
    def create_sinks(
        self, known: directory.Directory
    ) -> tuple[tuple[str, keyed_follower.KeyedSink], tuple[str, keyed_follower.KeyedSink]]:
        """Return topic and sink of the operator's records, then of the servers' records."""

    @abc.abstractmethod
    def name_keyed_topic(self, name: str) -> str:
        """Return what a keyed topic of our own is called on the platform."""

    @abc.abstractmethod
    def reload(self, was_asked: bool) -> None:
        """Take in settings that changed; called each second, and told of a request to."""

    @abc.abstractmethod
    def create_surface(self, operations: Operations) -> http_server.Handler:
        """Return what answers callers and the readiness check."""


class DirectEntry:
    """Everything that one such process consists of."""

    def __init__(self, chosen: EntrySettings, deployment: Deployment) -> None:
        self._chosen = chosen
        self._deployment = deployment
        self._leaving = threading.Event()
        self._group = tasks.TaskGroup("entry", MOST_ITEMS + chosen.partitions + _OTHER_TASKS)
        log_service = deployment.create_log()
        caller = deployment.create_caller()
        self._router = router.Router(
            identifiers.hash_text(chosen.name),
            preferred_peers=preferred.PreferredPeers(chosen.host, MOST_PREFERRED),
        )
        self._known = directory.Directory(self._router, caller)
        self._followers = self._create_followers(log_service, deployment)
        self._journal = journal.BatchJournal(
            log_service, self._group, chosen.partitions, chosen.batch_keep_seconds
        )
        self._owned = ownership.Ownership(log_service, chosen.name, self._group)
        crashes = ledger.CrashLedger(identifiers.hash_text(chosen.host))
        self._crashes = self._share_crashes(crashes, log_service)
        guard = crash_guard.CrashGuard(self._known, crashes, self._crashes)
        self._reporter, counter = self._create_reporter(log_service)
        shared = shares.ConcurrencyShares(HTTP_THREADS)
        dispatcher = calls.CallDispatcher(
            self._known, self._router, caller, counter, shared, guard
        )
        self._writer = result_writer.ResultWriter(self._journal, self._group)
        items = item_task.ItemRunner(
            self._known, self._router, caller, dispatcher, self._group, guard
        )
        self._runner = batch_runner.BatchRunner(
            self._known,
            self._journal,
            batch_ownership.BatchOwnership(self._journal, self._owned, chosen.name),
            self._router,
            items,
            self._writer,
            self._group,
            MOST_ITEMS,
            guard,
        )
        held = rights.OrderRights(
            log_service,
            chosen.host,
            chosen.order_gap_seconds,
            chosen.partitions,
            self._group,
        )
        self._keeper = version_keeper.VersionKeeper(
            self._known,
            held,
            self._owned,
            self._journal,
            caller,
            self._group,
            load_guard.LoadGuard(self._known, crashes, self._crashes),
        )
        operations = Operations(
            route_lookup.RouteLookup(self._known, self._is_outdated),
            dispatcher,
            batch_api.BatchApi(self._journal),
            self._is_ready,
        )
        surface = deployment.create_surface(operations)
        self._callers = self._create_server(surface, chosen.callers_address, HTTP_THREADS)
        self._ready = self._create_server(surface, chosen.ready_address, READY_THREADS)
        self._metrics = (
            self._create_server(metrics_page.MetricsHandler(), chosen.metrics_address, 1)
            if chosen.metrics_address
            else None
        )

    def run(self, stop: lifecycle.StopSignal) -> None:
        """Serve until told to stop, then finish what is in progress."""
        for follower in self._followers:
            self._group.keep(follower.follow)
        self._group.keep(self._crashes.write)
        self._group.keep(self._journal.index.follow)
        self._group.keep(self._owned.keep)
        self._group.keep(self._writer.write)
        self._group.keep(self._runner.start_items)
        self._group.keep(self._runner.checkpoint_partials)
        self._group.keep(self._keeper.keep)
        if self._reporter is not None:
            self._group.keep(self._reporter.flush_repeatedly)
            self._group.keep(self._reporter.keep_lease)
            self._group.keep(self._reporter.report_repeatedly)
        self._group.start(self._callers.serve)
        self._group.start(self._ready.serve)
        if self._metrics is not None:
            self._group.start(self._metrics.serve)
        log.logger.bind(event="started", callers=self._chosen.callers_address).info("serving")
        reload = lifecycle.ReloadSignal()
        while not stop.wait(_RELOAD_SECONDS):
            self._deployment.reload(reload.take())
        self._drain()
        log.logger.bind(event="stopped").info("nothing is in progress")

    def _share_crashes(
        self, crashes: ledger.CrashLedger, log_service: recordlog.RecordLog
    ) -> crash_records.CrashWriter:
        """Follow the crashes that others record; return what records those seen here."""
        topic = self._deployment.name_keyed_topic(crash_records.TOPIC)
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
        """Return what reports use and what counts it, where use is to be reported."""
        chosen = self._chosen.usage
        duty_platform = self._deployment.create_duties()
        if chosen is None or duty_platform is None:
            return None, None
        counter = usage.UsageCounter(chosen.window_ms)
        duty_lease = lease.FencedLease(
            log_service,
            usage_reporter.LEASE_TOPIC,
            self._chosen.host,
            self._chosen.order_gap_seconds,
        )
        reporter = usage_reporter.UsageReporter(
            chosen, log_service, duty_lease, self._owned, counter, duty_platform, self._group
        )
        return reporter, counter

    def _create_followers(
        self, log_service: recordlog.RecordLog, deployment: Deployment
    ) -> list[keyed_follower.KeyedFollower]:
        operator, listed = deployment.create_sinks(self._known)
        return [
            keyed_follower.KeyedFollower(
                log_service, *operator, self._group, _CONFIGURATION_PAUSE_SECONDS
            ),
            keyed_follower.KeyedFollower(
                log_service, *listed, self._group, _SERVERS_PAUSE_SECONDS
            ),
        ]

    def _create_server(
        self, surface: http_server.Handler, address: str, threads: int
    ) -> http_server.HttpServer:
        host, _, port = address.rpartition(":")
        return http_server.HttpServer(surface, host, int(port), threads, self._leaving.is_set)

    def _is_ready(self) -> bool:
        if self._leaving.is_set() or self._is_silent():
            return False
        return self._known.table is not None and self._journal.index.is_caught_up

    def _is_silent(self) -> bool:
        return not self._known.is_listed or self._known.silent_seconds > _SILENT_SECONDS

    def _is_outdated(self) -> bool:
        return self._is_silent() or self._known.configuration_age_seconds > _SILENT_SECONDS

    def _is_idle(self) -> bool:
        is_answered = self._callers.is_idle and not self._callers.connections
        return is_answered and self._writer.is_idle and not self._runner.running

    def _drain(self) -> None:
        """
        Fail the readiness check, hand over batches, answer whoever still comes, and end.

        Clients are sent here until the check has failed twice, and keep connections that they
        use again. Each answer from now on closes its connection; a process that ended at once
        would cut requests that were on their way.
        """
        deadline = clock.start_deadline(self._chosen.grace_seconds - _STOP_MARGIN_SECONDS)
        log.logger.bind(event="stopping", running=self._runner.running).info("finishing")
        self._leaving.set()
        self._keeper.leave()
        if self._reporter is not None:
            self._reporter.release_lease()
        self._runner.drain()
        self._owned.leave()
        pause = threading.Event()
        pause.wait(_LEAVE_SECONDS)
        while not deadline.is_past and not self._is_idle():
            self._callers.close_idle()
            pause.wait(_POLL_SECONDS)
        if self._callers.connections:
            log.logger.bind(event="drain-cut", connections=self._callers.connections).error(
                "stopping with requests in progress"
            )
        if self._reporter is not None:
            self._reporter.flush()
        self._group.stop()
        self._callers.stop()
        self._group.join(clock.start_deadline(_CLOSE_SECONDS))
