"""Time that passes only while all threads of a test wait, however busy the machine is."""

import collections
import concurrent.futures
import contextlib
import heapq
import itertools
import threading
import types
import unittest.mock

from oleander_base import clock

_BEGIN_SECONDS = 1000.0


class _Turn:
    """A thread that waits; it is resumed once."""

    __slots__ = ("event", "is_resumed")

    def __init__(self):
        self.event = threading.Event()
        self.is_resumed = False


class VirtualTime:
    """
    Runs threads one at a time, and sets the time forward to the next that is due.

    What the product's threads wait for has to go through `sleep`, `wait`, a pool or a semaphore of
    this class. Real locks are allowed as long as nobody waits here while holding one.
    """

    def __init__(self):
        self._now = _BEGIN_SECONDS
        self._due = []
        self._numbers = itertools.count()
        self._running = 0
        self._is_idle = threading.Event()
        self._errors = []

    def read_now(self):
        """Return the seconds that this time shows."""
        return self._now

    def start(self, action, *arguments):
        """Start a thread; it runs when the one that runs waits or ends."""
        self._running += 1
        turn = _Turn()
        threading.Thread(target=self._run, args=(turn, action, *arguments), daemon=True).start()
        self.wake(turn)

    def play(self, action, *arguments):
        """Run an action and all that it starts to their end."""
        self.start(action, *arguments)
        self._hand_over()
        self._is_idle.wait()
        assert not self._errors, self._errors
        assert not self._running, f"{self._running} threads wait for nothing that comes"

    def sleep(self, seconds):
        """Let the others run for so long."""
        turn = _Turn()
        self.wake(turn, max(0.0, seconds))
        self.pause(turn)

    def wait(self, futures, timeout, return_when):
        """Wait as `concurrent.futures.wait` does for the first of several futures."""
        assert return_when == concurrent.futures.FIRST_COMPLETED
        if not any(future.done() for future in futures):
            turn = _Turn()
            for future in futures:
                future.add_done_callback(lambda _: self.wake(turn))
            self.wake(turn, timeout)
            self.pause(turn)
        return concurrent.futures.wait(futures, 0)

    def wake(self, turn, seconds=0.0):
        """Let a thread that waits, or is about to, go on after so long at the latest."""
        if not turn.is_resumed:
            heapq.heappush(self._due, (self._now + seconds, next(self._numbers), turn))

    def pause(self, turn):
        """Let others run until this thread is woken."""
        self._hand_over()
        turn.event.wait()

    @contextlib.contextmanager
    def replace_in(self, module):
        """Let a module's pools and waits, and the product's clock, go by this time."""
        futures = types.SimpleNamespace(
            ThreadPoolExecutor=lambda most, _: VirtualPool(self, most),
            wait=self.wait,
            FIRST_COMPLETED=concurrent.futures.FIRST_COMPLETED,
        )
        replaced = types.SimpleNamespace(futures=futures)
        with (
            unittest.mock.patch.object(module, "concurrent", replaced),
            unittest.mock.patch.object(clock, "read_now", self.read_now),
        ):
            yield

    def _run(self, turn, action, *arguments):
        turn.event.wait()
        try:
            action(*arguments)
        except Exception as error:
            self._errors.append(repr(error))
        self._running -= 1
        self._hand_over()

    def _hand_over(self):
        while self._due:
            due_at, _, turn = heapq.heappop(self._due)
            if not turn.is_resumed:
                self._now = max(self._now, due_at)
                turn.is_resumed = True
                turn.event.set()
                return
        self._is_idle.set()


class VirtualSemaphore:
    """A number of places, given out in the order in which they were asked for."""

    def __init__(self, time, places):
        self._time = time
        self._places = places
        self._waiting = collections.deque()

    def __enter__(self):
        if self._places:
            self._places -= 1
            return
        turn = _Turn()
        self._waiting.append(turn)
        self._time.pause(turn)

    def __exit__(self, *_):
        if self._waiting:
            self._time.wake(self._waiting.popleft())
        else:
            self._places += 1


class VirtualPool:
    """Runs what is submitted on so many threads at most."""

    def __init__(self, time, most_threads):
        self._time = time
        self._places = VirtualSemaphore(time, most_threads)

    def submit(self, action, *arguments):
        """Return the future of an action."""
        future = concurrent.futures.Future()
        self._time.start(self._run, future, action, *arguments)
        return future

    def _run(self, future, action, *arguments):
        with self._places:
            try:
                future.set_result(action(*arguments))
            except Exception as error:
                future.set_exception(error)
