"""
Records the state of each non-repeatable key at this sidecar incarnation.

The ledger ensures that a key runs at most once: a claim in the log names one incarnation, and the
ledger of that incarnation either starts the key once or seals it. A sealed attempt never starts,
so an entry that is told "not run" because of a seal may claim the key for another sidecar.
"""

import collections
import collections.abc
import dataclasses
import enum
import threading

from oleander_base import invariants
from oleander_wire import messages

Listener = collections.abc.Callable[[messages.Answer], None]
"""Receives the answer of a key, once."""

_MAX_LISTENERS_PER_KEY = 16
"""Requests that may wait for the answer of one running key; further ones get "unknown"."""
_EPOCHS_PER_LEDGER = 16
"""A ticket epoch ends after as many tickets as the ledger's maximum of keys divided by this."""

REASON_SEALED = "sealed"
REASON_OTHER_INCARNATION = "incarnation-gone"
REASON_FORGOTTEN = "key-forgotten"
REASON_ANSWER_DROPPED = "answer-no-longer-kept"
REASON_RUNNING = "still-running"
REASON_TOO_MANY_WAITING = "too-many-wait-for-this-key"


class KeyState(enum.Enum):
    """State of a key at this sidecar."""

    STARTED = "started"
    """The request is queued or running."""
    ENDED = "ended"
    """The request has run, or may have run, and has an answer."""
    SEALED = "sealed"
    """No attempt so far has run or will run; a higher attempt may start."""


@dataclasses.dataclass(slots=True, frozen=True)
class _ClaimPosition:
    """The shard and offset of a claim, or `TICKET_SHARD` and the epoch of a ticket."""

    shard: int
    offset: int


@dataclasses.dataclass(slots=True)
class _KeyEntry:
    attempt: int
    digest: str
    positions: list[_ClaimPosition]
    """Claims of all attempts of the key that this ledger has received."""
    state: KeyState
    answer: messages.Answer | None
    listeners: list[Listener]


def create_answer(outcome: messages.Outcome, reason: str) -> messages.Answer:
    """Return an answer that did not come from a backend server; the link sets the request id."""
    return messages.Answer("", outcome, 0, reason, 0, b"", 0)


