"""What steps share; the helpers themselves serve the demo and the bench as well."""

from oleander_standins import processes

Cluster = processes.Cluster
call = processes.call
wait_until = processes.wait_until


def get_cluster(context):
    """Return the scenario's cluster, which ends with it."""
    if getattr(context, "cluster", None) is None:
        context.cluster = Cluster()
    return context.cluster
