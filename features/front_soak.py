"""Random faults at several front programs under load; then what everyone saw is compared."""

import argparse
import base64
import collections
import json
import signal
import sys
import threading
import time

import front_site
import platform_standin

_ITEMS = 4
_CALLERS = 4
_TRIES = 4
_STEP_SECONDS = 1.5
_SETTLE_SECONDS = 4.0
_FINISH_SECONDS = 40.0
_MOST_PAUSE_SECONDS = 1.2
_LONGEST_FAULT_SECONDS = 2.5
_STOP_SECONDS = 12.0


class Callers(threading.Thread):
    """Calls that may not be repeated, with what each was told."""

    def __init__(self, site, number):
        super().__init__(daemon=True)
        self._site = site
        self._number = number
        self.stopping = threading.Event()
        self.told = collections.defaultdict(list)

    def run(self):
        count = 0
        while not self.stopping.wait(0.03):
            count += 1
            request_id = f"charge-{self._number}-{count}"
            for _ in range(_TRIES):
                body = request_id.encode()
                answer = self._site.pick_front().ask("POST", "/charges/a", body, request_id)
                status = answer[0] if answer else 0
                is_whole = status != 200 or answer[2] == b"answer to " + body
                self.told[request_id].append(status if is_whole else "wrong body")
                if status != 503:
                    break
                time.sleep(float(answer[1].get("Retry-After", "0")))


