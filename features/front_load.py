"""Load for the front soak: callers and a trainer, with all answers that they got recorded."""

import collections
import json
import threading
import time

import platform_messages
import platform_standin

ITEMS_PER_BATCH = 4
_MAX_ATTEMPTS = 4
"""Attempts at one call while it is refused; a batch is submitted up to five times as often."""
_STEP_SECONDS = 1.5
_FATAL_PAUSE_SECONDS = 0.4


class NonIdempotentCaller(threading.Thread):
    """Send requests that must not run twice, and record the statuses of each.

    Status 0 means no complete answer. Only a 503 answer, which says that nothing ran, is retried.
    """

    def __init__(self, site, number):
        super().__init__(daemon=True)
        self._site = site
        self._number = number
        self.stopping = threading.Event()
        self.statuses_by_request = collections.defaultdict(list)

    def run(self):
        count = 0
        while not self.stopping.wait(0.03):
            count += 1
            request_id = f"charge-{self._number}-{count}"
            for _ in range(_MAX_ATTEMPTS):
                body = request_id.encode()
                answer = self._site.pick_front().try_ask("POST", "/charges/a", body, request_id)
                status = answer[0] if answer else 0
                is_whole = status != 200 or _is_own_answer(answer, request_id)
                self.statuses_by_request[request_id].append(status if is_whole else "wrong body")
                if status != 503:
                    break
                time.sleep(float(answer[1].get("Retry-After", "0")))


def _is_own_answer(answer, request_id):
    _, headers, body = answer
    has_stamp = headers.get("X-Oleanderdeal-Server-Stamp") == f"stamp-{request_id}"
    return has_stamp and body == b"answer to " + request_id.encode()


class CrashingCaller(threading.Thread):
    """Repeatedly send a request that crashes the server running it, each time with a new id."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self._site = site
        self.stopping = threading.Event()

    def run(self):
        number = 0
        while not self.stopping.wait(_FATAL_PAUSE_SECONDS):
            body = platform_standin.FATAL_BODY
            self._site.pick_front().try_ask("POST", "/calls/a", body, f"fatal-{number}")
            number += 1


class BatchTrainer(threading.Thread):
    """Submit one batch for each step, and read the results from random programs."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self._site = site
        self.stopping = threading.Event()
        self.accepted_batches = []
        self.results_by_batch = collections.defaultdict(list)
        self.problems = []

    def run(self):
        step = 0
        while not self.stopping.is_set():
            self.submit(f"batch-{step}", step)
            step += 1
            deadline = time.monotonic() + _STEP_SECONDS
            while time.monotonic() < deadline:
                for name in self.accepted_batches[-3:]:
                    self.read_results(
                        self._site.pick_front(), name, len(self.results_by_batch[name])
                    )
                time.sleep(0.1)

    def submit(self, name, step):
        """Submit a batch until it is accepted, the attempts are used up or the soak stops."""
        for _ in range(_MAX_ATTEMPTS * 5):
            front = self._site.pick_front()
            answer = front.try_ask("POST", "/items/batch", describe_batch(name, step), name)
            if answer and answer[0] == 202:
                self.accepted_batches.append(name)
                return
            if self.stopping.wait(0.2):
                return

    def read_from_start(self, front, name):
        """Read a batch from the start, in one or more answers; return whether it is complete."""
        after = 0
        while after < ITEMS_PER_BATCH:
            count = self.read_results(front, name, after)
            if not count:
                return False
            after += count
        return True

    def read_results(self, front, name, after):
        """Read results from a position on; return their number.

        Record a problem if the batch is unknown or a position changed since an earlier read.
        """
        earlier = self.results_by_batch[name]
        answer = front.try_ask("GET", f"/api/lots/{name}?after={after}")
        if answer is None or answer[0] == 503:
            return 0
        if answer[0] != 200:
            self.problems.append(
                f"{name} at {front.name}: status {answer[0]} after it was accepted"
            )
            return 0
        listed = json.loads(answer[2])
        for position, result in enumerate(listed["results"], after):
            if position < len(earlier):
                if earlier[position] != result:
                    self.problems.append(
                        f"{name}[{position}] changed: {earlier[position]} {result}"
                    )
            else:
                earlier.append(result)
        return len(listed["results"])


def list_item_ids(name):
    """Return the ids of a batch's items."""
    return [f"{name}-{number}" for number in range(ITEMS_PER_BATCH)]


def describe_batch(name, step):
    """Return the request body that submits a batch for a step."""
    return platform_messages.describe_batch(list_item_ids(name), step)
