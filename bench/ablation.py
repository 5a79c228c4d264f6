"""
Ablation study: replay days of a platform's site with one mechanism disabled at a time.

`python bench/ablation.py BENCH SITE FOLDER [--off hedges,moves] [--days trouble-1,...]`.
BENCH is the platform's program, SITE a site file, FOLDER a new one outside the temporary folder
for the clones of this checkout's last commit. A day, such as trouble-1, is a load that BENCH runs
("plays") at the site; its worth is the score that BENCH prints. Each day and seed is played on
every clone. For each mechanism, a line gives the mean of the worth with it minus the worth without
it, and the standard error. Each play writes its journal entry in its clone.
"""

import argparse
import concurrent.futures
import pathlib
import random
import statistics
import subprocess

import site_copies

_WHOLE = "whole"
_DAYS = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"
_DIRECT = "libs/direct/oleander_direct"
_ROUTING = "libs/routing/oleander_routing"
_ORDERS = "libs/orders/oleander_orders"
_SAMPLES = "libs/samples/oleander_samples"
_PROGRAM = "programs/oleanderdeal/oleanderdeal"
MECHANISMS = {
    "hedges": (
        f"{_DIRECT}/calls.py",
        "not progress.was_suspect and self._hedges.try_spend()",
        "False",
    ),
    "quarantine": (
        "libs/quarantine/oleander_quarantine/ledger.py",
        "if suspect is None or suspect.crashes_over_threshold < 0:",
        "if suspect is None or suspect:",
    ),
    "suspects-apart": (
        f"{_DIRECT}/crash_guard.py",
        "return frozenset(self._suspect_counts)",
        "return frozenset()",
    ),
    "comeback-advice": (
        f"{_DIRECT}/retry_advice.py",
        "_MIN_RETRY_AFTER_MS * max(1.0, ratio)",
        "_MIN_RETRY_AFTER_MS",
    ),
    "moves": (
        f"{_PROGRAM}/batch_run.py",
        "    allows_migration=True,",
        "    allows_migration=False,",
    ),
    "kept-starts": (
        f"{_PROGRAM}/batch_runner.py",
        "_MIN_CHECKPOINT_EVENTS = 12",
        "_MIN_CHECKPOINT_EVENTS = 1_000_000",
    ),
    "tenures": (
        f"{_PROGRAM}/batch_ownership.py",
        "        return batch.runner not in (self._name, self._previous_runners",
        "        if not self._partition_ownership.owns("
        "self._journal.find_runner_partition(batch)):\n"
        "            return True\n"
        "        return batch.runner not in (self._name, self._previous_runners",
    ),
    "orphans": (
        f"{_PROGRAM}/batch_ownership.py",
        "        if batch.runner or not self._partition_ownership.is_assignment_valid:",
        "        if batch:",
    ),
    "window-sizes": (
        f"{_ROUTING}/windows.py",
        "            self.size = max(_MIN_WINDOW, self.size / 2)",
        "            self.size = INITIAL_WINDOW",
    ),
    "trials": (
        f"{_ROUTING}/windows.py",
        "return self.refusing_since is None or now >= self.next_trial_at",
        "return True",
    ),
    "preferred-servers": (
        f"{_ROUTING}/preferred.py",
        "if not self._limit or len(usable) <= self._limit:",
        "if usable:",
    ),
    "outlier-health": (
        f"{_ROUTING}/health.py",
        "if self._is_outlier(health, group) and self._can_eject(name, group):",
        "if health is None:",
    ),
    "longest-first": (
        f"{_SAMPLES}/backlog.py",
        "rank = (group in self._deferred, -predicted, -len(waiting), group)",
        "rank = (group in self._deferred, 0, -len(waiting), group)",
    ),
    "class-by-slack": (
        f"{_SAMPLES}/urgency.py",
        "urgency_class = _choose_class(fraction, self._classes.get(item.number))",
        "urgency_class = LEAST_URGENT",
    ),
    "guessed-lengths": (
        f"{_SAMPLES}/predictions.py",
        "self._expected_tokens = expected_tokens or [0] * len(max_tokens)",
        "self._expected_tokens = [0] * len(max_tokens)",
    ),
    "spread-rights": (
        f"{_ORDERS}/order_leases.py",
        "return identifiers.hash_text(server_id) % self._partitions",
        "return 0",
    ),
    "furthest-first": (
        f"{_ORDERS}/plan.py",
        "(-self._compute_lag(item), targets[item.model].read_at, item.model)",
        "(targets[item.model].read_at, item.model)",
    ),
    "versions-left-out": (
        f"{_ORDERS}/plan.py",
        "return self._capacity.exceeds_capacity(count, compute_wave_size(count))",
        "return False",
    ),
    "shared-servers": (
        f"{_ORDERS}/plan.py",
        "        if not self._must_skip_versions(len(listed)):",
        "        if listed:",
    ),
    "belief-that-ends": (
        f"{_ROUTING}/windows.py",
        "if self.refusing_since is not None"
        " and now >= self.refused_at + self._refusal_ttl_seconds:",
        "if self.refusing_since is not None and now < 0.0:",
    ),
    "probes-by-batches": (
        f"{_ROUTING}/router.py",
        "_WINDOWED_PROBE_FRACTION = 0.05",
        "_WINDOWED_PROBE_FRACTION = 0.0",
    ),
    "crowd": (
        f"{_PROGRAM}/version_reconciler.py",
        "        if not self._plan.may_waves_overlap:",
        "        if order:",
    ),
}
"""The file, the text in it and the replacement that disables each mechanism."""


