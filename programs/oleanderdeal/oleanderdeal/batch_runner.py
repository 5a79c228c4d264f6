"""Runs the items of the batches that fall to this process."""

import threading

from oleander_base import clock, log, metrics, tasks
from oleander_batches import batch_table, journal
from oleander_direct import crash_guard, directory, routes, servers
from oleander_routing import router
from oleanderdeal import (
    batch_run,
    batch_tenures,
    checkpoints,
    item_task,
    item_texts,
    result_writer,
)

_IDLE_SECONDS = 0.05
"""How soon a free place at an engine is used."""
_LOAD_SECONDS = 1.0
"""For reading a submission; the items of other batches wait meanwhile."""
_KEEP_SECONDS = 0.8
"""What texts lose at most when their process is killed."""
_LEAST_KEPT_EVENTS = 12
"""A start that is kept costs two appends; a short one is sooner made anew."""
_HAND_OVER_AGAIN_SECONDS = 0.1
"""Between tries to hand over while the log does not answer."""
_FULL_AGAIN_SECONDS = 0.05
"""After which an item is tried again that may only go to servers that are full."""
_QUARANTINE_LOOK_SECONDS = 5.0
"""The longest deferral: a quarantine may end early, by an answer elsewhere."""
_BATCH_PRIORITY = 0


