"""Behave hooks: nothing that a scenario starts outlives it."""


def after_scenario(context, scenario):
    cleanup = getattr(context, "cluster", None)
    if cleanup is not None:
        cleanup.stop()
        context.cluster = None
