"""Run several front programs under load and random faults, then check for broken guarantees.

The answers that callers and the trainer got are compared with what the servers received and ran.
"""

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

_CALLER_COUNT = 4
_SETTLE_SECONDS = 7.0
"""Duration of the load without faults at the end, for recovery from the last faults."""
_MAX_CRASHES = 3
"""Maximum number of servers that a request may crash before it is quarantined."""
_CRASH_REPORT_SECONDS = 3.0
"""Time limit for a crash to be known to all programs once no fault is in effect."""
_MAX_LINE_CHARACTERS = 3000
"""Limit on the printed characters of a log line with a violation, which may hold a traceback."""
_READ_BACK_SECONDS = 40.0
"""Time limit for reading all accepted batches at all programs."""


def run(seed, seconds, fronts=3):
    """Run one soak and return its counts and the list of violations, empty if there are none."""
    site = front_site.FrontSite(seed, fronts)
    try:
        callers = [front_load.NonIdempotentCaller(site, number) for number in range(_CALLER_COUNT)]
        trainer = front_load.BatchTrainer(site)
        crashing_caller = front_load.CrashingCaller(site)
        for worker in (*callers, trainer, crashing_caller):
            worker.start()
        faults = front_faults.Faults(site)
        faults.run(seconds)
        faults_ended_at = time.monotonic()
        time.sleep(_SETTLE_SECONDS)
        for worker in (*callers, trainer, crashing_caller):
            worker.stopping.set()
        for worker in (*callers, trainer, crashing_caller):
            worker.join()
        problems = faults.problems + _check_batches(site, trainer)
        problems += _check_calls(site, callers) + _check_weight_orders(site) + _check_logs(site)
        problems += _check_server_crashes(site, faults_ended_at)
        last_statuses = collections.Counter(
            str(statuses[-1])
            for caller in callers
            for statuses in caller.statuses_by_request.values()
        )
        ended = sum(len(service.ended_at) for service in site.services)
        counts = {
            "calls": dict(last_statuses),
            "batches": len(trainer.accepted_batches),
            "ended": ended,
        }
        if problems:
            problems.append(f"logs: {_save_logs(site, seed)}")
        return counts | {"faults": dict(faults.counts)}, problems
    finally:
        site.stop()


def _save_logs(site, seed):
    """Write the logs of all programs to a file that is not deleted; return its path."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    path = folder / "logs"
    path.write_text(site.read_logs())
    return path


def _check_batches(site, trainer):
    """Read every accepted batch at every program; return the incomplete or wrong ones."""
    deadline = time.monotonic() + _READ_BACK_SECONDS
    site.await_ready()
    for front in site.fronts:
        for name in trainer.accepted_batches:
            while not trainer.read_from_start(front, name):
                if time.monotonic() > deadline:
                    count = len(trainer.results_by_batch[name])
                    answer = front.try_ask("GET", f"/api/lots/{name}?after=0")
                    problem = (
                        f"{name} at {front.name}: read {count} of {front_load.ITEMS_PER_BATCH}"
                        f" results, then {answer}"
                    )
                    return [*trainer.problems, problem]
                time.sleep(0.1)
    return trainer.problems + [
        problem
        for name in trainer.accepted_batches
        for problem in _check_batch(trainer.results_by_batch[name], name)
    ]


def _check_batch(results, name):
    """Check that each item is listed once, completed, with its whole text and its own score."""
    expected = {
        item_id: "\n".join(f"{item_id}.{event}" for event in range(1, platform_standin.EVENTS + 1))
        for item_id in front_load.list_item_ids(name)
    }
    found = {result["id"]: result["output"] for result in results}
    if len(results) != front_load.ITEMS_PER_BATCH or found != expected:
        return [f"{name}: {results}"]
    wrong = [
        r for r in results if r["score"] != f"stamp-score-{r['id']}" or r["state"] != "completed"
    ]
    return [f"{name}: {wrong}"] if wrong else []


def _check_calls(site, callers):
    """Check that no call ran twice, ran after refusals only, or was answered without a run."""
    run_counts = collections.Counter(seen[0] for service in site.services for seen in service.seen)
    problems = []
    for caller in callers:
        for request_id, statuses in caller.statuses_by_request.items():
            if run_counts[request_id] > 1:
                problems.append(f"{request_id} ran {run_counts[request_id]} times: {statuses}")
            if statuses[-1] == 200 and not run_counts[request_id]:
                problems.append(f"{request_id} was answered but never ran")
            if set(statuses) == {503} and run_counts[request_id]:
                problems.append(f"{request_id} was only refused, but ran: {statuses}")
            if "wrong body" in statuses:
                problems.append(f"{request_id} got an answer that is not its own or not whole")
    return problems


def _check_weight_orders(site):
    """Check that no engine got a decreasing fencing number or two orders for one version."""
    problems = []
    for engine in site.engines:
        numbers = [order["fencing_token"] for order in engine.orders]
        versions = [order["version"] for order in engine.orders]
        if numbers != sorted(numbers):
            problems.append(f"{engine.name}: fencing numbers decreased: {numbers}")
        if len(set(versions)) != len(versions):
            problems.append(f"{engine.name}: a version was ordered twice: {versions}")
    return problems


def _check_server_crashes(site, faults_ended_at):
    """Check that the fatal request crashes few servers once all programs can have quarantined it.

    Crashes during the faults are not counted, as programs that are cut off can't learn of them.
    """
    crash_times = sorted(at for service in site.services for at in service.ended_at)
    if not crash_times:
        return ["the fatal request reached no server, so its quarantine was not tested"]
    if len(crash_times) < _MAX_CRASHES:
        return []
    known_at = max(crash_times[_MAX_CRASHES - 1], faults_ended_at) + _CRASH_REPORT_SECONDS
    later = [at for at in crash_times if at > known_at]
    if len(later) <= _MAX_CRASHES:
        return []
    return [f"{len(crash_times)} servers crashed on the fatal request, {len(later)} of them late"]


def _check_logs(site):
    marks = ("invariant-broken", "task-failed", "Traceback")
    lines = site.read_logs().splitlines()
    return [line[:_MAX_LINE_CHARACTERS] for line in lines if any(mark in line for mark in marks)]


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
