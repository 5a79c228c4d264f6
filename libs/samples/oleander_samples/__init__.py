"""The samples of a step: collected whole, fresh and truthfully labelled."""

from oleander_samples import collector, held, labels, pulls, readers, registry, steps

__all__ = ["collector", "held", "labels", "pulls", "readers", "registry", "steps"]
