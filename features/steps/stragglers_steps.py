"""Steps for texts on engines that become slow, in simulated time."""

import behave

from oleander_samples import hedging, scheduler, steps
from oleanderdeal import batch_run

_PIECE_TOKENS = 64
_SHORT_PIECES = 10
_SHORT_TEXTS = 20
_TICK_SECONDS = 0.05
"""The interval at which the simulated runner asks for work to start."""


class SimulatedStep:
    """A step of finished short texts and one long text that is still being generated."""

    def __init__(self, gap_ms, wait_ms, requires_single_version=False):
        self.gap_ms = gap_ms
        self.wait_ms = wait_ms
        self.free_slot_version = 1
        self._piece_seconds = gap_ms / 1000
        self.free_slot_rate = None
        policy = batch_run.STRAGGLER_POLICY
        assert isinstance(policy, hedging.StragglerPolicy)
        groups = tuple(steps.Group("", "", 1, 10_000) for _ in range(_SHORT_TEXTS + 1))
        self._scheduler = scheduler.WorkScheduler(
            steps.Step("c", "t", 1, 0, 1, groups), policy, 11, 0, requires_single_version
        )
        works = [self._scheduler.start_next(0.0) for _ in groups]
        self._long, *shorts = works
        for work in shorts:
            self._finish_short(work, wait_ms / 1000)

    def count_pieces_before_move(self, pieces):
        """Return how many pieces the long text had when it was moved, or None if it stayed."""
        count = 0
        now = 0.0
        while count < len(pieces):
            now += _TICK_SECONDS
            while count < len(pieces) and pieces[count] <= now:
                self._record_piece(self._long, pieces[count])
                count += 1
            if now < self._shorts_finished_at:
                continue
            if self._start_next(now) is not None:
                return count
        return None

    def list_pieces(self, count, wait=0.0, slow_after=0, slower=1.0, pause=0.0):
        """Return the times at which the pieces of the long text arrive if it is not moved."""
        times = []
        now = wait
        for number in range(count):
            is_slow = slow_after and number >= slow_after
            now += self._piece_seconds * (slower if is_slow else 1.0)
            now += pause if number == slow_after and slow_after else 0.0
            times.append(now)
        return times

    def open_free_slot(self, slower):
        """Offer a free slot on an engine that is `slower` times slower than a normal one."""
        self.free_slot_rate = _PIECE_TOKENS / (self._piece_seconds * slower)

    def _start_next(self, now):
        return self._scheduler.start_next(
            now, free_slot_rate=self.free_slot_rate, free_slot_version=self.free_slot_version
        )

    def _finish_short(self, work, wait):
        for number in range(_SHORT_PIECES):
            self._shorts_finished_at = wait + (number + 1) * self._piece_seconds
            self._record_piece(work, self._shorts_finished_at)
        self._scheduler.finish(work.work_id, None, self._shorts_finished_at)

    def _record_piece(self, work, at):
        self._scheduler.record_progress(work.work_id, "x", _PIECE_TOKENS, 1, at)


@behave.given(
    "engines that generate a piece in {gap:d} ms,"
    " and 20 texts of 10 pieces that waited {wait:d} ms"
)
def create_step(context, gap, wait):
    context.step = SimulatedStep(gap, wait)


@behave.given(
    "a text of {count:d} pieces"
    " whose engine becomes {slower:g} times slower"
    " after {after:d} pieces"
)
def slow_down(context, count, slower, after):
    context.pieces = context.step.list_pieces(count, slow_after=after, slower=slower)


@behave.given(
    "a text of {count:d} pieces whose engine stalls for {pause:d} ms after {after:d} pieces"
)
def stand_still(context, count, pause, after):
    context.pieces = context.step.list_pieces(count, slow_after=after, pause=pause / 1000)


@behave.given("an engine with a free slot that is {slower:g} times slower than the normal one")
def open_free_slot(context, slower):
    context.step.open_free_slot(slower)


@behave.given("texts of one weight version, which is 1")
def require_single_version(context):
    context.step = SimulatedStep(context.step.gap_ms, context.step.wait_ms, True)


@behave.given(
    "an engine with a free slot and version {version:d} that is {slower:g} times slower than the "
    "normal one"
)
def open_free_slot_of_version(context, version, slower):
    context.step.open_free_slot(slower)
    context.step.free_slot_version = version


@behave.given("a text of {count:d} pieces at an engine that is {slower:g} times slower")
def start_at_slower(context, count, slower):
    context.pieces = context.step.list_pieces(count, slow_after=1, slower=slower)


@behave.given("a text of {count:d} pieces that waits for {wait:d} ms")
def wait_long(context, count, wait):
    context.pieces = context.step.list_pieces(count, wait=wait / 1000)


@behave.then("the text is moved before it has {pieces:d} pieces")
def check_moved(context, pieces):
    made = context.step.count_pieces_before_move(context.pieces)
    assert made is not None and made < pieces, made


@behave.then("the text is not moved")
def check_stays(context):
    made = context.step.count_pieces_before_move(context.pieces)
    assert made is None, made
