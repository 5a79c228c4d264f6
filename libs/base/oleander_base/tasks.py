"""Long-running tasks on concurrent.futures that all end on stop."""

import collections.abc
import concurrent.futures
import threading

from oleander_base import clock, log

_RESTART_DELAY_SECONDS = 0.5


class TaskGroup:
    """Runs a bounded number of tasks; `stop` tells them all, `join` waits for them."""

    def __init__(self, name: str, max_tasks: int) -> None:
        self._name = name
        self._stopping = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(max_tasks, thread_name_prefix=name)
        self._futures: set[concurrent.futures.Future[None]] = set()
        self._lock = threading.Lock()

    @property
    def is_stopping(self) -> bool:
        """Whether tasks should end."""
        return self._stopping.is_set()

    def start(self, task: collections.abc.Callable[[], None]) -> concurrent.futures.Future[None]:
        """Run a task on its own thread; what it raises is logged, never lost."""
        future = self._pool.submit(self._run, task)
        with self._lock:
            self._futures.add(future)
        future.add_done_callback(self._discard)
        return future

    def supervise(
        self, task: collections.abc.Callable[[], None]
    ) -> concurrent.futures.Future[None]:
        """
        Run a task that is meant to last as long as the group, and run it anew if it fails.

        Without this an unexpected error would end, say, the task that keeps one link open; the
        process would look healthy and never use that sidecar again.
        """
        return self.start(lambda: self._run_with_restarts(task))

    def pause(self, seconds: float) -> bool:
        """Wait; return False as soon as the group is stopping."""
        return not self._stopping.wait(seconds)

    def stop(self) -> None:
        """Tell every task to end."""
        self._stopping.set()

    def join(self, deadline: clock.Deadline) -> bool:
        """Wait for the tasks to end; return whether all did."""
        with self._lock:
            futures = set(self._futures)
        _, running = concurrent.futures.wait(futures, timeout=deadline.remaining)
        self._pool.shutdown(wait=not running, cancel_futures=True)
        return not running

    def _run_with_restarts(self, task: collections.abc.Callable[[], None]) -> None:
        while not self.is_stopping:
            try:
                task()
                return
            except Exception:
                log.logger.bind(event="task-failed", group=self._name).exception("running it anew")
                self.pause(_RESTART_DELAY_SECONDS)

    def _run(self, task: collections.abc.Callable[[], None]) -> None:
        try:
            task()
        except Exception:
            log.logger.bind(event="task-failed", group=self._name).exception("a task failed")
            raise

    def _discard(self, future: concurrent.futures.Future[None]) -> None:
        with self._lock:
            self._futures.discard(future)
