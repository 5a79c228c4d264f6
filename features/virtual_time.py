"""Virtual time for threads: results don't depend on how busy the machine is."""

import collections
import concurrent.futures
import contextlib
import heapq
import itertools
import threading
import types
import unittest.mock

from oleander_base import clock

_START_SECONDS = 1000.0


class _WaitingThread:
    """A waiting thread, which is resumed only once."""

    __slots__ = ("event", "is_resumed")

    def __init__(self):
        self.event = threading.Event()
        self.is_resumed = False


class VirtualTime:
    """
    Runs threads one at a time and, when all wait, advances the time to the next wake-up.

    Threads of the program under test may block only in `sleep`, `wait`, or a pool or semaphore of
    this module. Real locks are allowed if no thread blocks here while it holds one.
    """

    def __init__(self):
        self._now = _START_SECONDS
        self._wake_ups = []
        self._numbers = itertools.count()
        self._running = 0
        self._is_idle = threading.Event()
        self._errors = []

    def read_now(self):
        """Return the virtual time in seconds."""
        return self._now

    def start(self, action, *arguments):
        """Start a thread, which runs once the running thread waits or ends."""
        self._running += 1
        waiting = _WaitingThread()
        threading.Thread(target=self._run, args=(waiting, action, *arguments), daemon=True).start()
        self.wake(waiting)

    def run(self, action, *arguments):
        """Run an action and all threads that it starts until they end."""
        self.start(action, *arguments)
        self._resume_next()
        self._is_idle.wait()
        assert not self._errors, self._errors
        assert not self._running, f"deadlock: {self._running} threads wait without a wake-up"

    def sleep(self, seconds):
        """Block the calling thread for this many virtual seconds."""
        waiting = _WaitingThread()
        self.wake(waiting, max(0.0, seconds))
        self.pause(waiting)

    def wait(self, futures, timeout, return_when):
        """Replace `concurrent.futures.wait` for the first of several futures."""
        assert return_when == concurrent.futures.FIRST_COMPLETED
        if not any(future.done() for future in futures):
            waiting = _WaitingThread()
            for future in futures:
                future.add_done_callback(lambda _: self.wake(waiting))
            self.wake(waiting, timeout)
            self.pause(waiting)
        return concurrent.futures.wait(futures, 0)

    def wake(self, waiting, seconds=0.0):
        """Schedule a waiting thread, or one that is about to wait, to be resumed after a time."""
        if not waiting.is_resumed:
            heapq.heappush(self._wake_ups, (self._now + seconds, next(self._numbers), waiting))

    def pause(self, waiting):
        """Block the calling thread until it is resumed by `wake`."""
        self._resume_next()
        waiting.event.wait()

    @contextlib.contextmanager
    def replace_in(self, module):
        """Make a module's pools and waits, and the product's clock, use this time."""
        futures = types.SimpleNamespace(
            ThreadPoolExecutor=lambda max_threads, _: VirtualPool(self, max_threads),
            wait=self.wait,
            FIRST_COMPLETED=concurrent.futures.FIRST_COMPLETED,
        )
        replaced = types.SimpleNamespace(futures=futures)
        with (
            unittest.mock.patch.object(module, "concurrent", replaced),
            unittest.mock.patch.object(clock, "read_now", self.read_now),
        ):
            yield

    def _run(self, waiting, action, *arguments):
        waiting.event.wait()
        try:
            action(*arguments)
        except Exception as error:
            self._errors.append(repr(error))
        self._running -= 1
        self._resume_next()

    def _resume_next(self):
        while self._wake_ups:
            due_at, _, waiting = heapq.heappop(self._wake_ups)
            if not waiting.is_resumed:
                self._now = max(self._now, due_at)
                waiting.is_resumed = True
                waiting.event.set()
                return
        self._is_idle.set()


class VirtualSemaphore:
    """A fair semaphore in virtual time."""

    def __init__(self, time, places):
        self._time = time
        self._places = places
        self._waiting = collections.deque()

    def __enter__(self):
        if self._places:
            self._places -= 1
            return
        waiting = _WaitingThread()
        self._waiting.append(waiting)
        self._time.pause(waiting)

    def __exit__(self, *_):
        if self._waiting:
            self._time.wake(self._waiting.popleft())
        else:
            self._places += 1


class VirtualPool:
    """A thread pool in virtual time."""

    def __init__(self, time, max_threads):
        self._time = time
        self._places = VirtualSemaphore(time, max_threads)

    def submit(self, action, *arguments):
        """Start an action and return its future."""
        future = concurrent.futures.Future()
        self._time.start(self._run, future, action, *arguments)
        return future

    def _run(self, future, action, *arguments):
        with self._places:
            try:
                future.set_result(action(*arguments))
            except Exception as error:
                future.set_exception(error)
