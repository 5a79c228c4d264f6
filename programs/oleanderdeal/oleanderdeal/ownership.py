"""Which partitions the platform deals to this process."""

from oleander_base import clock, log, tasks
from oleander_batches import content
from oleander_platform import recordlog

_GROUP = "oleander.runners"
_TTL_MS = 2000
"""A runner that is silent for so long loses its batches to the others."""
_ASSIGNMENT_VALID_SECONDS = 10.0
"""For so long after the last answer a process goes on with its batches; outages last seconds,
and a batch has little more time than this."""
_HEARTBEAT_SECONDS = 0.6
"""Between heartbeats; several fit into the time to live."""
_LEAVE_RETRY_SECONDS = 0.2
_CALL_TIMEOUT_SECONDS = 1.0
"""Half the time to live, so that another try comes in time."""


class PartitionOwnership:
    """
    Which batches this process runs, as the platform deals them out; a hint.

    Two processes may believe to have the same batch, and one that is cut off goes on believing
    it for a while. Both then run its items; the index takes the first result of each. Stopping as
    soon as the platform is silent would lose more: in an outage there is nobody to go on, and all
    texts that ran would be made again after it.
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
        """Stay in the group of runners until the process leaves."""
        while not self._group.is_stopping and self._should_be_member:
            self._join()
            self._group.pause(_HEARTBEAT_SECONDS)
        while not self._group.is_stopping and not self._has_left:
            self._has_left = self._leave()
            self._group.pause(_LEAVE_RETRY_SECONDS)

    @property
    def partitions(self) -> frozenset[int]:
        """The partitions dealt to this process, as far as it knows."""
        return self._membership.partitions if self.is_assignment_valid else frozenset()

    @property
    def is_assignment_valid(self) -> bool:
        """Whether the platform's last answer is recent enough to act on."""
        return clock.read_now() < self._valid_until

    def owns(self, partition: int) -> bool:
        """Tell whether a partition's batches fall to this process."""
        return partition in self.partitions

    def leave(self) -> None:
        """
        Leave the group, so that others go on at once.

        Where the log does not answer it is tried again until the process ends: a member that has
        not left keeps its partitions from the others until its time to live is over.
        """
        self._should_be_member = False
        self._valid_until = 0.0
        self._has_left = self._leave()

    def _leave(self) -> bool:
        left = self._log.leave(self._create_request(), clock.start_deadline(_CALL_TIMEOUT_SECONDS))
        log.logger.bind(event="runner-left", ok=left.is_ok()).info("batches go to others")
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
            ).info("dealt anew")
        self._membership = joined.ok
        self._valid_until = started_at + _ASSIGNMENT_VALID_SECONDS
