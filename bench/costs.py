"""
Measure the CPU time, memory and network traffic of an entry and a sidecar per unit of load.

`python bench/costs.py [--only TEXT] [--seconds 4] [--json FILE]`. One quantity is varied at a
time, and a least-squares line through the readings gives the cost per unit. Bytes are those of
links, log and host list in both directions, without connections to callers and backend servers.
"""

import argparse
import collections.abc
import json
import os
import pathlib

import cost_entry
import cost_probe
import cost_sidecar

_Measured = cost_probe.Series | list[cost_probe.Series]

MEASURES: dict[str, collections.abc.Callable[[float], _Measured]] = {
    "entry-links": cost_entry.measure_links,
    "entry-heartbeats": cost_entry.measure_heartbeats,
    "entry-requests": cost_entry.measure_requests,
    "entry-samples": cost_entry.measure_samples,
    "entry-configuration": cost_entry.measure_configuration,
    "sidecar-links": cost_sidecar.measure_links,
    "sidecar-heartbeats": cost_sidecar.measure_heartbeats,
    "sidecar-requests": cost_sidecar.measure_requests,
    "sidecar-tokens": cost_sidecar.measure_tokens,
}


def main() -> None:
    """Run the selected measurements, print the costs per unit and write them as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="", help="prefix of the measurements to run")
    parser.add_argument("--seconds", type=float, default=4.0, help="length of one reading")
    parser.add_argument("--json", default="", help="file to write the figures to")
    options = parser.parse_args()
    print(f"load average {os.getloadavg()[0]:.1f}")
    results = []
    for name, measure in MEASURES.items():
        if name.startswith(options.only):
            measured = measure(options.seconds)
            for series in measured if isinstance(measured, list) else [measured]:
                results.append(series.fit())
                _print_series(series)
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(results, indent=1))
    print(f"load average {os.getloadavg()[0]:.1f}")


def _print_series(series: cost_probe.Series) -> None:
    figures = series.fit()
    print(f"\n{series.process}, per {series.unit}")
    for name, unit in (
        ("resident_kib", "KiB resident"),
        ("cpu_ms_per_second", "ms of CPU a second"),
        ("bytes_per_second", "bytes a second"),
    ):
        line = figures[name]
        points = "  ".join(f"{p.units:g}: {getattr(p, name):g}" for p in series.readings)
        print(f"  {line['slope']:>10.3f} {unit:<19} {line['at_zero']:>10.1f} at 0   [{points}]")


if __name__ == "__main__":
    main()