class Trainer(threading.Thread):
    """Submits batches and reads them from any front."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self._site = site
        self.stopping = threading.Event()
        self.accepted = []
        self.read = collections.defaultdict(list)
        self.problems = []

    def run(self):
        step = 0
        while not self.stopping.is_set():
            self.submit(f"batch-{step}", step)
            step += 1
            until = time.monotonic() + _STEP_SECONDS
            while time.monotonic() < until:
                for name in self.accepted[-3:]:
                    self.read_on(self._site.pick_front(), name, len(self.read[name]))
                time.sleep(0.1)

    def submit(self, name, step):
        for _ in range(_TRIES * 5):
            front = self._site.pick_front()
            answer = front.ask("POST", "/items/batch", _build_batch(name, step), name)
            if answer and answer[0] == 202:
                self.accepted.append(name)
                return
            if self.stopping.wait(0.2):
                return

    def read_whole(self, front, name):
        """Read a batch from the start, in several answers if need be; tell whether all came."""
        after = 0
        while after < _ITEMS:
            count = self.read_on(front, name, after)
            if not count:
                return False
            after += count
        return True

    def read_on(self, front, name, after):
        """Read results from a position on, compare what was read before; return how many."""
        known = self.read[name]
        answer = front.ask("GET", f"/api/lots/{name}?after={after}")
        if answer is None or answer[0] == 503:
            return 0
        if answer[0] != 200:
            self.problems.append(f"{name} at {front.name}: {answer[0]} after it was accepted")
            return 0
        listed = json.loads(answer[2])
        for place, result in enumerate(listed["results"], after):
            if place < len(known):
                if known[place] != result:
                    self.problems.append(f"{name}[{place}] changed: {known[place]} {result}")
            else:
                known.append(result)
        return len(listed["results"])


class Faults:
    """Draws faults and mends each after its time; several overlap."""

    def __init__(self, site):
        self._site = site
        self.counts = collections.Counter()
        self.problems = []
        self._busy = set()
        self._lock = threading.Lock()
        self._threads = []
        self._kinds = {
            "kill": self._kill,
            "stop": self._stop,
            "freeze": self._freeze,
            "hang up": self._hang_up,
            "cut": lambda front, seconds: self._cut(front, seconds, front.relay.cut),
            "silence": lambda front, seconds: self._cut(front, seconds, self._silence(front)),
            "drop": lambda front, seconds: front.relay.drop_connections(),
            "store down": lambda front, seconds: self._change_store(seconds, is_down=True),
            "store silent": lambda front, seconds: self._change_store(seconds, is_silent=True),
            "store slow": lambda front, seconds: self._change_store(seconds, slow_seconds=0.25),
            "service slow": self._slow_service,
            "answers lost": self._lose_answers,
            "server replaced": self._replace_server,
            "new version": self._name_version,
            "configuration": self._publish,
        }
        self._version = 1
        self._configuration = 3

    def run(self, seconds):
        until = time.monotonic() + seconds
        source = self._site.random
        while time.monotonic() < until:
            kind = source.choice(sorted(self._kinds))
            front = source.choice(self._site.fronts)
            length = source.uniform(0.1, _LONGEST_FAULT_SECONDS)
            thread = threading.Thread(target=self._apply, args=(kind, front, length))
            thread.start()
            self._threads.append(thread)
            time.sleep(source.uniform(0.0, _MOST_PAUSE_SECONDS))
        for thread in self._threads:
            thread.join()

    def _apply(self, kind, front, seconds):
        target = "store" if kind.startswith("store") else front.name
        with self._lock:
            if target in self._busy:
                return
            self._busy.add(target)
        try:
            self._kinds[kind](front, seconds)
            self.counts[kind] += 1
        except Exception as error:
            self.problems.append(f"{kind} of {target}: {error!r}")
        finally:
            with self._lock:
                self._busy.discard(target)

    def _kill(self, front, seconds):
        front.process.kill()
        front.process.wait(_STOP_SECONDS)
        time.sleep(seconds)
        front.start()

    def _stop(self, front, seconds):
        front.signal(signal.SIGTERM)
        code = front.process.wait(_STOP_SECONDS)
        if code != 0:
            self.problems.append(f"{front.name} ended with {code} after SIGTERM")
        front.start()

    def _freeze(self, front, seconds):
        front.signal(signal.SIGSTOP)
        time.sleep(seconds)
        front.signal(signal.SIGCONT)

    def _hang_up(self, front, seconds):
        front.signal(signal.SIGHUP)

    def _cut(self, front, seconds, cut):
        cut()
        time.sleep(seconds)
        front.relay.heal()

    def _silence(self, front):
        return lambda: front.relay.block(self._site.random.choice(["to_server", "to_client"]))

    def _change_store(self, seconds, **changes):
        before = {name: getattr(self._site.store, name) for name in changes}
        for name, value in changes.items():
            setattr(self._site.store, name, value)
        time.sleep(seconds)
        for name, value in before.items():
            setattr(self._site.store, name, value)

    def _slow_service(self, front, seconds):
        service = self._site.random.choice(self._site.services)
        service.event_seconds = 0.5
        time.sleep(seconds)
        service.event_seconds = 0.01

    def _lose_answers(self, front, seconds):
        for sampler in (*self._site.services, *self._site.engines):
            sampler.lost_answers = 3

    def _replace_server(self, front, seconds):
        self._site.replace_server(self._site.random.choice(self._site.services))

    def _name_version(self, front, seconds):
        self._version += 1
        content = {"model": "m", "version": self._version}
        self._site.store.put("keyed.op", "version/m", content)

    def _publish(self, front, seconds):
        self._configuration += 1
        content = platform_standin.describe_configuration(self._configuration)
        self._site.store.put("keyed.op", "config", content)


def _build_batch(name, step):
    items = [
        {
            "id": f"{name}-{number}",
            "path": f"/items/{number}",
            "headers": {"X-Oleanderdeal-Model": "m"},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 50,
            "group": "g",
            "scorer": {
                "id": f"{name}-{number}-s",
                "host": "h.example",
                "path": "/calls/score",
                "body": base64.b64encode(b"score").decode(),
            },
        }
        for number in range(_ITEMS)
    ]
    submitted = {"step": step, "model": "m", "min_version": 1, "group_count": 1, "items": items}
    return json.dumps(submitted).encode()


def run(seed, seconds):
    """Return the counts and the problems of one soak."""
    site = front_site.FrontSite(seed)
    try:
        callers = [Callers(site, number) for number in range(_CALLERS)]
        trainer = Trainer(site)
        for worker in (*callers, trainer):
            worker.start()
        faults = Faults(site)
        faults.run(seconds)
        time.sleep(_SETTLE_SECONDS)
        for worker in (*callers, trainer):
            worker.stopping.set()
        for worker in (*callers, trainer):
            worker.join()
        problems = faults.problems + _finish(site, trainer)
        problems += _check_charges(site, callers) + _check_orders(site) + _check_logs(site)
        told = collections.Counter(
            str(statuses[-1]) for caller in callers for statuses in caller.told.values()
        )
        counts = {"calls": dict(told), "batches": len(trainer.accepted)}
        return counts | {"faults": dict(faults.counts)}, problems
    finally:
        site.stop()


def _finish(site, trainer):
    """Read every accepted batch at every front, from the start."""
    until = time.monotonic() + _FINISH_SECONDS
    site.await_ready()
    for front in site.fronts:
        for name in trainer.accepted:
            while not trainer.read_whole(front, name):
                if time.monotonic() > until:
                    held = len(trainer.read[name])
                    answer = front.ask("GET", f"/api/lots/{name}?after=0")
                    problem = f"{name} at {front.name}: {held} of {_ITEMS}, then {answer}"
                    return [*trainer.problems, problem]
                time.sleep(0.1)
    return trainer.problems + [
        problem for name in trainer.accepted for problem in _check_batch(trainer.read[name], name)
    ]


def _check_batch(results, name):
    whole = {
        f"{name}-{number}": "\n".join(
            f"{name}-{number}.{event}" for event in range(1, platform_standin.EVENTS + 1)
        )
        for number in range(_ITEMS)
    }
    found = {result["id"]: result["output"] for result in results}
    if len(results) != _ITEMS or found != whole:
        return [f"{name}: {results}"]
    wrong = [r for r in results if r["score"] != f"stamp-{r['id']}-s" or r["state"] != "completed"]
    return [f"{name}: {wrong}"] if wrong else []


def _check_charges(site, callers):
    ran = collections.Counter(seen[0] for service in site.services for seen in service.seen)
    problems = []
    for caller in callers:
        for request_id, statuses in caller.told.items():
            if ran[request_id] > 1:
                problems.append(f"{request_id} ran {ran[request_id]} times: {statuses}")
            if statuses[-1] == 200 and not ran[request_id]:
                problems.append(f"{request_id} was answered and never ran")
            if set(statuses) == {503} and ran[request_id]:
                problems.append(f"{request_id} was refused and ran: {statuses}")
            if "wrong body" in statuses:
                problems.append(f"{request_id} got another's answer")
    return problems


def _check_orders(site):
    problems = []
    for engine in site.engines:
        numbers = [order["fencing_token"] for order in engine.orders]
        versions = [order["version"] for order in engine.orders]
        if numbers != sorted(numbers):
            problems.append(f"{engine.name}: fencing numbers went back: {numbers}")
        if len(set(versions)) != len(versions):
            problems.append(f"{engine.name}: a version was ordered twice: {versions}")
    return problems


def _check_logs(site):
    marks = ("invariant-broken", "task-failed", "Traceback")
    lines = site.read_logs().splitlines()
    return [line[:300] for line in lines if any(mark in line for mark in marks)]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--count", type=int, default=1)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.seed, options.seed + options.count):
        counts, problems = run(seed, options.seconds)
        broken += bool(problems)
        print(json.dumps({"seed": seed, "problems": len(problems)} | counts), flush=True)
        for problem in problems[:10]:
            print(f"VIOLATION {problem}", flush=True)
    print(f"seeds with a broken promise: {broken} of {options.count}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
