"""A pool of deployments that scenarios reuse."""

import concurrent.futures

import deployments
import support


class DeploymentPool:
    """
    Keeps deployments for reuse, and starts one in advance when none is left.

    Starting one takes a second, mostly for imports in each process, which is as long as many
    scenarios take. A scenario that failed or ended a process does not return its deployment.
    """

    def __init__(self):
        self._starter = concurrent.futures.ThreadPoolExecutor(1)
        self._relays = ()
        self._available = []

    def take(self, relays):
        """Return a deployment with these relays and without faults."""
        if self._relays != relays:
            self.stop()
        self._relays = relays
        taken = self._available.pop().result() if self._available else _start_deployment(relays)
        if not self._available:
            self._available.append(self._starter.submit(_start_deployment, relays))
        return taken

    def give_back(self, deployment):
        """Return a deployment to the pool; the next scenario must use other idempotency keys."""
        kept = concurrent.futures.Future()
        kept.set_result(deployment)
        self._available.append(kept)

    def stop(self):
        """Stop all deployments in the pool."""
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
