"""Runs the items of the batches that this process owns."""

import dataclasses
import threading

from oleander_base import clock, log, tasks
from oleander_batches import batch_table, journal, submission
from oleander_direct import directory, routes, servers
from oleander_routing import router
from oleander_samples import urgency
from oleanderdeal import (
    batch_ownership,
    batch_run,
    checkpoints,
    completion,
    item_task,
    item_texts,
    result_writer,
)

_POLL_SECONDS = 0.05
"""Longest delay before a free slot of an engine is noticed."""
_LOAD_TIMEOUT_SECONDS = 1.0
"""Bound on reading a submission or its partial texts; the read blocks the start of items."""
_CHECKPOINT_INTERVAL_SECONDS = 0.8
"""Pause between checkpoints; a killed process loses at most the events of this interval."""
_MIN_CHECKPOINT_EVENTS = 12
"""Minimum number of new events for a checkpoint, which costs two appends to the log. Generating
fewer events again costs less than that."""
_HAND_OVER_RETRY_SECONDS = 0.1
"""Pause between attempts to hand batches over while the log does not answer."""
_WINDOWS_FULL_RETRY_SECONDS = 0.05
"""Delay before an item is tried again when all its servers' request windows are full, that is when
as many requests are in flight at each server as the router allows."""
_BATCH_PRIORITY = 0


