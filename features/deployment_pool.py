"""Deployments that scenarios share, one after the other."""

import concurrent.futures

import deployments
import support


class DeploymentPool:
    """
    Keeps deployments that scenarios left whole, and starts one ahead when none is left.

    Starting takes a second, most of it spent on importing in each process, which is as long as
    many a scenario. A scenario that ended a process, or failed, gives nothing back.
    """

    def __init__(self):
        self._starter = concurrent.futures.ThreadPoolExecutor(1)
        self._relays = ()
        self._available = []

    def take(self, relays):
        """Return a deployment with these relays whose faults are all over."""
        if self._relays != relays:
            self.stop()
        self._relays = relays
        taken = self._available.pop().result() if self._available else _start_deployment(relays)
        if not self._available:
            self._available.append(self._starter.submit(_start_deployment, relays))
        return taken

    def give_back(self, deployment):
        """Keep a deployment for the next scenario, which must use other keys."""
        kept = concurrent.futures.Future()
        kept.set_result(deployment)
        self._available.append(kept)

    def stop(self):
        """End all that are kept."""
        while self._available:
            self._available.pop().result().cluster.stop()


POOL = DeploymentPool()


def _start_deployment(relays):
    started = deployments.SmallDeployment(support.Cluster(), relays)
    try:
        started.start()
    except BaseException:
        started.cluster.stop()
        raise
    return started
