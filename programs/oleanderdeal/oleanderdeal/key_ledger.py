"""
What became of each non-repeatable key at this sidecar incarnation.

The ledger is why a key runs at most once: a claim in the log names one incarnation, and that
incarnation's ledger starts a key once or seals it. A sealed key never starts, so whoever was told
"not run" by a seal may let another sidecar run it.
"""

import collections
import collections.abc
import dataclasses
import enum
import threading

from oleander_base import invariants
from oleander_wire import messages

Listener = collections.abc.Callable[[messages.Answer], None]

_MAX_LISTENERS_PER_KEY = 16
_EPOCHS_PER_LEDGER = 16

REASON_SEALED = "sealed"
REASON_OTHER_INCARNATION = "incarnation-gone"
REASON_FORGOTTEN = "key-forgotten"
REASON_ANSWER_DROPPED = "answer-no-longer-kept"
REASON_RUNNING = "still-running"
REASON_TOO_MANY_WAITING = "too-many-wait-for-this-key"


class KeyState(enum.Enum):
    """How far a key has come."""

    STARTED = "started"
    ENDED = "ended"
    SEALED = "sealed"


@dataclasses.dataclass(slots=True, frozen=True)
class _ClaimPosition:
    """A shard and the offset of a claim in it."""

    shard: int
    offset: int


@dataclasses.dataclass(slots=True)
class _KeyEntry:
    attempt: int
    digest: str
    positions: list[_ClaimPosition]
    """Where the key's claims stand, of all attempts that came here."""
    state: KeyState
    answer: messages.Answer | None
    listeners: list[Listener]


def create_answer(outcome: messages.Outcome, reason: str) -> messages.Answer:
    """Return an answer that no backend server gave; the link fills in the request's id."""
    return messages.Answer("", outcome, 0, reason, 0, b"", 0)


class KeyLedger:
    """
    Remembers keys; bounded in keys and in bytes of kept answers.

    At the bound of bytes the oldest answer is dropped, and a later asker hears "unknown". At the
    bound of keys the oldest ended key is forgotten, and every key of its shard whose claim is as
    old or older is from then on neither started nor sealed. A key that is running is never
    forgotten; the admission queue bounds how many there are.
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
        self._retained_bytes = 0
        self._evicted_offsets: dict[int, int] = {}
        self._ticket_epoch = 1
        self._tickets_in_epoch = 0

    @property
    def ticket_epoch(self) -> int:
        """The epoch that tickets issued now belong to."""
        return self._ticket_epoch

    def start(self, run: messages.Run, listener: Listener) -> bool:
        """Return whether the caller must run the key now; else the listener gets the answer."""
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
        """Give the listener the key's answer, now or when it ends; seal an unseen key."""
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

    def find(self, asked: messages.Find) -> messages.Answer:
        """
        Return what became of a key so far, and leave an unseen one as it is.

        A key forgotten at the bound counts as unseen; it is older than the claims that any entry
        remembers.
        """
        with self._lock:
            entry = self._entries.get((asked.customer, asked.key))
            if entry is None:
                return create_answer(messages.Outcome.NOT_RUN, messages.REASON_UNSEEN)
            if entry.digest == asked.digest and entry.state is KeyState.STARTED:
                return create_answer(messages.Outcome.UNKNOWN, REASON_RUNNING)
            return _build_ended_answer(entry, asked.digest)

    def end(self, run: messages.Run, answer: messages.Answer) -> None:
        """Keep a started key's answer and hand it to everyone who waits for it."""
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
        if entry is None:
            return not self._may_be_evicted(run)
        return entry.state is KeyState.SEALED and run.attempt > entry.attempt

    def _may_seal(self, join: messages.Join, entry: _KeyEntry | None) -> bool:
        if entry is None:
            return not self._may_be_evicted(join)
        return entry.state is KeyState.SEALED and join.attempt > entry.attempt

    def _may_be_evicted(self, asked: messages.Run | messages.Join) -> bool:
        """Tell whether this key may have been here and been forgotten."""
        return asked.claim_offset <= self._evicted_offsets.get(asked.shard, -1)

    def _get_answer_or_listen(
        self,
        entry: _KeyEntry | None,
        asked: messages.Run | messages.Join,
        listener: Listener,
    ) -> messages.Answer | None:
        if entry is None:
            return create_answer(messages.Outcome.UNKNOWN, REASON_FORGOTTEN)
        if entry.digest != asked.digest or entry.state is not KeyState.STARTED:
            return _build_ended_answer(entry, asked.digest)
        if len(entry.listeners) >= _MAX_LISTENERS_PER_KEY:
            return create_answer(messages.Outcome.UNKNOWN, REASON_TOO_MANY_WAITING)
        entry.listeners.append(listener)
        return None

    def _insert(
        self,
        asked: messages.Run | messages.Join,
        state: KeyState,
        listener: Listener | None,
    ) -> None:
        name = (asked.customer, asked.key)
        listeners = [] if listener is None else [listener]
        earlier = self._entries.pop(name, None)
        places = [] if earlier is None else earlier.positions
        places.append(_ClaimPosition(asked.shard, asked.claim_offset))
        self._entries[name] = _KeyEntry(
            asked.attempt, asked.digest, places, state, None, listeners
        )
        if asked.shard == messages.TICKET_SHARD:
            self._count_ticket()
        self._evict_oldest()

    def _count_ticket(self) -> None:
        """Start a new epoch now and then, so that forgetting old tickets spares new ones."""
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
            name = next(
                (n for n, e in self._entries.items() if e.state is not KeyState.STARTED), None
            )
            if name is None:
                return
            self._record_evicted(self._entries.pop(name))

    def _record_evicted(self, entry: _KeyEntry) -> None:
        for place in entry.positions:
            newest = self._evicted_offsets.get(place.shard, -1)
            self._evicted_offsets[place.shard] = max(newest, place.offset)
        forgotten_epoch = self._evicted_offsets.get(messages.TICKET_SHARD, -1)
        self._ticket_epoch = max(self._ticket_epoch, forgotten_epoch + 1)


def _refuse_other_incarnation(run: messages.Run) -> messages.Answer:
    """
    Answer a request that is meant for an earlier run of this sidecar.

    A claimed request is sent once, so refusing it is evidence. A ticket may be sent by several
    entries, and one of them may have reached the earlier run.
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
