"""Behave hooks: stop what a scenario or feature started, and print errors and logs of failures."""

import behave.model

import deployment_pool


def after_step(context, step):
    if step.status is behave.model.Status.error:
        print(step.error_message)


def after_scenario(context, scenario):
    cluster = getattr(context, "cluster", None)
    if cluster is not None:
        if scenario.status.has_failed():
            print(cluster.read_logs())
        cluster.stop()
        context.cluster = None


def after_feature(context, feature):
    deployment_pool.POOL.stop()
