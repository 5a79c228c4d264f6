"""Creates records and logs for the steps about the configuration stream."""

import json

import expression
from hypothesis import strategies

from oleander_contracts import contract, fold, records

_CUSTOMERS = ("desk", "sales")
_MODELS = ("art", "ink")


def create_terms(customer, share=1):
    return contract.Contract(customer, share, 0, (), ())


def create_version(version, model="art", by="ann"):
    return records.VersionRecord(model, version, "u", by).to_value()


def create_contract(customer, base, by):
    return records.ContractRecord(create_terms(customer), base, by).to_value()


def create_large_contract(number):
    operations = tuple(
        contract.Operation(f"o{i}", "b" * 64, contract.Priority.CRITICAL, True, 1, 1, False)
        for i in range(64)
    )
    terms = contract.Contract(f"c{number}", 1, 0, operations, ())
    return records.ContractRecord(terms, -1, "ann").to_value()


def create_oversized(what):
    size = int("".join(letter for letter in what if letter.isdigit()))
    if "levels" in what:
        value = []
        for _ in range(size):
            value = [value]
        return {"kind": "later", "value": value}
    if "document" in what:
        return {**create_contract("desk", -1, "ann"), "added": "x" * size}
    return {"kind": "contract", "by": "x" * size}


def read_value(configuration, text):
    """Return the record that a cell of a table describes."""
    words = text.split()
    if text.startswith("{"):
        return json.loads(text.replace(";", ","))
    if words[0] == "contract":
        return create_contract(words[1], int(words[3]), words[5])
    if words[0] == "version":
        return create_version(int(words[2]), words[1], words[4])
    if words[0] == "trainer":
        return records.TrainerRecord(words[1], words[2], int(words[3]), words[5]).to_value()
    return configuration.create_snapshot()


def describe_in_force(configuration):
    snapshot = configuration.create_snapshot()
    parts = [
        f"{item['document']['customer']} {item['offset']} {item['by']}"
        for item in snapshot["contracts"]
    ]
    parts += [
        f"{item['model']}={item['version']} {item['offset']} {item['by']}"
        for item in snapshot["versions"]
    ]
    parts += [
        f"{item['customer']}/{item['trainer']}={item['incarnation']} {item['offset']} {item['by']}"
        for item in snapshot["trainers"]
    ]
    return ", ".join(parts) or "nothing"


def wrap(verdict):
    return expression.Ok(verdict)


def fold_versions(count, max_records):
    configuration = fold.ConfigurationFold(max_records=max_records)
    for offset in range(count):
        configuration.apply(offset, 0, create_version(offset + 1))
    return configuration


def create_log(texts):
    """Return the values of a log; "snapshot of N" is the state after the record at offset N."""
    log = []
    for offset, text in enumerate(texts):
        words = text.split()
        if words[0] == "snapshot":
            log.append(_create_snapshot(log, int(words[2])))
        elif words[0] == "contract":
            log.append(create_contract("desk", -1, "ann"))
        else:
            log.append(create_version(offset + 1))
    return log


def _create_snapshot(log, through):
    configuration = fold.ConfigurationFold()
    follow(configuration, log[: through + 1], 0)
    return {**configuration.create_snapshot(), "through": through}


def follow(configuration, log, first):
    """Read the log as a process does: record the deleted offsets, then apply the rest."""
    configuration.record_deleted(first)
    for offset in range(configuration.next_offset, len(log)):
        assert configuration.next_offset == offset
        result = configuration.apply(offset, 0, log[offset])
        assert result.is_ok(), result.error


_STEP = strategies.one_of(
    strategies.tuples(
        strategies.just("contract"),
        strategies.sampled_from(_CUSTOMERS),
        strategies.integers(-1, 8),
        strategies.integers(1, 100),
    ),
    strategies.tuples(
        strategies.just("version"), strategies.sampled_from(_MODELS), strategies.integers(0, 9)
    ),
    strategies.tuples(
        strategies.just("trainer"), strategies.sampled_from(_CUSTOMERS), strategies.integers(0, 9)
    ),
    strategies.tuples(strategies.just("snapshot"), strategies.integers(0, 4)),
    strategies.tuples(strategies.just("rebase"), strategies.sampled_from(_CUSTOMERS)),
    strategies.tuples(strategies.just("junk")),
)
LOGS = strategies.lists(_STEP, min_size=1, max_size=25)
PATHS = strategies.tuples(
    strategies.integers(-1, 25),
    strategies.integers(0, 25),
    strategies.integers(0, 5),
    strategies.integers(1, 3),
)


def create_random_log(steps):
    """Return the values of a log; a snapshot covers all but some of the records before it."""
    log = []
    for step in steps:
        log.append(_create_random_value(log, step))
    return log


def _create_random_value(log, step):
    if step[0] == "contract":
        terms = create_terms(step[1], step[3])
        return records.ContractRecord(terms, step[2], "ann").to_value()
    if step[0] == "rebase":
        configuration = fold.ConfigurationFold()
        follow(configuration, log, 0)
        held = configuration.find_in_force(step[1])
        return create_contract(step[1], -1 if held is None else held.offset, "bo")
    if step[0] == "version":
        return create_version(step[2], step[1])
    if step[0] == "trainer":
        return records.TrainerRecord(step[1], "art", step[2], "e1").to_value()
    if step[0] == "snapshot" and log:
        return _create_snapshot(log, max(0, len(log) - 1 - step[1]))
    return {"kind": "contract", "junk": True}


def check_path(log, path):
    """
    Compare a process that applied every record with one that missed deleted records.

    The second one applies some records and resumes where the log now begins. It gets some of the
    missing records from a peer, every record several times, and at last a peer's snapshot.
    """
    applied, first, filled, repeats = path
    first = min(first, len(log))
    complete = fold.ConfigurationFold()
    follow(complete, log, 0)
    resumed = fold.ConfigurationFold()
    follow(resumed, log[: applied + 1], 0)
    follow(resumed, log, first)
    offsets = [*range(applied + 1, applied + 1 + filled), *range(first, len(log))]
    for offset in offsets * repeats:
        before = resumed.applied_offset
        if offset < len(log):
            resumed.apply(offset, 0, log[offset])
        assert resumed.applied_offset >= before
    assert resumed.needs_snapshot == (not _has_no_gap(log, applied + filled, first))
    if resumed.needs_snapshot:
        resumed.install_snapshot(complete.create_snapshot())
    assert not resumed.needs_snapshot
    assert resumed.create_snapshot() == complete.create_snapshot()


def _has_no_gap(log, applied, first):
    """Return whether no record is missing, or a snapshot in the log covers the missing ones."""
    if first <= applied + 1:
        return True
    return any(
        value.get("kind") == "snapshot" and value["through"] >= first - 1 for value in log[first:]
    )