class BatchRunner:
    """
    Starts items wherever an engine has a place, those of the oldest batch first.

    Each runs on a thread of a bounded pool. Runs of batches that ended, or that fell to another
    process, are stopped; the other goes on from what the journal holds.
    """

    def __init__(
        self,
        known: directory.Directory,
        kept: journal.BatchJournal,
        tenures: batch_tenures.BatchTenures,
        router_: router.Router,
        items: item_task.ItemRunner,
        writer: result_writer.ResultWriter,
        group: tasks.TaskGroup,
        most_items: int,
        guard: crash_guard.CrashGuard | None = None,
    ) -> None:
        self._guard = guard
        self._directory = known
        self._journal = kept
        self._tenures = tenures
        self._router = router_
        self._items = items
        self._writer = writer
        self._group = group
        self._most_items = most_items
        self._runs: dict[str, batch_run.BatchRun] = {}
        self._texts = item_texts.TextCache()
        self._running = 0
        self._lock = threading.Lock()
        self._has_taken = threading.Event()
        self._is_draining = False
        self._checkpoints = checkpoints.BatchCheckpoints(kept, tenures)

    @property
    def running(self) -> int:
        """How many items are being made."""
        return self._running

    def feed(self) -> None:
        """Start items until the group stops."""
        while not self._group.is_stopping:
            self._update_runs()
            self._give_up_overdue()
            while self._start_one():
                pass
            self._journal.index.wait_for_change(_IDLE_SECONDS)

    def drain(self) -> None:
        """
        Take no more batches, and hand over those that run here.

        Waiting for long texts would outlast the time that a stop may take; made anew elsewhere
        they would be late for their trainer. Where the log does not answer nobody else can go on
        with them, so they run on here until it does.
        """
        self._is_draining = True
        self._checkpoints.hand_over(dict(self._runs))
        self._has_taken.set()

    def keep_partials(self) -> None:
        """
        Keep the starts of long texts now and then, until the group stops.

        When processes are killed, their successors would make all texts from the start, and the
        longest, which take most of a step's time anyway, would be late.
        """
        while not self._group.is_stopping:
            if self._is_draining:
                self._checkpoints.hand_over(dict(self._runs))
                self._group.pause(_HAND_OVER_AGAIN_SECONDS)
                continue
            self._tenures.announce(self._list_running())
            for run in list(self._runs.values()):
                self._checkpoints.keep(run, _LEAST_KEPT_EVENTS)
            self._has_taken.wait(_KEEP_SECONDS)
            self._has_taken.clear()

    def _list_running(self) -> list[batch_table.Batch]:
        return [run.batch for run in list(self._runs.values()) if run.batch.is_open]

    def _update_runs(self) -> None:
        open_batches = {batch.batch_id: batch for batch in self._journal.index.list_open()}
        for batch_id, run in list(self._runs.items()):
            if batch_id not in open_batches:
                self._drop(batch_id)
                self._texts.keep(run.list_texts())
            elif not self._is_draining and self._tenures.must_stop(run.batch):
                self._drop(batch_id)
            else:
                run.note_listed()
        self._journal.index.expect_updates(bool(self._runs))
        if self._is_draining:
            return
        for batch_id, batch in open_batches.items():
            if batch_id not in self._runs and self._tenures.may_take(batch):
                self._load(batch)

    def _drop(self, batch_id: str) -> None:
        self._runs.pop(batch_id).stop()
        self._tenures.forget(batch_id)

    def _give_up_overdue(self) -> None:
        """
        List as lost what has no result when the time is over in which a batch is kept.

        Its trainer has stopped reading; its items would be tried for as long as the process runs.
        """
        for run in list(self._runs.values()):
            route = self._find_route(run.batch)
            is_overdue = route is not None and run.age_seconds > route.retention_ms / 1000
            if not is_overdue or run.is_given_up:
                continue
            lost = run.give_up_all()
            for number, result in lost:
                self._writer.add(run.batch.batch_id, number, result)
            log.logger.bind(
                event="batch-given-up", batch=run.batch.batch_id, items=len(lost)
            ).warning("its time is over")

    def _find_route(self, batch: batch_table.Batch) -> routes.Route | None:
        table = self._directory.table
        return table.match(batch.accepted.host, batch.accepted.path) if table else None

    def _load(self, batch: batch_table.Batch) -> None:
        table = self._directory.table
        route = self._find_route(batch)
        if table is None or route is None:
            log.warn_bounded("batch-without-route", "its items wait", batch=batch.batch_id)
            return
        deadline = clock.start_deadline(_LOAD_SECONDS)
        submitted = self._journal.read_submission(batch, deadline)
        if submitted.is_error():
            log.warn_bounded("batch-unread", submitted.error.detail, batch=batch.batch_id)
            return
        backend = table.find_backend(route.pick_backend_of(batch.batch_id))
        run = batch_run.BatchRun(batch, submitted.ok, backend.event_tokens if backend else 1)
        run.note_listed()
        resumed = self._load_partials(batch, run)
        reused = run.reuse_texts(self._texts)
        for number, result in reused:
            self._writer.add(batch.batch_id, number, result)
        self._tenures.note_taken(batch)
        self._runs[batch.batch_id] = run
        self._has_taken.set()
        log.logger.bind(
            event="batch-taken",
            batch=batch.batch_id,
            step=submitted.ok.step,
            items=batch.total,
            finished=len(batch.finished_items),
            resumed=resumed,
            reused=len(reused),
        ).info("running its items")

    def _load_partials(self, batch: batch_table.Batch, run: batch_run.BatchRun) -> int:
        """Read the starts of texts; one that can't be read is made anew."""
        if not batch.partials:
            return 0
        deadline = clock.start_deadline(_LOAD_SECONDS)
        partials = self._journal.read_partials(batch, deadline)
        for partial in partials:
            run.resume_item(partial)
        return len(partials)

    def _start_one(self) -> bool:
        if self._running >= self._most_items or self._writer.is_full:
            return False
        for run in list(self._runs.values()):
            started = self._start_of(run)
            if started:
                return True
        return False

    def _start_of(self, run: batch_run.BatchRun) -> bool:
        route = self._find_route(run.batch)
        if route is None or run.is_given_up:
            return False
        if self._choose(run, route, frozenset()) is None:
            return False
        spare = self._router.find_spare(_describe_need(run, route, frozenset()))
        item = run.start_next(clock.read_now(), route.due_ms / 1000, spare)
        if item is None:
            return False
        quarantine = (
            self._guard.find_quarantine(item.call, is_of_batch=True) if self._guard else None
        )
        if quarantine is not None:
            self._defer(item, quarantine)
            return True
        server = self._choose_next(run, route, item)
        if server is None:
            run.put_back(item, _FULL_AGAIN_SECONDS)
            return True
        run.note_server(item.item_number, server.server_id)
        self._router.note_started(server.server_id, is_windowed=True)
        self._router.add_queued(server.server_id)
        with self._lock:
            self._running += 1
        self._group.start(lambda: self._run(item, server))
        return True

    def _defer(self, item: batch_run.ItemWork, until: clock.Deadline) -> None:
        """Defer a quarantined item; the rest of its batch goes on."""
        metrics.count(metrics.QUARANTINED)
        log.logger.bind(
            event="item-quarantined",
            id=item.item.item_id,
            batch=item.run.submitted.batch_id,
            wait_s=int(until.remaining),
        ).info("engines ended under it")
        item.run.put_back(item, min(until.remaining, _QUARANTINE_LOOK_SECONDS))

    def _choose_next(
        self, run: batch_run.BatchRun, route: routes.Route, item: batch_run.ItemWork
    ) -> servers.Server | None:
        """
        Return the server of an item's next attempt: another one than its last, if there is any.

        Nothing where all others are full for the moment: an item that was cancelled at a server
        is no better off there. Items under which servers ended are kept apart, so that the cause
        takes none of the others along.
        """
        excluded = run.find_last_server(item.item_number)
        if self._guard is not None and self._guard.is_suspect(item.call):
            excluded |= self._guard.list_suspect_servers()
        need = _describe_need(run, route, excluded, item.expected_events)
        chosen = self._router.choose(need)
        if chosen.is_ok():
            return self._directory.find_server(chosen.ok)
        if chosen.error.reason == router.WINDOWS_FULL:
            return None
        return self._choose(run, route, frozenset())

    def _choose(
        self, run: batch_run.BatchRun, route: routes.Route, excluded: frozenset[str]
    ) -> servers.Server | None:
        chosen = self._router.choose(_describe_need(run, route, excluded))
        return self._directory.find_server(chosen.ok) if chosen.is_ok() else None

    def _run(self, item: batch_run.ItemWork, server: servers.Server) -> None:
        try:
            result = self._items.run_item(item, server, self._journal.index.wake)
            if result is not None:
                item.run.note_result(item.item_number, result)
                self._writer.add(item.run.batch.batch_id, item.item_number, result)
        finally:
            with self._lock:
                self._running -= 1


def _describe_need(
    run: batch_run.BatchRun,
    route: routes.Route,
    excluded: frozenset[str],
    expected_events: float = 0.0,
) -> router.RouteRequest:
    """Return what a server has to be for an item of a batch."""
    return router.RouteRequest(
        backend=route.pick_backend_of(run.submitted.batch_id),
        affinity="",
        priority=_BATCH_PRIORITY,
        oldest_version=run.submitted.oldest_version,
        excluded=excluded,
        budget_ms=route.due_ms,
        model=run.submitted.model,
        is_windowed=True,
        expected_events=expected_events,
    )
