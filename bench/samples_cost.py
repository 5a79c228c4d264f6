"""Measure the CPU time and memory that a step of 8192 samples costs an entry."""

import json
import time
import tracemalloc

from oleander_contracts import contract
from oleander_samples import collector, number_sets, pulls, readers, steps

GROUPS = 1024
SAMPLES = 8
PIECES = 20
PIECE_TOKENS = 20
PIECE_TEXT = "x" * 80
RUNNING_SAMPLES = 2048
"""Number of samples still running when the collector looks for stragglers."""


class Stopwatch:
    """Measures wall-clock time and prints it in microseconds per call."""

    def __init__(self) -> None:
        self._started = time.perf_counter()

    def print_each(self, name: str, calls: int) -> None:
        """Print the mean time per call since the start."""
        micros = 1e6 * (time.perf_counter() - self._started) / calls
        print(f"| {name} | {micros:.1f} |", flush=True)


def read_step() -> steps.Step:
    """Decode a large step from a request body, and print how long that takes."""
    group = {"prompt": "p" * 2000, "prefix": "", "samples": SAMPLES, "max_tokens": 4096}
    body = json.dumps({"incarnation": 1, "version": 7, "held": "", "groups": [group] * GROUPS})
    watch = Stopwatch()
    step = readers.read_step("bench", "bench", "1", body.encode()).ok
    watch.print_each(f"read a step of {len(body) >> 20} MiB", 1)
    return step


def write_pull(numbers: range | list[int]) -> bytes:
    """Return the request body of a pull."""
    text = number_sets.format_numbers(numbers)
    body = {"incarnation": 1, "version": 7, "held": text, "wait_ms": 0, "most": 64}
    return json.dumps(body).encode()


class Clock:
    """A clock that only advances when `now` is set."""

    now = 0.0


def main() -> None:
    """Run the measurements and print the table."""
    print("| action | µs each |\n|---|---|")
    step = read_step()
    terms = contract.TrainerTerms("bench", "bench", "m", 1, contract.Objective.IDLE_TIME, 2)
    tracemalloc.start()
    source = collector.StepCollector(step, terms, 1, lambda: Clock.now)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    total = step.sample_count
    watch = Stopwatch()
    works = [work for _ in range(total) if (work := source.next_work()) is not None]
    watch.print_each("start work", total)
    Clock.now = 10.0
    watch = Stopwatch()
    for work in works:
        for _ in range(PIECES):
            source.record_progress(work.work_id, PIECE_TEXT, PIECE_TOKENS, 7)
    watch.print_each("take in a piece", total * PIECES)
    watch = Stopwatch()
    for work in works[RUNNING_SAMPLES:]:
        source.finish_work(work.work_id)
    watch.print_each("finish work", total - RUNNING_SAMPLES)
    for now, found in ((15.0, "none"), (40.0, "all")):
        Clock.now = now
        watch = Stopwatch()
        source.next_work()
        watch.print_each(
            f"look at {RUNNING_SAMPLES} attempts, once a second at most; {found} late", 1
        )
    measure_pulls(source, sorted(work.number for work in works[RUNNING_SAMPLES:]))
    print(f"\nA collector of {total} samples, without texts: {size >> 10} KiB")


def measure_pulls(source: collector.StepCollector, whole: list[int]) -> None:
    """
    Measure pulls of a trainer that holds every other finished sample.

    Every other number makes the longest encoding of the samples held.
    """
    body = write_pull(whole[::2])
    watch = Stopwatch()
    pull = readers.read_pull(body).ok
    watch.print_each(f"read a pull of {len(body) >> 10} KiB", 1)
    source.pull(pull, 0.0)
    watch = Stopwatch()
    answer = source.pull(pull, 0.0).ok
    watch.print_each(f"answer a pull, {len(whole) // 2} samples waiting", 1)
    watch = Stopwatch()
    encoded = pulls.encode_answer(answer)
    watch.print_each(f"write an answer of {len(encoded.body) >> 10} KiB", 1)


if __name__ == "__main__":
    main()
