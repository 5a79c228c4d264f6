"""An in-memory log service that can fail like the real one."""

import expression

from oleander_platform import logservice

DOWN = logservice.LogError("down", may_have_effect=False, retry_after_ms=1)
LOST = logservice.LogError("timed out", may_have_effect=True, retry_after_ms=0)
PAGE_RECORDS = 2


class MemoryLog(logservice.LogService):
    """
    Keeps streams in memory and fails as planned. While `is_down`, every call fails.

    `append_plan` lists the behaviour of the next appends: "refused", "vanished" (error without
    effect), "lost" (error after the effect), "late" (error; takes effect before the append that
    follows), "second" (after `rival_value`, the record of another writer) or "ok".
    """

    def __init__(self):
        self.append_plan = []
        self.is_down = False
        self.rival_value = None
        self._streams = {}
        self._first_offsets = {}
        self._late_values = []

    def append(self, stream, values, deadline):
        behaviour = self.append_plan.pop(0) if self.append_plan else "ok"
        if self.is_down or behaviour == "refused":
            return expression.Error(DOWN)
        if behaviour == "vanished":
            return expression.Error(LOST)
        if behaviour == "late":
            self._late_values += values
            return expression.Error(LOST)
        if behaviour == "second":
            self.write(stream, self.rival_value)
        for value in self._late_values:
            self.write(stream, value)
        self._late_values = []
        first = len(self._streams.get(stream, []))
        for value in values:
            self.write(stream, value)
        return expression.Error(LOST) if behaviour == "lost" else expression.Ok(first)

    def read(self, stream, offset, wait_ms, deadline):
        if self.is_down:
            return expression.Error(DOWN)
        values = self._streams.get(stream, [])
        first = self._first_offsets.get(stream, 0)
        start = max(offset, first)
        page = tuple(
            logservice.Record(number, 1000 * number, values[number])
            for number in range(start, min(start + PAGE_RECORDS, len(values)))
        )
        return expression.Ok(logservice.Page(page, first, len(values)))

    def write(self, stream, value):
        self._streams.setdefault(stream, []).append(value)

    def list_values(self, stream):
        return self._streams.get(stream, [])

    def delete_before(self, stream, offset):
        self._first_offsets[stream] = offset
