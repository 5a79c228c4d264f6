"""
Scheduling and collection of the samples of a training step.

The modules are imported for type checkers only: the front program uses just the scheduler, and
importing the others would also load the contracts and their YAML parser, 2 MB in each process.
"""

import typing

if typing.TYPE_CHECKING:
    from oleander_samples import collector, labels, number_sets, pulls, readers, registry, steps

__all__ = ["collector", "labels", "number_sets", "pulls", "readers", "registry", "steps"]
