"""
The samples of a step: collected whole, fresh and truthfully labelled.

The modules are not loaded here: the front program uses the scheduler alone, and would load the
contracts and their YAML reader with the others, 2 MB in each process.
"""

import typing

if typing.TYPE_CHECKING:
    from oleander_samples import collector, held, labels, pulls, readers, registry, steps

__all__ = ["collector", "held", "labels", "pulls", "readers", "registry", "steps"]
