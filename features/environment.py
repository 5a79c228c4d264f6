"""Behave hooks: nothing that a scenario starts outlives it, or its feature."""

import deployments


def after_scenario(context, scenario):
    cleanup = getattr(context, "cluster", None)
    if cleanup is not None:
        if scenario.status.has_failed():
            print(cleanup.read_logs())
        cleanup.stop()
        context.cluster = None


def after_feature(context, feature):
    deployments.POOL.stop()
