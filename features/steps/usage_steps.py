"""Steps for usage reports; time is simulated."""

import collections
import contextlib
import types
import unittest.mock

import behave

import server_fakes
from oleander_base import clock
from oleander_direct import calls, directory, servers
from oleander_duties import platform, usage, usage_records
from oleander_leases import lease
from oleander_routing import router
from oleander_standins import recordlog
from oleanderdeal import usage_reporter

_WINDOW_MS = 5000
_DUE_MS = 10_000
_GAP_SECONDS = 3.0
_STEP_SECONDS = 0.1
_START_SECONDS = 1000.0
_FIRST_WINDOW = int(_START_SECONDS * 1000) // _WINDOW_MS
_SETTINGS = usage_reporter.UsageSettings(_WINDOW_MS, _DUE_MS, "node")


class Killed(BaseException):
    """Ends a simulated process at the point where it is raised."""


class RecordingPlatform(platform.DutyPlatform):
    """One process's access to the platform, which may fail or stall as the test says."""

    def __init__(self, site, name):
        self._site = site
        self._name = name

    def report_usage(self, report, holder, deadline):
        site = self._site
        if self._name in site.dying:
            site.dying.discard(self._name)
            raise Killed
        if self._name in site.stalling:
            site.stalled.append((self._name, report, holder))
            return platform.DutyUnknown("no answer")
        if site.is_platform_down:
            return platform.DutyUnknown("status 503")
        site.record_report(self._name, report, holder)
        if site.lost_answers:
            site.lost_answers -= 1
            return platform.DutyUnknown("no answer")
        return platform.DutyDone()


class Process:
    """One incarnation of a process that counts and reports usage."""

    def __init__(self, site, name):
        self._site = site
        self.client = site.clients[name]
        self.counter = usage.UsageCounter(_WINDOW_MS, lambda: int(site.now * 1000))
        self.lease = lease.FencedLease(self.client, "duties", name, _GAP_SECONDS)
        owned = types.SimpleNamespace(owns=lambda partition: site.find_owner() == name)
        self.reporter = usage_reporter.UsageReporter(
            _SETTINGS,
            self.client,
            self.lease,
            owned,
            self.counter,
            RecordingPlatform(site, name),
            None,
        )
        self.is_frozen = False
        self._flush_at = self._hold_at = 0.0

    def work(self):
        now = self._site.now
        if now >= self._flush_at:
            self.reporter.flush()
            self._flush_at = now + 0.5
        if now >= self._hold_at and self.lease.is_wanted:
            self._hold_at = now + self.reporter.try_hold_lease()
        self.reporter.report_due()


