"""The configuration in force, as a deterministic function of the records applied."""

import typing

from oleander_base import invariants
from oleander_contracts import in_force, records

MAX_STATE_BYTES = 1024 * 1024
"""
The maximum size of the configuration in force as JSON.

A record that would exceed it is void. This bounds memory and keeps every snapshot below the
maximum size of a record (`records.MAX_RECORD_BYTES`).
"""

_Item = in_force.ContractInForce | in_force.ModelVersion | in_force.TrainerIncarnation


class ConfigurationState:
    """
    The contracts, weight versions and trainer incarnations in force; not thread-safe.

    Bounded by `MAX_STATE_BYTES`. The state depends only on the records applied and their order:
    not on time, on the process, or on whether they came one by one or as a snapshot.
    """

    def __init__(self) -> None:
        self._contracts: dict[str, in_force.ContractInForce] = {}
        self._versions: dict[str, in_force.ModelVersion] = {}
        self._trainers: dict[tuple[str, str], in_force.TrainerIncarnation] = {}
        self._bytes = 0

    @classmethod
    def from_snapshot(cls, snapshot: records.SnapshotRecord) -> "ConfigurationState":
        """Create the state of a snapshot."""
        state = cls()
        state._contracts = {item.contract.customer: item for item in snapshot.contracts}
        state._versions = {item.model: item for item in snapshot.versions}
        state._trainers = {(item.customer, item.trainer): item for item in snapshot.trainers}
        state._bytes = sum(_measure_item(item) for item in state._list_items())
        return state

    @property
    def size(self) -> int:
        """The size of the state as JSON, in bytes."""
        return self._bytes

    @property
    def contracts(self) -> dict[str, in_force.ContractInForce]:
        """The contracts in force, by customer."""
        return self._contracts

    @property
    def versions(self) -> dict[str, in_force.ModelVersion]:
        """The newest weight versions, by model."""
        return self._versions

    @property
    def trainers(self) -> dict[tuple[str, str], in_force.TrainerIncarnation]:
        """The newest trainer incarnations, by customer and trainer."""
        return self._trainers

    def apply(self, offset: int, record: records.Record) -> in_force.Verdict:
        """Apply the next record and return the verdict on it."""
        match record:
            case records.ContractRecord():
                return self._apply_contract(offset, record)
            case records.VersionRecord():
                return self._apply_version(offset, record)
            case records.TrainerRecord():
                return self._apply_trainer(offset, record)
            case records.SnapshotRecord():
                return _check_snapshot(offset, record)
        return _ignore("a kind that this release does not know")

    def create_snapshot(self, through: int) -> records.SnapshotRecord:
        """Return a snapshot, sorted so that equal states give equal snapshots."""
        return records.SnapshotRecord(
            through=through,
            contracts=tuple(item for _, item in sorted(self._contracts.items())),
            versions=tuple(item for _, item in sorted(self._versions.items())),
            trainers=tuple(item for _, item in sorted(self._trainers.items())),
        )

    def find_regression(self, after: "ConfigurationState") -> str:
        """Describe the first item that is older or missing in `after`; return '' if none is."""
        for customer, contract in self._contracts.items():
            if _read_offset(after.contracts.get(customer)) < contract.offset:
                return f"the contract of {customer}"
        for model, version in self._versions.items():
            if _read_offset(after.versions.get(model)) < version.offset:
                return f"the version of {model}"
        for key, run in self._trainers.items():
            if _read_offset(after.trainers.get(key)) < run.offset:
                return f"the incarnation of {run.customer}'s trainer {run.trainer}"
        return ""

    def _list_items(self) -> list[_Item]:
        return [*self._contracts.values(), *self._versions.values(), *self._trainers.values()]

    def _apply_contract(self, offset: int, record: records.ContractRecord) -> in_force.Verdict:
        current = self._contracts.get(record.customer)
        # Two operators who edit the same version both name it as the base. The first record in
        # the log replaces that version, so the second has an outdated base and is void.
        if record.base != _read_offset(current):
            return _void(
                current, f"based on {_describe_base(record.base)}, {_describe_current(current)}"
            )
        item = in_force.ContractInForce(record.contract, offset, record.by)
        return self._replace_item(self._contracts, record.customer, item)

    def _apply_version(self, offset: int, record: records.VersionRecord) -> in_force.Verdict:
        current = self._versions.get(record.model)
        if current is not None and record.version < current.version:
            return _void(current, f"version {current.version} is in force")
        if current is not None and record.version == current.version:
            return _void(current, f"version {current.version} was announced already")
        item = in_force.ModelVersion(record.model, record.version, offset, record.uri, record.by)
        return self._replace_item(self._versions, record.model, item)

    def _apply_trainer(self, offset: int, record: records.TrainerRecord) -> in_force.Verdict:
        key = (record.customer, record.trainer)
        current = self._trainers.get(key)
        if current is not None and record.incarnation <= current.incarnation:
            return _void(current, f"incarnation {current.incarnation} was seen already")
        item = in_force.TrainerIncarnation(
            record.customer, record.trainer, record.incarnation, offset, record.by
        )
        return self._replace_item(self._trainers, key, item)

    def _replace_item(
        self, table: dict[typing.Any, typing.Any], key: typing.Any, item: _Item
    ) -> in_force.Verdict:
        current = table.get(key)
        new_size = self._bytes + _measure_item(item) - (_measure_item(current) if current else 0)
        if new_size > MAX_STATE_BYTES:
            return _void(current, f"no room: {MAX_STATE_BYTES} bytes are in force at most")
        offset = _read_offset(current)
        invariants.require(item.offset > offset, "in-force-offset-grows", f"{key}: {offset}")
        table[key] = item
        self._bytes = new_size
        return in_force.Verdict(in_force.Decision.ACCEPTED, "", item.offset, item.by)


def _check_snapshot(offset: int, record: records.SnapshotRecord) -> in_force.Verdict:
    if record.through >= offset:
        return _void(None, "covers records that come after it")
    return _ignore("a snapshot of what is in force already")


def _measure_item(item: _Item) -> int:
    return in_force.measure_value(item.to_value()) or 0


def _read_offset(item: _Item | None) -> int:
    return in_force.NO_OFFSET if item is None else item.offset


def _describe_base(base: int) -> str:
    return "no contract" if base == in_force.NO_OFFSET else f"offset {base}"


def _describe_current(current: in_force.ContractInForce | None) -> str:
    if current is None:
        return "but none is in force"
    return f"but offset {current.offset} by {current.by} is in force"


def _void(current: _Item | None, reason: str) -> in_force.Verdict:
    by = "" if current is None else current.by
    return in_force.Verdict(in_force.Decision.VOID, reason, _read_offset(current), by)


def _ignore(reason: str) -> in_force.Verdict:
    return in_force.Verdict(in_force.Decision.IGNORED, reason, in_force.NO_OFFSET, "")
