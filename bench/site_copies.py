"""
Play days of a copy of a platform's site with other speeds, and print the worth of each.

`python bench/site_copies.py BENCH SITE FOLDER [--loads 2.8] [--engines 2] [--days quiet-1,...]`.
BENCH is the platform's program, SITE a site file, FOLDER a new one outside the temporary folder
for the copy, which is not committed. `--loads` multiplies the time that a load of weights takes
and `--engines` that of an engine's step. A day, such as quiet-1, is a load that BENCH runs
("plays") at the site; its worth is the score that BENCH prints. Run this program in the checkout
to be measured; each play writes its journal entry there.
"""

import argparse
import pathlib
import random
import re
import shutil
import statistics
import subprocess

_LOAD_SECONDS = r"\bwarm_s = ([\d.]+)"
_STEP_MILLISECONDS = r"\bstep_ms = ([\d.]+)"


def copy_site(site, folder, loads, engines):
    """Copy a site file and its folder with scaled times; return the path of the copy."""
    shutil.copytree(site.parent, folder, copy_function=shutil.copyfile)
    copied = folder / site.name
    text = copied.read_text()
    for pattern, factor in ((_LOAD_SECONDS, loads), (_STEP_MILLISECONDS, engines)):
        text = re.sub(pattern, lambda found, by=factor: _multiply(found, by), text)
    copied.write_text(text)
    return copied


def _multiply(found, factor):
    name = found[0].partition(" = ")[0]
    return f"{name} = {float(found[1]) * factor:.4g}"


def play(bench, site, day, seed, cwd=None, why="a copy of a site at other speeds"):
    """Play a day on a checkout; return its worth, or None if the output has none."""
    command = [bench, "run", str(site), day, "--seed", str(seed), "--no-cpu"]
    command += ["--why", why]
    ran = subprocess.run(command, cwd=cwd, capture_output=True, text=True)
    found = re.search(rf"^{re.escape(day)} +\S+ +[\d.]+ +(-?[\d.]+) ", ran.stdout, re.M)
    return float(found[1]) if found else None


def main():
    """Create the copy, play its days and print their worth."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--loads", type=float, default=1.0)
    parser.add_argument("--engines", type=float, default=1.0)
    parser.add_argument("--days", default="quiet-1,trouble-1,scale-1")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--first-seed", type=int, default=1)
    chosen = parser.parse_args()
    copied = copy_site(chosen.site, chosen.folder, chosen.loads, chosen.engines)
    source = random.Random(chosen.first_seed)
    worths = []
    for day in chosen.days.split(","):
        for _ in range(chosen.seeds):
            seed = source.randrange(2**31)
            worth = play(chosen.bench, copied, day, seed)
            print(day, seed, worth, flush=True)
            worths += [worth] if worth is not None else []
    if worths:
        print(f"{len(worths)} plays: mean {statistics.mean(worths):.3f}, worst {min(worths):.3f}")


if __name__ == "__main__":
    main()
