"""Helpers shared by the steps; most are defined in `processes`, for the demo and the bench too."""

from oleander_standins import processes

Cluster = processes.Cluster
call = processes.call
wait_until = processes.wait_until


def get_cluster(context):
    """Return the scenario's cluster, which is stopped after the scenario."""
    if getattr(context, "cluster", None) is None:
        context.cluster = Cluster()
    return context.cluster
