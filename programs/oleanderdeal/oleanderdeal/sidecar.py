"""The sidecar process: the only one that sends work to the backend server on its host."""

import random
import threading

from oleander_admission import admission
from oleander_backends import http_engine, http_service
from oleander_base import clock, identifiers, log, tasks
from oleander_contracts import contract, fold
from oleander_platform import http_logservice
from oleander_wire import link, messages
from oleanderdeal import (
    configuration,
    configuration_sync,
    executor,
    exit_codes,
    key_ledger,
    lifecycle,
    order_audit,
    runners,
    setting_table,
    settings,
    sidecar_links,
    weights,
)

_MAX_LINKS = 128
_KEYS_PER_KEPT_ANSWER = 10
_OTHER_TASKS = 8
_STOP_TIMEOUT_SECONDS = 2.0
_DRAIN_POLL_SECONDS = 0.02


class Sidecar:
    """Wires up and runs the components of one sidecar process."""

    def __init__(self, sidecar_settings: settings.Settings) -> None:
        self._settings = sidecar_settings
        self._incarnation = identifiers.create_incarnation()
        self._leaving = threading.Event()
        self._group = tasks.TaskGroup("sidecar", sidecar_settings.slots + _OTHER_TASKS)
        log_service = http_logservice.HttpLogService(sidecar_settings.log_url)
        self._configuration = fold.ConfigurationFold()
        self._follower = configuration.ConfigurationFollower(
            log_service,
            self._configuration,
            self._group,
            sidecar_settings.configuration_poll_ms,
            is_peer_fed=lambda: self._links.is_linked,
        )
        self._order_log = order_audit.OrderAuditLog(
            sidecar_settings.name, log_service, self._group
        )
        self._weight_reconciler: weights.WeightReconciler | None = None
        self._queue = admission.AdmissionQueue(
            sidecar_settings.slots, sidecar_settings.queue_length, jitter=random.Random()
        )
        self._executor = executor.Executor(
            self._queue, self._create_runner(), self._group, sidecar_settings.slots
        )
        self._key_ledger = key_ledger.KeyLedger(
            self._incarnation,
            sidecar_settings.kept_answers * _KEYS_PER_KEPT_ANSWER,
            sidecar_settings.kept_answer_bytes,
        )
        hello = messages.Hello(
            protocol=messages.PROTOCOL,
            name=sidecar_settings.name,
            incarnation=self._incarnation,
            failure_domain=sidecar_settings.failure_domain,
            token=sidecar_settings.process_token,
        )
        self._links = sidecar_links.SidecarLinks(
            hello,
            sidecar_settings.heartbeat_ms,
            self._read_heartbeat,
            self._executor,
            self._key_ledger,
            configuration_sync.ConfigurationSynchronizer(self._follower),
        )
        self._server = link.LinkServer(
            sidecar_settings.listen_host,
            sidecar_settings.listen_port,
            self._links.serve,
            _MAX_LINKS,
        )

    @property
    def _is_idle(self) -> bool:
        is_ordering = self._weight_reconciler is not None and self._weight_reconciler.is_ordering
        return self._executor.is_idle and not is_ordering and not self._links.has_awaited_answers

    def run(self, stop: lifecycle.StopSignal) -> exit_codes.ExitCode:
        """Serve until stopped, then finish running requests; return the exit code."""
        self._group.supervise(self._follower.follow)
        self._group.supervise(self._order_log.write)
        if self._weight_reconciler is not None:
            self._follower.add_change_listener(self._weight_reconciler.wake)
            self._group.supervise(self._weight_reconciler.run)
        self._executor.start()
        self._group.start(self._server.serve)
        lifecycle.announce_address(self._settings.listen_host, self._server.port)
        while not stop.wait(1.0):
            pass
        is_complete = self._drain()
        if is_complete:
            self._links.say_goodbye()
        else:
            log.logger.bind(event="drain-cut").error(
                "drain deadline passed, stopping with requests in progress"
            )
        return exit_codes.ExitCode.OK if is_complete else exit_codes.ExitCode.DRAIN_TIMED_OUT

    def close(self) -> bool:
        """Close every link and end the tasks; return whether all tasks ended in time."""
        self._group.stop()
        self._links.stop()
        self._server.stop()
        return self._group.join(clock.start_deadline(_STOP_TIMEOUT_SECONDS))

    def _create_runner(self) -> runners.Runner:
        sidecar_settings = self._settings
        if sidecar_settings.backend_kind is setting_table.BackendKind.SERVICE:
            return runners.ServiceRunner(http_service.HttpService(sidecar_settings.backend_url))
        backend = http_engine.HttpEngine(sidecar_settings.backend_url)
        self._weight_reconciler = weights.WeightReconciler(
            backend,
            sidecar_settings.model,
            self._configuration,
            self._group,
            sidecar_settings.checks_fencing,
            sidecar_settings.load_timeout_ms,
            sidecar_settings.load_spread_ms,
            self._order_log.report,
        )
        return runners.EngineRunner(backend, self._weight_reconciler)

    def _read_heartbeat(self) -> messages.Heartbeat:
        version = self._weight_reconciler.version if self._weight_reconciler is not None else None
        return messages.Heartbeat(
            backend=self._settings.backend,
            queued=self._queue.queued,
            running=self._queue.running,
            slots=self._settings.slots,
            wait_ms=self._queue.estimate_wait_ms(contract.Priority.INTERACTIVE),
            version=version,
            in_rotation=self._weight_reconciler is None or version is not None,
            leaving=self._leaving.is_set(),
            configuration_offset=self._configuration.applied_offset,
            ticket_epoch=self._key_ledger.ticket_epoch,
            shares_samples=self._weight_reconciler is not None,
        )

    def _drain(self) -> bool:
        """
        Refuse new and queued requests, and finish running ones; return whether all have ended.

        The queue is closed before the entries are told that this sidecar is leaving, so an entry
        that knows it is leaving can rely on new requests being refused. A load order in progress
        is also awaited, so that the next sidecar finds no order without a recorded outcome.
        """
        log.logger.bind(event="draining").info("draining running requests")
        self._queue.close()
        self._leaving.set()
        if self._weight_reconciler is not None:
            self._weight_reconciler.stop_ordering()
        self._links.broadcast_heartbeat()
        self._executor.refuse_waiting()
        deadline = clock.start_deadline_ms(self._settings.drain_ms)
        pause = threading.Event()
        while not self._is_idle and not deadline.is_past:
            pause.wait(_DRAIN_POLL_SECONDS)
        return self._is_idle


def run_sidecar(sidecar_settings: settings.Settings) -> int:
    """Run a sidecar until SIGTERM or SIGINT; return the exit code."""
    stop = lifecycle.StopSignal()
    sidecar = Sidecar(sidecar_settings)
    code = sidecar.run(stop)
    if not sidecar.close():
        lifecycle.end_process(code)
    return code
