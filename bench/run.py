"""
Compare the whole service with a baseline, both as real processes under the same loads.

`make bench` runs every load; `make bench ONLY=overload` runs those whose names start with that
prefix. Arrivals and their order follow from the seed, but timing does not, so figures differ
between runs: compare ratios.
"""

import argparse
import dataclasses
import json
import os
import pathlib
import sys
import threading
import time
import typing

import loads
import sites
import traffic
import trainers

_WARM_UP_SECONDS = 2.0


def main() -> None:
    """Run the selected loads, print a table and write the figures as JSON."""
    options = _read_options()
    os.environ["PYTHONPATH"] += os.pathsep + str(pathlib.Path(__file__).parent)
    chosen = loads.find_loads(options.only)
    started = time.monotonic()
    print(f"seed {options.seed}, scale {options.scale}, load average {os.getloadavg()[0]:.1f}")
    results: list[dict[str, typing.Any]] = []
    for name in sites.PLANS:
        listed = [load for load in chosen if load.site == name]
        if listed:
            results += _run_site(name, listed, options)
    report = {"seed": options.seed, "scale": options.scale, "results": results}
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(report, indent=1))
    print(f"took {time.monotonic() - started:.0f} s, load average {os.getloadavg()[0]:.1f}")


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scale", type=float, default=1.0, help="multiplies every rate")
    parser.add_argument("--only", default="", help="prefix of the loads to run")
    parser.add_argument("--json", default="", help="file to write the figures to")
    return parser.parse_args()


def _run_site(
    name: str, listed: list[loads.Load], options: argparse.Namespace
) -> list[dict[str, typing.Any]]:
    site = sites.Site(name)
    try:
        site.start()
        bench = Bench(site, options)
        bench.warm_up()
        return [result for load in listed for result in bench.compare(load)]
    finally:
        site.cluster.stop()


class Bench:
    """Runs loads at a site and prints their figures."""

    def __init__(self, site: sites.Site, options: argparse.Namespace) -> None:
        self._site = site
        self._options = options
        self._runs = 0

    def warm_up(self) -> None:
        """Run an unreported load that opens connections and initialises estimates."""
        for is_ours in (False, True):
            self._measure(loads.Load("warm-up", seconds=_WARM_UP_SECONDS), is_ours)

    def compare(self, load: loads.Load) -> list[dict[str, typing.Any]]:
        """Run a load against the baseline and the product; print and return their figures."""
        arms = [False, True] if load.compares else [True]
        results = []
        for is_ours in arms:
            figures = self._measure(load, is_ours)
            arm = "ours" if is_ours else "baseline"
            results.append({"load": load.name, "arm": arm} | figures)
        _print_results(load, results)
        return results

    def _measure(self, load: loads.Load, is_ours: bool) -> dict[str, typing.Any]:
        self._runs += 1
        self._site.await_idle()
        name = f"{load.name}-{self._runs}"
        urls = self._site.entry_urls if is_ours else [self._site.cluster.url("baseline")]
        times = load.times * self._options.scale
        flows = tuple(
            dataclasses.replace(flow, per_second=flow.per_second * times)
            for flow in self._site.plan.flows
            if load.operation in {"", flow.operation}
        )
        callers = traffic.Callers(name, load.behaviour)
        arrivals = traffic.plan_arrivals(flows, urls, load.seconds, self._options.seed)
        arrivals = callers.prepare(arrivals)
        retries, prefixes = self._site.count_retries(is_ours), self._site.read_prefixes()
        trainer = self._start_trainer(load, is_ours)
        faults = [threading.Timer(f.at, f.act, (self._site,)) for f in load.faults]
        started = time.monotonic()
        for timer in faults:
            timer.start()
        received: list[trainers.TrainerFigures] = []
        stopper = threading.Timer(load.seconds, lambda: received.append(trainer.stop()))
        stopper.start()
        callers.run(arrivals)
        for timer in (*faults, stopper):
            timer.join()
        took = time.monotonic() - started
        tally = callers.tally
        return {
            "goodput_per_second": round(tally.good_worth / load.seconds, 1),
            "offered_per_second": round(tally.offered_worth / load.seconds, 1),
            "p50_ms": tally.read_percentile(50),
            "p99_ms": tally.read_percentile(99),
            **received[0].describe(load.seconds),
            "prefix_hit_percent": sites.compute_hit_percent(prefixes, self._site.read_prefixes()),
            "retries": self._site.count_retries(is_ours) - retries,
            "asked_again": tally.again,
            "ran_twice": self._site.count_doubled(f"{name}-"),
            "took_seconds": round(took, 1),
            "outcomes": dict(tally.outcomes.most_common()),
        }

    def _start_trainer(
        self, load: loads.Load, is_ours: bool
    ) -> trainers.OurTrainer | trainers.BaselineTrainer:
        if is_ours:
            return trainers.OurTrainer(self._site, load.trainer_flags, self._runs)
        flags = dict(zip(load.trainer_flags[::2], load.trainer_flags[1::2], strict=True))
        return trainers.BaselineTrainer(
            self._site,
            int(flags.get("--straggler-every", "0")),
            int(flags.get("--straggler-tokens", "0")),
        )


def _print_results(load: loads.Load, results: list[dict[str, typing.Any]]) -> None:
    ours, base = results[-1], results[0]
    print(f"\n{load.name}: {load.times:g}x for {load.seconds:g} s at {load.site}")
    print(f"  {'figure':<24}{'baseline':>10}{'ours':>10}{'ratio':>8}")
    for name, value in ours.items():
        if isinstance(value, int | float):
            compared = base[name] if load.compares else float("nan")
            ratio = value / compared if compared else float("nan")
            print(f"  {name:<24}{compared:>10.1f}{value:>10.1f}{ratio:>8.2f}")
    for result in results:
        print(f"  {result['arm']} outcomes: {result['outcomes']}")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
