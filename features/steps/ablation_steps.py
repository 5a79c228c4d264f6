"""Steps for the ablation's table of mechanisms."""

import importlib
import pathlib
import sys

import behave

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_BENCH = str(_ROOT / "bench")


@behave.then("every source text that the ablation replaces occurs once in its file")
def check_pieces(context):
    sys.path.append(_BENCH)
    try:
        ablation = importlib.import_module("ablation")
    finally:
        sys.path.remove(_BENCH)
    missing = {
        name: place
        for name, (place, text, _) in ablation.MECHANISMS.items()
        if (_ROOT / place).read_text().count(text) != 1
    }
    assert ablation.MECHANISMS and not missing, missing