class ReportingSite:
    """Several processes on one simulated clock, and all reports that the platform accepted."""

    def __init__(self, names):
        self.now = _START_SECONDS
        self.names = names
        self._log = recordlog.MemoryRecordLog()
        self.clients = {name: self._log.create_client() for name in names}
        self.reports = []
        self.dying, self.stalling, self.stalled = set(), set(), []
        self.owner = ""
        self.is_platform_down = False
        self.lost_answers = 0
        self._counted = collections.defaultdict(list)
        self._processes = {name: Process(self, name) for name in names}

    @contextlib.contextmanager
    def simulate(self):
        with (
            unittest.mock.patch.object(clock, "read_now", lambda: self.now),
            unittest.mock.patch.object(clock, "read_wall_ms", lambda: int(self.now * 1000)),
        ):
            yield

    def find_owner(self):
        """
        Return the process that gets the lease: the chosen one or the first available.

        A process is available if it runs, reaches the log and wants the lease.
        """
        if self.owner:
            return self.owner
        reachable = [
            name
            for name, process in self._processes.items()
            if not process.is_frozen
            and not self.clients[name].faults.is_down
            and process.lease.is_wanted
        ]
        return min(reachable, default=None)

    def record_report(self, name, report, holder):
        self.reports.append((self.now, name, report, holder.fencing))

    def run_word(self, word):
        if word.endswith("s") and word[0].isdigit():
            self._pass_time(float(word[:-1]))
        elif word == "late":
            for client in self.clients.values():
                client.apply_late()
        elif word == "garbage":
            deadline = clock.start_deadline(1.0)
            self._log.append(usage_reporter.USAGE_TOPIC, 0, [b"\xff", b""], deadline)
        elif word.startswith("owner."):
            self.owner = word.removeprefix("owner.")
        elif word.startswith("platform."):
            self._change_platform(word.removeprefix("platform."))
        else:
            name, _, action = word.partition(".")
            self._change_process(name, *action.partition("=")[::2])

    def _change_platform(self, action):
        if action == "lost":
            self.lost_answers = 1
        else:
            self.is_platform_down = action == "down"

    def _change_process(self, name, action, argument):
        faults = self.clients[name].faults
        if argument:
            self._count(name, action, *argument.split("*"))
            return
        {
            "lost": lambda: setattr(faults, "lost_answers", 1),
            "lost3": lambda: setattr(faults, "lost_answers", 3),
            "late": lambda: setattr(faults, "late_appends", 1),
            "down": lambda: setattr(faults, "is_down", True),
            "up": lambda: setattr(faults, "is_down", False),
            "kill": lambda: self._processes.pop(name),
            "start": lambda: self._processes.update({name: Process(self, name)}),
            "leave": lambda: self._processes[name].reporter.release_lease(),
            "freeze": lambda: setattr(self._processes[name], "is_frozen", True),
            "thaw": lambda: setattr(self._processes[name], "is_frozen", False),
            "dies-sending": lambda: self.dying.add(name),
            "stalls-sending": lambda: self.stalling.add(name),
            "arrive": lambda: self._arrive(name),
        }[action]()

    def _count(self, name, action, organisation, count):
        counter = self._processes[name].counter
        counted = self._counted[name, organisation]
        for _ in range(int(count)):
            if action == "begin":
                counted.append(counter.add(organisation))
            else:
                counter.undo(counted.pop())

    def _arrive(self, name):
        """Let the process's delayed calls arrive; check that they repeat accepted reports."""
        self.stalling.discard(name)
        for sender, report, holder in self.stalled:
            counts = next(r.counts for _, _, r, _ in self.reports if r.window == report.window)
            assert (sender, report.counts) == (name, counts), (report, counts, holder)

    def _pass_time(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += _STEP_SECONDS
            for name, process in sorted(self._processes.items()):
                if process.is_frozen:
                    continue
                try:
                    process.work()
                except Killed:
                    del self._processes[name]


@behave.given("the processes {names} that report usage")
def create_processes(context, names):
    context.reporting = ReportingSite(names.split())


@behave.when("they do {script}")
def act_processes(context, script):
    with context.reporting.simulate():
        for word in script.split():
            context.reporting.run_word(word)


def _find_reports(context, window):
    return [item for item in context.reporting.reports if item[2].window == _FIRST_WINDOW + window]


@behave.then("window {window:d} was reported with {counts} in time")
def check_in_time(context, window, counts):
    check_reported(context, window, counts)
    due_at = _START_SECONDS + (window + 1) * _WINDOW_MS / 1000 + _DUE_MS / 1000
    assert _find_reports(context, window)[0][0] <= due_at, _find_reports(context, window)


@behave.then("window {window:d} was reported with {counts}")
def check_reported(context, window, counts):
    told = _find_reports(context, window)
    assert told, context.reporting.reports
    seen = " ".join(f"{name}={count}" for name, count in sorted(told[0][2].counts.items()))
    assert (seen or "nothing") == counts, told


@behave.then("no window was reported with two counts")
def check_counts(context):
    known = {}
    for _, _, report, _ in context.reporting.reports:
        assert known.setdefault(report.window, report.counts) == report.counts, report


@behave.then("no two processes reported within the gap, and fencing tokens only grew")
def check_holders(context):
    told = context.reporting.reports
    for earlier, later in zip(told, told[1:], strict=False):
        assert later[3] >= earlier[3], (earlier, later)
        if earlier[1] != later[1]:
            assert later[0] - earlier[0] > _GAP_SECONDS, (earlier, later)
            assert later[3] > earlier[3], (earlier, later)


@behave.given("one server that {behaves}")
def create_server(context, behaves):
    caller = server_fakes.FakeCaller({"s1": behaves})
    chooser = router.Router(7)
    known = directory.Directory(chooser, caller)
    known.update_server(servers.Server("s1", 1, "desk", "127.0.0.1:1", "z", 6, False, ()))
    context.counter = usage.UsageCounter(_WINDOW_MS)
    context.dispatcher = calls.CallDispatcher(known, chooser, caller, context.counter)


@behave.when("an idempotent call of red is sent to it")
def call_server(context):
    request = servers.CallRequest("id", "h", "POST", "/", (), b"", True, "red")
    route = server_fakes.build_route("idempotent", 1)
    context.dispatcher.call(route, request, clock.start_deadline(0.8), lambda: False)


@behave.then("{count:d} requests of red are counted")
def check_counted(context, count):
    taken = context.counter.take_counts()
    assert sum(names.get("red", 0) for names in taken.values()) == count, taken


@behave.given("a usage counter whose counts nobody takes")
def create_counter(context):
    context.now_ms = 0
    context.counter = usage.UsageCounter(_WINDOW_MS, lambda: context.now_ms)


@behave.when("requests start in {count:d} windows")
def count_windows(context, count):
    for _ in range(count):
        context.counter.add("red")
        context.now_ms += _WINDOW_MS
    context.windows = count


@behave.then("the counts of the newest {count:d} windows are kept")
def check_bounded(context, count):
    kept = sorted(context.counter.take_counts())
    assert kept == list(range(context.windows - count, context.windows)), kept


@behave.then("a usage record of the bytes {content} can't be read")
@behave.then("a usage record of the bytes  can't be read")
def check_undecodable(context, content=""):
    assert usage_records.decode_record(bytes.fromhex(content)).is_error()
