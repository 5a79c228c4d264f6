"""The entry process: serves callers and trainers over HTTP and sends their work to sidecars."""

import threading

from oleander_base import clock, identifiers, log, tasks
from oleander_claims import sharded_claims
from oleander_contracts import fold
from oleander_platform import hostlist, http_hostlist, http_logservice
from oleander_routing import retries, router
from oleander_samples import registry
from oleander_wire import messages
from oleanderdeal import (
    access,
    caller_api,
    claim_dispatch,
    configuration,
    configuration_sync,
    dispatch,
    entry_handler,
    gates,
    hosts,
    http_server,
    lifecycle,
    peer_link,
    peers,
    sampling,
    settings,
    snapshots,
    step_takeover,
    ticket_dispatch,
    tickets,
    trainer_api,
    trainer_incarnations,
    version_publisher,
)

_MAX_SAVED_RETRIES = 20
_MAX_EXTRA_LINKS = 32
_OTHER_TASKS = 8
_STOP_TIMEOUT_SECONDS = 5.0
_DRAIN_POLL_SECONDS = 0.5


class Entry:
    """Wires up and runs the components of one entry process."""

    def __init__(self, entry_settings: settings.Settings) -> None:
        self._settings = entry_settings
        self._leaving = threading.Event()
        shard_tasks = entry_settings.claim_shards * sharded_claims.TASKS_PER_SHARD
        most_tasks = (
            entry_settings.peer_limit
            + _MAX_EXTRA_LINKS
            + shard_tasks
            + entry_settings.sample_tasks
            + _OTHER_TASKS
        )
        self._group = tasks.TaskGroup("entry", most_tasks)
        log_service = http_logservice.HttpLogService(entry_settings.log_url)
        self._configuration = fold.ConfigurationFold()
        self._follower = configuration.ConfigurationFollower(
            log_service, self._configuration, self._group, entry_settings.configuration_poll_ms
        )
        self._synchronizer = configuration_sync.ConfigurationSynchronizer(self._follower)
        self._router = router.Router(identifiers.hash_text(entry_settings.name), clock.read_now)
        self._links = peers.PeerLinks(self._create_link, self._group, _MAX_EXTRA_LINKS)
        self._claim_book = sharded_claims.ShardedClaims(
            log_service, self._group, entry_settings.claim_shards, entry_settings.claim_window
        )
        self._steps = registry.StepRegistry()
        dispatcher = dispatch.Dispatcher(
            self._router, self._links, retries.RetryBudgets(_MAX_SAVED_RETRIES)
        )
        takeover = step_takeover.StepTakeover(self._links)
        self._sampling = sampling.SamplingPool(
            self._steps,
            dispatcher,
            self._configuration,
            self._group,
            entry_settings.sample_tasks,
            takeover,
        )
        self._host_follower = hosts.HostFollower(
            entry_settings.name,
            http_hostlist.HttpHostList(entry_settings.hosts_url),
            self._links,
            self._router,
            entry_settings.peer_limit,
            self._group,
        )
        versions = version_publisher.VersionPublisher(
            log_service, self._configuration, self._group
        )
        self._trainer_incarnations = trainer_incarnations.TrainerIncarnations(
            log_service, self._configuration, self._steps, self._group, entry_settings.name
        )
        self._snapshot_writer = snapshots.SnapshotWriter(
            log_service, self._configuration, self._group, entry_settings.snapshot_interval_ms
        )
        threads = gates.ThreadLimits(entry_settings.http_threads)
        handler = entry_handler.EntryHandler(
            tokens=access.AccessTable(entry_settings.customer_tokens),
            callers=caller_api.CallerApi(
                self._configuration,
                dispatcher,
                self._create_once_dispatcher(),
                threads,
            ),
            trainers=trainer_api.TrainerApi(
                self._configuration,
                self._steps,
                versions,
                self._trainer_incarnations,
                takeover,
                self._find_own_url,
                self._leaving.is_set,
                threads,
            ),
            follower=self._follower,
            list_peers=self._router.list_peers,
            is_ready=self._is_ready,
        )
        self._server = http_server.HttpServer(
            handler,
            entry_settings.listen_host,
            entry_settings.listen_port,
            entry_settings.http_threads,
        )

    def run(self, stop: lifecycle.StopSignal) -> None:
        """Serve until stopped, then drain requests in progress."""
        self._follower.add_change_listener(self._trainer_incarnations.update_steps)
        self._group.supervise(self._follower.follow)
        self._group.supervise(self._host_follower.follow)
        self._group.supervise(self._trainer_incarnations.write)
        self._group.supervise(self._snapshot_writer.write)
        self._claim_book.start()
        self._group.supervise(self._sampling.feed)
        self._group.start(self._server.serve)
        lifecycle.announce_address(self._settings.listen_host, self._server.port)
        while not stop.wait(1.0):
            pass
        self._drain()
        self._close()

    def _create_once_dispatcher(self) -> ticket_dispatch.TicketDispatcher:
        return ticket_dispatch.TicketDispatcher(
            tickets.TicketSigner(self._settings.process_token),
            self._claim_book,
            self._router,
            self._links,
            claim_dispatch.ClaimDispatcher(self._claim_book, self._router, self._links),
        )

    def _create_link(self, host: hostlist.Host, is_routed: bool) -> peer_link.PeerLink:
        hello = messages.Hello(
            protocol=messages.PROTOCOL,
            name=self._settings.name,
            incarnation=identifiers.create_incarnation(),
            failure_domain=self._settings.failure_domain,
            token=self._settings.process_token,
        )
        link_router = self._router if is_routed else None
        return peer_link.PeerLink(
            host, hello, self._settings.heartbeat_ms, link_router, self._synchronizer, self._group
        )

    def _find_own_url(self) -> str:
        return f"http://{self._settings.listen_host}:{self._server.port}"

    def _is_ready(self) -> bool:
        if self._leaving.is_set() or not self._follower.is_caught_up:
            return False
        return self._claim_book.is_ready and bool(self._router.list_peers())

    def _drain(self) -> None:
        """
        Fail the readiness check, start no new samples, and finish requests in progress.

        Samples in progress are finished and can be pulled. Then the steps are closed, so that
        their trainers register them at another entry. Otherwise a trainer would keep polling here
        for samples that are no longer generated, and draining would always take `drain_ms`.
        """
        log.logger.bind(event="draining").info("draining requests in progress")
        self._leaving.set()
        self._sampling.drain()
        deadline = clock.start_deadline_ms(self._settings.drain_ms)
        pause = threading.Event()
        while not self._sampling.is_idle and not deadline.is_past:
            pause.wait(_DRAIN_POLL_SECONDS)
        pause.wait(_DRAIN_POLL_SECONDS)
        self._steps.close()
        if not self._server.await_idle(deadline):
            log.logger.bind(event="drain-cut").error(
                "drain deadline passed, stopping with requests in progress"
            )

    def _close(self) -> None:
        self._group.stop()
        self._server.stop()
        self._links.stop()
        self._group.join(clock.start_deadline(_STOP_TIMEOUT_SECONDS))


def run_entry(entry_settings: settings.Settings) -> int:
    """Run an entry until SIGTERM or SIGINT; return the exit code."""
    stop = lifecycle.StopSignal()
    Entry(entry_settings).run(stop)
    return 0