class BatchRunner:
    """
    Starts items on engines with free slots, the most urgent of all batches first.

    Each item runs on a thread of a bounded pool. Runs are stopped when their batch ends or another
    process takes it; that process resumes from the journal.
    """

    def __init__(
        self,
        server_directory: directory.Directory,
        batch_journal: journal.BatchJournal,
        ownership: batch_ownership.BatchOwnership,
        router_: router.Router,
        items: item_task.ItemRunner,
        writer: result_writer.ResultWriter,
        group: tasks.TaskGroup,
        max_items: int,
    ) -> None:
        self._directory = server_directory
        self._journal = batch_journal
        self._ownership = ownership
        self._router = router_
        self._items = items
        self._writer = writer
        self._group = group
        self._max_items = max_items
        self._runs: dict[str, batch_run.BatchRun] = {}
        self._texts = item_texts.TextCache()
        self._times = urgency.TypicalTimes()
        self._running = 0
        self._lock = threading.Lock()
        self._checkpoint_wanted = threading.Event()
        self._is_draining = False
        self._checkpoints = checkpoints.BatchCheckpoints(batch_journal, ownership)

    @property
    def running(self) -> int:
        """Number of items in flight."""
        return self._running

    def start_items(self) -> None:
        """Start items until the group stops."""
        while not self._group.is_stopping:
            self._update_runs()
            self._give_up_expired()
            while self._start_next():
                pass
            self._journal.index.wait_for_change(_POLL_SECONDS)

    def drain(self) -> None:
        """
        Take no more batches, and hand over those that run here.

        Waiting for long texts could exceed the time that a shutdown may take, and texts generated
        anew by another process would be late, so partial texts are handed over. While the log
        does not answer, no other process can resume the texts, so this process continues to
        generate them until it does.
        """
        self._is_draining = True
        self._checkpoints.hand_over(dict(self._runs))
        self._checkpoint_wanted.set()

    def checkpoint_partials(self) -> None:
        """
        Checkpoint long partial texts at intervals, until the group stops.

        Without checkpoints the successor of a killed process would generate all texts from the
        start, and the longest, which take most of a step's time anyway, would be late.
        """
        while not self._group.is_stopping:
            if self._is_draining:
                self._checkpoints.hand_over(dict(self._runs))
                self._group.pause(_HAND_OVER_RETRY_SECONDS)
                continue
            self._ownership.announce(self._list_running())
            for run in list(self._runs.values()):
                self._checkpoints.save(run, _MIN_CHECKPOINT_EVENTS)
            self._checkpoint_wanted.wait(_CHECKPOINT_INTERVAL_SECONDS)
            self._checkpoint_wanted.clear()

    def _list_running(self) -> list[batch_table.Batch]:
        return [run.batch for run in list(self._runs.values()) if run.batch.is_open]

    def _update_runs(self) -> None:
        open_batches = {batch.batch_id: batch for batch in self._journal.index.list_open()}
        for batch_id, run in list(self._runs.items()):
            if batch_id not in open_batches:
                self._stop_run(batch_id)
                self._texts.add(run.list_known_texts())
            elif not self._is_draining and self._ownership.must_stop(run.batch):
                self._stop_run(batch_id)
            else:
                run.drop_finished_items()
        self._journal.index.expect_updates(bool(self._runs))
        if self._is_draining:
            return
        for batch_id, batch in open_batches.items():
            if batch_id not in self._runs and self._ownership.may_take(batch):
                self._load_batch(batch)

    def _stop_run(self, batch_id: str) -> None:
        self._runs.pop(batch_id).stop()
        self._ownership.forget(batch_id)

    def _give_up_expired(self) -> None:
        """
        List unfinished items as lost once a batch exceeds its route's retention time.

        By then the trainer has stopped reading, and the items would otherwise be retried for as
        long as the process runs.
        """
        for run in list(self._runs.values()):
            route = self._find_route(run.batch)
            is_expired = route is not None and run.age_seconds > route.retention_ms / 1000
            if not is_expired or run.is_stopped:
                continue
            lost = run.give_up_unfinished()
            for number, result in lost:
                self._list_result(run, number, result)
            log.logger.bind(
                event="batch-given-up", batch=run.batch.batch_id, items=len(lost)
            ).warning("the retention time of the batch is over")

    def _find_route(self, batch: batch_table.Batch) -> routes.Route | None:
        table = self._directory.table
        return table.match(batch.accepted.host, batch.accepted.path) if table else None

    def _load_batch(self, batch: batch_table.Batch) -> None:
        table = self._directory.table
        route = self._find_route(batch)
        if table is None or route is None:
            log.warn_bounded(
                "batch-without-route", "no route matches; its items wait", batch=batch.batch_id
            )
            return
        deadline = clock.start_deadline(_LOAD_TIMEOUT_SECONDS)
        submitted = self._journal.read_submission(batch, deadline)
        if submitted.is_error():
            log.warn_bounded("batch-unread", submitted.error.detail, batch=batch.batch_id)
            return
        run = self._create_run(batch, submitted.ok, route)
        run.drop_finished_items()
        run.settle_items(self._writer.list_unwritten(batch.batch_id))
        resumed = self._load_partials(batch, run)
        reused = run.reuse_texts(self._texts)
        for number, result in reused:
            self._list_result(run, number, result)
        self._ownership.record_taken(batch)
        self._runs[batch.batch_id] = run
        self._checkpoint_wanted.set()
        log.logger.bind(
            event="batch-taken",
            batch=batch.batch_id,
            step=submitted.ok.step,
            items=batch.total,
            finished=len(batch.finished_items),
            resumed=resumed,
            reused=len(reused),
        ).info("running its items")

    def _create_run(
        self, batch: batch_table.Batch, submitted: submission.Submission, route: routes.Route
    ) -> batch_run.BatchRun:
        """Return a run whose texts are moved by what the router knows of its servers."""
        table = self._directory.table
        backend = table and table.find_backend(route.pick_backend_by_key(batch.batch_id))
        event_tokens = backend.event_tokens if backend else 1
        is_single_version = route.is_single_version

        def build_request() -> router.RouteRequest | None:
            found = self._find_route(batch)
            return _build_route_request(run, found, frozenset()) if found is not None else None

        estimator = completion.ServerEstimator(
            self._router, build_request, event_tokens, is_single_version
        )
        run = batch_run.BatchRun(
            batch, submitted, event_tokens, is_single_version, estimator, self._times
        )
        return run

    def _load_partials(self, batch: batch_table.Batch, run: batch_run.BatchRun) -> int:
        """Load partial texts, return their number; unreadable ones are generated anew."""
        if not batch.partials:
            return 0
        deadline = clock.start_deadline(_LOAD_TIMEOUT_SECONDS)
        partials = self._journal.read_partials(batch, deadline)
        for partial in partials:
            run.restore_partial(partial)
        return len(partials)

    def _start_next(self) -> bool:
        if self._running >= self._max_items or self._writer.is_full:
            return False
        for run in self._order_runs():
            started = self._start_next_of(run)
            if started:
                return True
        return False

    def _order_runs(self) -> list[batch_run.BatchRun]:
        """Return the runs, that of the most urgent waiting item first, those without one last."""
        runs = list(self._runs.values())
        if len(runs) < 2:
            return runs
        now = clock.read_now()
        waiting = []
        for number, run in enumerate(runs):
            route = self._find_route(run.batch)
            rated = run.compute_urgency(now, self._build_terms(run, route)) if route else None
            if rated is not None:
                waiting.append((rated, number, run))
        ordered = [run for _, _, run in sorted(waiting, key=lambda entry: entry[:2])]
        return ordered + [run for run in runs if run not in ordered]

    def _build_terms(self, run: batch_run.BatchRun, route: routes.Route) -> urgency.StepTerms:
        table = self._directory.table
        organisation = run.submitted.organisation
        priority = table.find_priority(route, organisation) if table else route.priority
        return urgency.StepTerms(route.due_ms / 1000, priority)

    def _start_next_of(self, run: batch_run.BatchRun) -> bool:
        route = self._find_route(run.batch)
        if route is None or run.is_stopped:
            return False
        if self._choose_server(run, route, frozenset()) is None:
            return False
        spare = self._router.find_free_peer(_build_route_request(run, route, frozenset()))
        item = run.start_next(clock.read_now(), self._build_terms(run, route), spare)
        if item is None:
            return False
        server = self._directory.find_server(item.target) if item.target else None
        if server is None or not run.may_continue_at(item, server):
            server = self._choose_next_server(run, route, item)
        if server is None:
            run.requeue(item, _WINDOWS_FULL_RETRY_SECONDS)
            return True
        if not run.may_continue_at(item, server):
            run.restart(item)
            return True
        run.record_server(item.item_number, server.server_id)
        self._router.record_started(server.server_id, is_windowed=True)
        self._router.add_pending_stream(server.server_id)
        with self._lock:
            self._running += 1
        self._group.start(lambda: self._run_item(item, server))
        return True

    def _choose_next_server(
        self, run: batch_run.BatchRun, route: routes.Route, item: batch_run.ItemWork
    ) -> servers.Server | None:
        """
        Return the server for an item's next attempt: not the last one, if there is another.

        Return `None` while the request windows of all other servers are full, because an item that
        was cancelled at a server would gain nothing by returning there.
        """
        excluded = run.find_last_server(item.item_number)
        request = _build_route_request(run, route, excluded, item.expected_events)
        if run.must_keep_version(item):
            request = self._require_version(item, request)
        chosen = self._router.choose(request)
        if chosen.is_ok():
            return self._directory.find_server(chosen.ok)
        if chosen.error.reason == router.WINDOWS_FULL:
            return None
        return self._choose_server(run, route, frozenset())

    def _require_version(
        self, item: batch_run.ItemWork, request: router.RouteRequest
    ) -> router.RouteRequest:
        """
        Return the request for exactly the weight version of an item's text.

        If no other server has the version, the request is returned unchanged, and the item is
        generated from the start.
        """
        exact = dataclasses.replace(request, exact_version=item.text_version)
        chosen = self._router.choose(exact)
        if chosen.is_ok() or chosen.error.reason == router.WINDOWS_FULL:
            return exact
        return request

    def _choose_server(
        self, run: batch_run.BatchRun, route: routes.Route, excluded: frozenset[str]
    ) -> servers.Server | None:
        chosen = self._router.choose(_build_route_request(run, route, excluded))
        return self._directory.find_server(chosen.ok) if chosen.is_ok() else None

    def _run_item(self, item: batch_run.ItemWork, server: servers.Server) -> None:
        try:
            result = self._items.run_item(item, server, self._journal.index.wake)
            if result is not None and self._list_result(item.run, item.item_number, result):
                item.run.record_result(item.item_number, result)
        finally:
            with self._lock:
                self._running -= 1

    def _list_result(
        self, run: batch_run.BatchRun, item_number: int, result: submission.ItemResult
    ) -> bool:
        """Queue a result for writing, and return True, unless it must not be listed."""
        is_valid = run.check_result(item_number, result)
        if is_valid:
            self._writer.add(run.batch.batch_id, item_number, result)
        return is_valid


def _build_route_request(
    run: batch_run.BatchRun,
    route: routes.Route,
    excluded: frozenset[str],
    expected_events: float = 0.0,
) -> router.RouteRequest:
    """Return the routing request for an item of a batch."""
    return router.RouteRequest(
        backend=route.pick_backend_by_key(run.submitted.batch_id),
        affinity="",
        priority=_BATCH_PRIORITY,
        oldest_version=run.submitted.oldest_version,
        excluded=excluded,
        budget_ms=route.due_ms,
        model=run.submitted.model,
        is_windowed=True,
        expected_events=expected_events,
    )
