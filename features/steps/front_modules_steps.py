"""Steps for the modules that the front program imports."""

import json
import pathlib
import subprocess
import sys

import behave

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_PROGRAM = """
import json, runpy, sys
sys.path.insert(0, "platform")
import run_front
run_front.add_library_paths()
from oleander_adapter import front
print(json.dumps(sorted(sys.modules)))
"""
_LOAD_SECONDS = 60


@behave.given("the modules that the front program has loaded when it is ready to start")
def load_modules(context):
    ended = subprocess.run(
        [sys.executable, "-c", _PROGRAM],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=_LOAD_SECONDS,
    )
    assert ended.returncode == 0, ended.stderr
    context.modules = json.loads(ended.stdout)
    assert "oleander_adapter.front" in context.modules


@behave.then("{module} is not among them")
def check_module(context, module):
    loaded = [name for name in context.modules if name.split(".")[0] == module]
    assert not loaded, loaded
