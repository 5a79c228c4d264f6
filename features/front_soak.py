"""Random faults at several front programs under load; then what everyone saw is compared."""

import argparse
import collections
import json
import pathlib
import sys
import tempfile
import time

import front_faults
import front_load
import front_site
import platform_standin

_CALLERS = 4
_SETTLE_SECONDS = 7.0
_MOST_ENDS = 3
_CONTACT_SECONDS = 3.0
_MOST_LOGGED = 3000
"""Characters of a line with a traceback."""
_FINISH_SECONDS = 40.0


def run(seed, seconds, fronts=3):
    """Return the counts and the problems of one soak."""
    site = front_site.FrontSite(seed, fronts)
    try:
        callers = [front_load.Callers(site, number) for number in range(_CALLERS)]
        trainer = front_load.Trainer(site)
        fatal = front_load.FatalCaller(site)
        for worker in (*callers, trainer, fatal):
            worker.start()
        faults = front_faults.Faults(site)
        faults.run(seconds)
        calm_at = time.monotonic()
        time.sleep(_SETTLE_SECONDS)
        for worker in (*callers, trainer, fatal):
            worker.stopping.set()
        for worker in (*callers, trainer, fatal):
            worker.join()
        problems = faults.problems + _finish(site, trainer)
        problems += _check_charges(site, callers) + _check_orders(site) + _check_logs(site)
        problems += _check_ends(site, calm_at)
        told = collections.Counter(
            str(statuses[-1]) for caller in callers for statuses in caller.told.values()
        )
        ended = sum(len(service.ended_at) for service in site.services)
        counts = {"calls": dict(told), "batches": len(trainer.accepted), "ended": ended}
        if problems:
            problems.append(f"logs: {_keep_logs(site, seed)}")
        return counts | {"faults": dict(faults.counts)}, problems
    finally:
        site.stop()


def _keep_logs(site, seed):
    """Write the logs of all programs to a file that stays; return its path."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    path = folder / "logs"
    path.write_text(site.read_logs())
    return path


def _finish(site, trainer):
    """Read every accepted batch at every front, from the start."""
    until = time.monotonic() + _FINISH_SECONDS
    site.await_ready()
    for front in site.fronts:
        for name in trainer.accepted:
            while not trainer.read_whole(front, name):
                if time.monotonic() > until:
                    held = len(trainer.read[name])
                    answer = front.try_ask("GET", f"/api/lots/{name}?after=0")
                    problem = (
                        f"{name} at {front.name}: {held} of {front_load.ITEMS}, then {answer}"
                    )
                    return [*trainer.problems, problem]
                time.sleep(0.1)
    return trainer.problems + [
        problem for name in trainer.accepted for problem in _check_batch(trainer.read[name], name)
    ]


def _check_batch(results, name):
    whole = {
        item_id: "\n".join(f"{item_id}.{event}" for event in range(1, platform_standin.EVENTS + 1))
        for item_id in front_load.list_items(name)
    }
    found = {result["id"]: result["output"] for result in results}
    if len(results) != front_load.ITEMS or found != whole:
        return [f"{name}: {results}"]
    wrong = [
        r for r in results if r["score"] != f"stamp-score-{r['id']}" or r["state"] != "completed"
    ]
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


def _check_ends(site, calm_at):
    """Look for servers that still end under the fatal request once all programs can know of it."""
    ends = sorted(at for service in site.services for at in service.ended_at)
    if not ends:
        return ["the fatal request reached no server: nothing was shown"]
    if len(ends) < _MOST_ENDS:
        return []
    known_at = max(ends[_MOST_ENDS - 1], calm_at) + _CONTACT_SECONDS
    later = [at for at in ends if at > known_at]
    if len(later) <= _MOST_ENDS:
        return []
    return [f"{len(ends)} servers ended under the fatal request, {len(later)} of them late"]


def _check_logs(site):
    marks = ("invariant-broken", "task-failed", "Traceback")
    lines = site.read_logs().splitlines()
    return [line[:_MOST_LOGGED] for line in lines if any(mark in line for mark in marks)]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--fronts", type=int, default=3)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.seed, options.seed + options.count):
        counts, problems = run(seed, options.seconds, options.fronts)
        broken += bool(problems)
        print(json.dumps({"seed": seed, "problems": len(problems)} | counts), flush=True)
        for problem in [*problems[:10], *problems[10:][-1:]]:
            print(f"VIOLATION {problem}", flush=True)
    print(f"seeds with a broken promise: {broken} of {options.count}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
