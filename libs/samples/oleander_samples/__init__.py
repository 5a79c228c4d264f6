"""The samples of a step: collected whole, fresh and truthfully labelled."""