def clone_without(source, folder, name, bench):
    """Clone the checkout, disable a mechanism in it and build it; `whole` disables none."""
    subprocess.run(["git", "clone", "--quiet", str(source), str(folder)], check=True)
    if name != _WHOLE:
        path, text, replacement = MECHANISMS[name]
        changed = folder / path
        before = changed.read_text()
        if before.count(text) != 1:
            raise SystemExit(f"{name}: {path} must contain this exactly once: {text}")
        changed.write_text(before.replace(text, replacement))
    subprocess.run([bench, "build"], cwd=folder, check=True, capture_output=True)
    return folder


def describe(name, whole, without):
    """Return the result line of a mechanism; a positive worth means that it helps."""
    pairs = [(a, b) for a, b in zip(whole, without, strict=True) if None not in (a, b)]
    differences = [before - after for before, after in pairs]
    if len(differences) < 2:
        return f"{name}: {len(differences)} pairs, no figure"
    error = statistics.stdev(differences) / len(differences) ** 0.5
    mean = statistics.mean(differences)
    return f"{name}: worth {mean:+.4f}, standard error {error:.4f}, {len(differences)} pairs"


def main():
    """Create the clones, play every day on each of them and print each mechanism's worth."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--off", default=",".join(MECHANISMS))
    parser.add_argument("--days", default=_DAYS)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    chosen = parser.parse_args()
    source = random.Random(chosen.first_seed)
    plays = [
        (day, source.randrange(2**31))
        for day in chosen.days.split(",")
        for _ in range(chosen.seeds)
    ]
    here = pathlib.Path(__file__).resolve().parent.parent
    names = [_WHOLE, *chosen.off.split(",")]
    clones = {
        name: clone_without(here, chosen.folder / name, name, chosen.bench) for name in names
    }
    with concurrent.futures.ThreadPoolExecutor(chosen.jobs) as pool:
        futures = {
            name: [
                pool.submit(
                    site_copies.play, chosen.bench, chosen.site, *one, clones[name], f"{name} off"
                )
                for one in plays
            ]
            for name in names
        }
        worth = {name: [item.result() for item in each] for name, each in futures.items()}
    for name in names[1:]:
        print(describe(name, worth[_WHOLE], worth[name]), flush=True)


if __name__ == "__main__":
    main()
