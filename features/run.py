"""Run the named features, or all, in parallel, and print the counts of scenarios."""

import argparse
import collections
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

_FEATURES = pathlib.Path(__file__).resolve().parent
_ROOT = _FEATURES.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_WORKERS = 4
_FEATURE_SECONDS = 400
_PASSED = "passed"
_SKIPPED = ("skipped", "untested")
_FAILED = ("failed", "error")
_MAX_MESSAGE_CHARACTERS = 4000
"""
Maximum length of the part kept from the end of a step's message.

Enough for a traceback and the last lines of a program's log.
"""


class FeatureResult:
    """Counts of a feature's scenarios by status, with locations and messages of failures."""

    __slots__ = ("counts", "failed", "messages", "name", "output")

    def __init__(self, name, output):
        self.name = name
        self.output = output
        self.counts = collections.Counter()
        self.failed = []
        self.messages = []


def run_feature(path):
    """Run one feature file in a process of its own, with a time limit."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture", "--format", "json"]
        command += ["--outfile", str(report), "--format", "progress", str(path)]
        try:
            completed = subprocess.run(
                command, cwd=_ROOT, capture_output=True, text=True, timeout=_FEATURE_SECONDS
            )
            output = completed.stdout + completed.stderr
        except subprocess.TimeoutExpired as error:
            output = f"{path.name} took longer than {_FEATURE_SECONDS} s: {error.output}"
        result = FeatureResult(path.name, output)
        count_scenarios(result, report)
        return result


def count_scenarios(feature_result, report):
    """Count scenarios in behave's report; a feature without a report counts as one failure."""
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        features = []
    elements = [item for feature in features for item in feature.get("elements", [])]
    scenarios = [item for item in elements if item["type"] != "background"]
    if not scenarios:
        feature_result.counts["failed"] += 1
        feature_result.failed.append(feature_result.name)
    for item in scenarios:
        status = item.get("status", "failed")
        kind = "skipped" if status in _SKIPPED else _PASSED if status == _PASSED else "failed"
        feature_result.counts[kind] += 1
        if kind == "failed":
            feature_result.failed.append(item["location"])
            feature_result.messages += [
                f"{item['location']}: {text}" for text in list_messages(item)
            ]


def list_messages(scenario):
    """Yield the failed steps with their messages, which behave's progress format leaves out."""
    for step in scenario.get("steps", []):
        result = step.get("result", {})
        if result.get("status") in _FAILED:
            error_message = result.get("error_message", "")
            text = "\n".join(error_message) if isinstance(error_message, list) else error_message
            yield f"{step['name']}\n{text}"[-_MAX_MESSAGE_CHARACTERS:]


def read_known_red():
    """Return the known failures' locations: the first word of each line that is not a comment."""
    lines = _KNOWN_RED.read_text().splitlines() if _KNOWN_RED.exists() else []
    return {line.split()[0] for line in lines if line.strip() and not line.startswith("#")}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("features", nargs="*")
    chosen = parser.parse_args().features
    paths = [_FEATURES / f"{name}.feature" for name in chosen] or list(_FEATURES.glob("*.feature"))
    paths.sort(key=lambda path: (-path.stat().st_size, path.name))
    total = collections.Counter()
    failed = []
    with concurrent.futures.ThreadPoolExecutor(_WORKERS) as pool:
        for result in pool.map(run_feature, paths):
            total += result.counts
            failed += result.failed
            print(f"{result.name}: {dict(result.counts)}", flush=True)
            if result.failed:
                print(result.output, *result.messages, sep="\n", flush=True)
    known = read_known_red()
    unexpected = [place for place in failed if place not in known]
    for place in failed:
        print(f"{'known red' if place in known else 'FAILED'}: {place}")
    print(
        f"{total[_PASSED]} scenarios passed, {len(unexpected)} failed, "
        f"{len(failed) - len(unexpected)} known red, {total['skipped']} skipped"
    )
    sys.exit(1 if unexpected or not total[_PASSED] else 0)


if __name__ == "__main__":
    main()
