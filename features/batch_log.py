"""Entries that share the batches of one log in memory, and faults of that log."""

import itertools

from oleander_base import clock, tasks
from oleander_batches import index_reader, journal, submission
from oleander_standins import recordlog

_SECONDS = 0.5


class SharedLog:
    """Two entries' journals on one log."""

    def __init__(self):
        self.log = recordlog.MemoryRecordLog()
        self.clients = {name: self.log.create_client() for name in "ab"}
        self.group = tasks.TaskGroup("batches", 1)
        self.journals = {
            name: journal.BatchJournal(client, self.group, 4, 100.0)
            for name, client in self.clients.items()
        }

    def refresh(self):
        for kept in self.journals.values():
            assert kept.index.refresh(clock.read_now(), clock.start_deadline(_SECONDS))

    def find(self, name, batch_id="batch"):
        return self.journals[name].index.find(batch_id)

    def write(self, word, is_read=True):
        if word == "late":
            for client in self.clients.values():
                client.apply_late()
        elif word == "garbage":
            for content in (b"\xff", b"", b"\x83\x01\x02\x03"):
                self.log.append(index_reader.TOPIC, 0, [content], clock.start_deadline(_SECONDS))
        else:
            self._write_at(*word.split(":"))
        if is_read and not word.endswith("hollow"):
            self.refresh()

    def _write_at(self, name, action):
        faults = self.clients[name].faults
        if action == "lost":
            faults.lost_answers = 2
        elif action == "hollow":
            faults.hollow_pages = 1
        elif action == "late":
            fail_index(self.clients[name], "late_appends", 1)
        elif action == "end":
            assert self.journals[name].end("batch", clock.start_deadline(_SECONDS)).is_ok()
        else:
            number, text = action.split("=")
            state = submission.ResultState.DONE
            result = submission.ItemResult(f"item-{number}", state, text, (1,), "s")
            while self.journals[name].append_results("batch", [(int(number), result)]).is_error():
                pass


def build_submission(items=3, batch_id="batch", body=b"body"):
    """Return a submission of `items` items in groups of two."""
    return submission.Submission(
        batch_id,
        "host",
        "/batches/1",
        4,
        "m",
        1,
        1,
        tuple(
            submission.Item(f"item-{number}", "/i", (), body, 9, f"g{number // 2}", None)
            for number in range(items)
        ),
    )


def fail_index(client, fault, times):
    """Inject a fault into the next `times` appends to the index."""
    fail_appends(client, index_reader.TOPIC, fault, times)


def fail_appends(client, failing_topic, fault, times, skipped=0):
    """Inject a fault into the `times` appends to a topic that follow the skipped ones."""
    original = client.append
    passed = itertools.count()

    def append(topic, partition, records, deadline):
        if topic == failing_topic and skipped <= next(passed) < skipped + times:
            setattr(client.faults, fault, 1)
        return original(topic, partition, records, deadline)

    client.append = append
