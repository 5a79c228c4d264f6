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
from oleanderdeal import callers

Listener = collections.abc.Callable[[messages.Answer], None]

_MOST_LISTENERS = 16
_EPOCHS = 16

REASON_SEALED = "sealed"
REASON_OTHER_INCARNATION = "incarnation-gone"
REASON_FORGOTTEN = "key-forgotten"
REASON_ANSWER_DROPPED = "answer-no-longer-kept"
REASON_TOO_MANY_WAITING = "too-many-wait-for-this-key"


class KeyState(enum.Enum):
    """How far a key has come."""

    STARTED = "started"
    ENDED = "ended"
    SEALED = "sealed"


@dataclasses.dataclass(slots=True, frozen=True)
class _Place:
    """A shard and the offset of a claim in it."""

    shard: int
    offset: int


@dataclasses.dataclass(slots=True)
class _KeyEntry:
    attempt: int
    digest: str
    places: list[_Place]
    """Where the key's claims stand, of all attempts that came here."""
    state: KeyState
    answer: messages.Answer | None
    listeners: list[Listener]


def create_answer(outcome: messages.Outcome, reason: str) -> messages.Answer:
    """Return an answer that no backend server gave; the link fills in the request's id."""
    return messages.Answer("", outcome, 0, reason, 0, b"", 0)


class Ledger:
    """
    Remembers keys; bounded in keys and in bytes of kept answers.

    At the bound of bytes the oldest answer is dropped, and a later asker hears "unknown". At the
    bound of keys the oldest ended key is forgotten, and every key of its shard whose claim is as
    old or older is from then on neither started nor sealed. A key that is running is never
    forgotten; the admission queue bounds how many there are.
    """

    def __init__(self, incarnation: str, most_keys: int, most_bytes: int) -> None:
        self._incarnation = incarnation
        self._most_keys = most_keys
        self._most_bytes = most_bytes
        self._lock = threading.Lock()
        self._entries: collections.OrderedDict[tuple[str, str], _KeyEntry] = (
            collections.OrderedDict()
        )
        self._answers: collections.deque[_KeyEntry] = collections.deque()
        self._kept_bytes = 0
        self._forgotten_offsets: dict[int, int] = {}
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
            answer = self._read_or_listen(entry, run, listener)
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
            answer = self._read_or_listen(entry, join, listener)
        if answer is not None:
            listener(answer)

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
            self._keep_answer(entry)
            self._forget_oldest()
        for listener in listeners:
            listener(answer)

    def _may_start(self, run: messages.Run, entry: _KeyEntry | None) -> bool:
        if entry is None:
            return not self._is_forgotten(run)
        return entry.state is KeyState.SEALED and run.attempt > entry.attempt

    def _may_seal(self, join: messages.Join, entry: _KeyEntry | None) -> bool:
        if entry is None:
            return not self._is_forgotten(join)
        return entry.state is KeyState.SEALED and join.attempt > entry.attempt

    def _is_forgotten(self, asked: messages.Run | messages.Join) -> bool:
        """Tell whether this key may have been here and been forgotten."""
        return asked.claim_offset <= self._forgotten_offsets.get(asked.shard, -1)

    def _read_or_listen(
        self,
        entry: _KeyEntry | None,
        asked: messages.Run | messages.Join,
        listener: Listener,
    ) -> messages.Answer | None:
        if entry is None:
            return create_answer(messages.Outcome.UNKNOWN, REASON_FORGOTTEN)
        if entry.digest != asked.digest:
            return create_answer(messages.Outcome.UNKNOWN, callers.REASON_OTHER_BODY)
        if entry.state is KeyState.SEALED:
            return create_answer(messages.Outcome.NOT_RUN, REASON_SEALED)
        if entry.state is KeyState.ENDED:
            dropped = create_answer(messages.Outcome.UNKNOWN, REASON_ANSWER_DROPPED)
            return entry.answer or dropped
        if len(entry.listeners) >= _MOST_LISTENERS:
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
        places = [] if earlier is None else earlier.places
        places.append(_Place(asked.shard, asked.claim_offset))
        self._entries[name] = _KeyEntry(
            asked.attempt, asked.digest, places, state, None, listeners
        )
        if asked.shard == messages.TICKET_SHARD:
            self._count_ticket()
        self._forget_oldest()

    def _count_ticket(self) -> None:
        """Start a new epoch now and then, so that forgetting old tickets spares new ones."""
        self._tickets_in_epoch += 1
        if self._tickets_in_epoch >= max(1, self._most_keys // _EPOCHS):
            self._tickets_in_epoch = 0
            self._ticket_epoch += 1

    def _keep_answer(self, entry: _KeyEntry) -> None:
        self._answers.append(entry)
        self._kept_bytes += _count_bytes(entry)
        while self._kept_bytes > self._most_bytes and len(self._answers) > 1:
            oldest = self._answers.popleft()
            self._kept_bytes -= _count_bytes(oldest)
            oldest.answer = None

    def _forget_oldest(self) -> None:
        while len(self._entries) > self._most_keys:
            name = next(
                (n for n, e in self._entries.items() if e.state is not KeyState.STARTED), None
            )
            if name is None:
                return
            self._note_forgotten(self._entries.pop(name))

    def _note_forgotten(self, entry: _KeyEntry) -> None:
        for place in entry.places:
            newest = self._forgotten_offsets.get(place.shard, -1)
            self._forgotten_offsets[place.shard] = max(newest, place.offset)
        forgotten_epoch = self._forgotten_offsets.get(messages.TICKET_SHARD, -1)
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


def _count_bytes(entry: _KeyEntry) -> int:
    return len(entry.answer.body) if entry.answer is not None else 0