class KeyLedger:
    """
    Keeps the state of keys, bounded by number of keys and by bytes of answers; thread-safe.

    Above the bound on bytes the oldest answer is dropped, and later requests for it are answered
    "unknown". Above the bound on keys the oldest key that is not running is evicted; from then on
    no unknown key of its shard with the same or an earlier claim offset is started or sealed,
    because it may have been evicted. Running keys are never evicted; the admission queue bounds
    their number.
    """

    def __init__(self, incarnation: str, max_keys: int, max_bytes: int) -> None:
        self._incarnation = incarnation
        self._max_keys = max_keys
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._entries: collections.OrderedDict[tuple[str, str], _KeyEntry] = (
            collections.OrderedDict()
        )
        self._answers: collections.deque[_KeyEntry] = collections.deque()
        """Entries whose answer is kept, the oldest first."""
        self._retained_bytes = 0
        self._evicted_offsets: dict[int, int] = {}
        """Newest offset of an evicted claim, by shard; for tickets, the newest epoch."""
        self._ticket_epoch = 1
        self._tickets_in_epoch = 0

    @property
    def ticket_epoch(self) -> int:
        """The epoch of tickets that are issued now."""
        return self._ticket_epoch

    def start(self, run: messages.Run, listener: Listener) -> bool:
        """Return whether the caller must run the key; otherwise the listener gets its answer."""
        if run.incarnation != self._incarnation:
            listener(_refuse_other_incarnation(run))
            return False
        with self._lock:
            entry = self._entries.get((run.customer, run.key))
            if self._may_start(run, entry):
                self._insert(run, KeyState.STARTED, listener)
                return True
            answer = self._get_answer_or_listen(entry, run, listener)
        if answer is not None:
            listener(answer)
        return False

    def join(self, join: messages.Join, listener: Listener) -> None:
        """Pass the key's answer to the listener, now or when it ends; seal an unseen key."""
        if join.incarnation != self._incarnation:
            listener(create_answer(messages.Outcome.UNKNOWN, REASON_OTHER_INCARNATION))
            return
        with self._lock:
            entry = self._entries.get((join.customer, join.key))
            if self._may_seal(join, entry):
                self._insert(join, KeyState.SEALED, None)
                entry = self._entries[join.customer, join.key]
            answer = self._get_answer_or_listen(entry, join, listener)
        if answer is not None:
            listener(answer)

    def find(self, find: messages.Find) -> messages.Answer:
        """
        Return the state of a key as an answer, without sealing an unseen key.

        An evicted key counts as unseen; its claim is older than those that any entry remembers.
        """
        with self._lock:
            entry = self._entries.get((find.customer, find.key))
            if entry is None:
                return create_answer(messages.Outcome.NOT_RUN, messages.REASON_UNSEEN)
            if entry.digest == find.digest and entry.state is KeyState.STARTED:
                return create_answer(messages.Outcome.UNKNOWN, REASON_RUNNING)
            return _build_ended_answer(entry, find.digest)

    def end(self, run: messages.Run, answer: messages.Answer) -> None:
        """Store a started key's answer and pass it to all its listeners."""
        with self._lock:
            entry = self._entries[run.customer, run.key]
            invariants.require(
                entry.state is KeyState.STARTED and entry.attempt == run.attempt,
                "key-ends-once",
                f"attempt {run.attempt} ended while {entry.state} at {entry.attempt}",
            )
            is_sealed = answer.outcome is messages.Outcome.NOT_RUN
            entry.state = KeyState.SEALED if is_sealed else KeyState.ENDED
            entry.answer = answer
            listeners, entry.listeners = entry.listeners, []
            self._retain_answer(entry)
            self._evict_oldest()
        for listener in listeners:
            listener(answer)

    def _may_start(self, run: messages.Run, entry: _KeyEntry | None) -> bool:
        """Return whether an attempt may start: the key is new, or sealed at a lower attempt."""
        if entry is None:
            return not self._may_be_evicted(run)
        return entry.state is KeyState.SEALED and run.attempt > entry.attempt

    def _may_seal(self, join: messages.Join, entry: _KeyEntry | None) -> bool:
        """Return whether to seal an attempt: the key is new, or sealed at a lower attempt."""
        if entry is None:
            return not self._may_be_evicted(join)
        return entry.state is KeyState.SEALED and join.attempt > entry.attempt

    def _may_be_evicted(self, message: messages.Run | messages.Join) -> bool:
        """Return whether an unknown key may have been in the ledger and evicted."""
        return message.claim_offset <= self._evicted_offsets.get(message.shard, -1)

    def _get_answer_or_listen(
        self,
        entry: _KeyEntry | None,
        message: messages.Run | messages.Join,
        listener: Listener,
    ) -> messages.Answer | None:
        if entry is None:
            return create_answer(messages.Outcome.UNKNOWN, REASON_FORGOTTEN)
        if entry.digest != message.digest or entry.state is not KeyState.STARTED:
            return _build_ended_answer(entry, message.digest)
        if len(entry.listeners) >= _MAX_LISTENERS_PER_KEY:
            return create_answer(messages.Outcome.UNKNOWN, REASON_TOO_MANY_WAITING)
        entry.listeners.append(listener)
        return None

    def _insert(
        self,
        message: messages.Run | messages.Join,
        state: KeyState,
        listener: Listener | None,
    ) -> None:
        key_id = (message.customer, message.key)
        listeners = [] if listener is None else [listener]
        earlier = self._entries.pop(key_id, None)
        positions = [] if earlier is None else earlier.positions
        positions.append(_ClaimPosition(message.shard, message.claim_offset))
        self._entries[key_id] = _KeyEntry(
            message.attempt, message.digest, positions, state, None, listeners
        )
        if message.shard == messages.TICKET_SHARD:
            self._count_ticket()
        self._evict_oldest()

    def _count_ticket(self) -> None:
        """Begin a new epoch at intervals, so that evicting old tickets leaves new ones valid."""
        self._tickets_in_epoch += 1
        if self._tickets_in_epoch >= max(1, self._max_keys // _EPOCHS_PER_LEDGER):
            self._tickets_in_epoch = 0
            self._ticket_epoch += 1

    def _retain_answer(self, entry: _KeyEntry) -> None:
        self._answers.append(entry)
        self._retained_bytes += _count_bytes(entry)
        while self._retained_bytes > self._max_bytes and len(self._answers) > 1:
            oldest = self._answers.popleft()
            self._retained_bytes -= _count_bytes(oldest)
            oldest.answer = None

    def _evict_oldest(self) -> None:
        while len(self._entries) > self._max_keys:
            key_id = next(
                (n for n, e in self._entries.items() if e.state is not KeyState.STARTED), None
            )
            if key_id is None:
                return
            self._record_evicted(self._entries.pop(key_id))

    def _record_evicted(self, entry: _KeyEntry) -> None:
        """Record a key's claims as evicted; new tickets get an epoch above those evicted."""
        for place in entry.positions:
            newest = self._evicted_offsets.get(place.shard, -1)
            self._evicted_offsets[place.shard] = max(newest, place.offset)
        forgotten_epoch = self._evicted_offsets.get(messages.TICKET_SHARD, -1)
        self._ticket_epoch = max(self._ticket_epoch, forgotten_epoch + 1)


def _refuse_other_incarnation(run: messages.Run) -> messages.Answer:
    """
    Return the answer to a request for an earlier incarnation of this sidecar.

    A claimed request is sent only once, so refusing it proves that it did not run. A request with
    a ticket may be sent by several entries, one of which may have reached that incarnation.
    """
    is_ticket = run.shard == messages.TICKET_SHARD
    outcome = messages.Outcome.UNKNOWN if is_ticket else messages.Outcome.NOT_RUN
    return create_answer(outcome, REASON_OTHER_INCARNATION)


def _build_ended_answer(entry: _KeyEntry, digest: str) -> messages.Answer:
    if entry.digest != digest:
        return create_answer(messages.Outcome.UNKNOWN, messages.REASON_OTHER_BODY)
    if entry.state is KeyState.SEALED:
        return create_answer(messages.Outcome.NOT_RUN, REASON_SEALED)
    dropped = create_answer(messages.Outcome.UNKNOWN, REASON_ANSWER_DROPPED)
    return entry.answer or dropped


def _count_bytes(entry: _KeyEntry) -> int:
    return len(entry.answer.body) if entry.answer is not None else 0
