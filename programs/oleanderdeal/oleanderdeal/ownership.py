"""Membership in the group of batch runners, and the partitions assigned to this process."""

from oleander_base import clock, log, tasks
from oleander_batches import content
from oleander_platform import recordlog

_GROUP = "oleander.runners"
_TTL_MS = 2000
"""Without a heartbeat for this long, a runner loses its partitions to the others."""
_ASSIGNMENT_VALID_SECONDS = 10.0
"""How long a process acts on its assignment after the platform's last answer. Outages last
seconds, and the time allowed for a batch is little longer than this."""
_HEARTBEAT_SECONDS = 0.6
"""Interval of heartbeats; several fit into the time to live."""
_LEAVE_RETRY_SECONDS = 0.2
_CALL_TIMEOUT_SECONDS = 1.0
"""Half the time to live, so that a retry can still renew the membership."""


class PartitionOwnership:
    """
    The partitions, and so the batches, that the platform assigns to this process; only a hint.

    Two processes may act on the same partition for a while, for instance if one of them is cut
    off from the platform. Both then run the batch's items, and the index keeps the first result
    of each item. Stopping as soon as the platform is silent would cost more: during an outage no
    other process takes over, and all texts in progress would be generated again afterwards.
    """

    def __init__(
        self, log_service: recordlog.RecordLog, member: str, group: tasks.TaskGroup
    ) -> None:
        self._log = log_service
        self._member = member
        self._group = group
        self._membership = recordlog.Membership(0, frozenset())
        self._valid_until = 0.0
        self._should_be_member = True
        self._has_left = False

    def maintain_membership(self) -> None:
        """Send heartbeats until leave() is called, then retry leaving until it succeeds."""
        while not self._group.is_stopping and self._should_be_member:
            self._join()
            self._group.pause(_HEARTBEAT_SECONDS)
        while not self._group.is_stopping and not self._has_left:
            self._has_left = self._leave()
            self._group.pause(_LEAVE_RETRY_SECONDS)

    @property
    def partitions(self) -> frozenset[int]:
        """The partitions assigned to this process; empty if the assignment has expired."""
        return self._membership.partitions if self.is_assignment_valid else frozenset()

    @property
    def is_assignment_valid(self) -> bool:
        """Whether the platform's last answer is recent enough to act on it."""
        return clock.read_now() < self._valid_until

    def owns(self, partition: int) -> bool:
        """Return whether a partition is assigned to this process."""
        return partition in self.partitions

    def leave(self) -> None:
        """
        Leave the group, so that other runners take over the partitions immediately.

        If the log does not answer, `maintain_membership` retries until the process ends: the
        partitions of a member that has not left are only reassigned after its time to live.
        """
        self._should_be_member = False
        self._valid_until = 0.0
        self._has_left = self._leave()

    def _leave(self) -> bool:
        left = self._log.leave(self._create_request(), clock.start_deadline(_CALL_TIMEOUT_SECONDS))
        log.logger.bind(event="runner-left", ok=left.is_ok()).info("leaving the group of runners")
        return left.is_ok()

    def _create_request(self) -> recordlog.MemberRequest:
        generation = self._membership.generation
        return recordlog.MemberRequest(
            _GROUP, self._member, content.CONTENT_TOPIC, _TTL_MS, generation
        )

    def _join(self) -> None:
        started_at = clock.read_now()
        joined = self._log.join(
            self._create_request(), clock.start_deadline(_CALL_TIMEOUT_SECONDS)
        )
        if joined.is_error():
            log.warn_bounded("runner-unjoined", joined.error.detail)
            return
        if not self._should_be_member:
            return
        if joined.ok.partitions != self._membership.partitions:
            log.logger.bind(
                event="partitions",
                generation=joined.ok.generation,
                partitions=sorted(joined.ok.partitions),
            ).info("partitions reassigned")
        self._membership = joined.ok
        self._valid_until = started_at + _ASSIGNMENT_VALID_SECONDS
