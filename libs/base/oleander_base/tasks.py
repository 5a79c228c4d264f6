"""Groups of long-running tasks on threads, which are stopped together."""

import collections.abc
import concurrent.futures
import threading

from oleander_base import clock, log

_RESTART_DELAY_SECONDS = 0.5


class TaskGroup:
    """Runs at most `max_tasks` tasks; `stop` asks all of them to end, `join` waits for that."""

    def __init__(self, name: str, max_tasks: int) -> None:
        self._name = name
        self._stopping = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(max_tasks, thread_name_prefix=name)
        self._futures: set[concurrent.futures.Future[None]] = set()
        self._lock = threading.Lock()

    @property
    def is_stopping(self) -> bool:
        """Whether `stop` was called, so that tasks should return."""
        return self._stopping.is_set()

    def start(self, task: collections.abc.Callable[[], None]) -> concurrent.futures.Future[None]:
        """Run a task on a thread; an exception is logged and stored in the future."""
        future = self._pool.submit(self._run, task)
        with self._lock:
            self._futures.add(future)
        future.add_done_callback(self._discard)
        return future

    def supervise(
        self, task: collections.abc.Callable[[], None]
    ) -> concurrent.futures.Future[None]:
        """
        Run a task that lasts as long as the group, and restart it after an exception.

        Otherwise an unexpected error could end, for instance, the task that keeps an entry's link
        to a sidecar open: the entry would look healthy but never use that sidecar again.
        """
        return self.start(lambda: self._run_with_restarts(task))

    def pause(self, seconds: float) -> bool:
        """Wait for `seconds`; return False at once when the group is stopped, else True."""
        return not self._stopping.wait(seconds)

    def stop(self) -> None:
        """Ask every task to end."""
        self._stopping.set()

    def join(self, deadline: clock.Deadline) -> bool:
        """Wait until the deadline for the tasks to end; return whether all did."""
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
                log.logger.bind(event="task-failed", group=self._name).exception(
                    "a task failed and is restarted"
                )
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
