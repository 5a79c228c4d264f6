"""Appends a record and finds out what became of it."""

import expression

from oleander_contracts import in_force, records
from oleander_platform import logservice
from oleanderdeal import configuration_reader, retrying_log


class Publisher:
    """
    Publishes one contract.

    An answer that was lost tells nothing, so only what the stream holds counts: the record's nonce
    tells it from all others, also where it took effect twice or late.
    """

    def __init__(self, log: retrying_log.RetryingLog) -> None:
        self._log = log
        self._reader = configuration_reader.ConfigurationReader(log, self._record_own_offset)
        self._nonce = ""
        self._own_offset: int | None = None

    def read_current(self, customer: str) -> expression.Result[in_force.InForce | None, str]:
        """Return the customer's contract in force now, or what hinders."""
        problem = self._reader.find_problem()
        if problem:
            return expression.Error(problem)
        return expression.Ok(self._reader.fold.read_in_force(customer))

    def publish(self, record: records.ContractRecord) -> expression.Result[in_force.Verdict, str]:
        """
        Append until the stream holds the record, and return the verdict on it.

        Appending again is safe: the record names its base, so of several copies the first decides
        and the others are void.
        """
        self._nonce = record.nonce
        may_be_appended = False
        while True:
            match self._log.append_once(records.STREAM, record.to_value()):
                case expression.Result(tag="ok"):
                    return self._await_verdict()
                case expression.Result(error=error):
                    may_be_appended = may_be_appended or error.may_have_effect
            verdict = self._read_verdict() if may_be_appended else None
            if verdict is not None:
                return expression.Ok(verdict)
            if self._log.is_expired:
                return expression.Error(_describe_failure(error, may_be_appended))
            self._log.wait(error.retry_after_ms)

    def _await_verdict(self) -> expression.Result[in_force.Verdict, str]:
        """Read until the record that was appended has come back."""
        while True:
            verdict = self._read_verdict()
            if verdict is not None:
                return expression.Ok(verdict)
            if self._log.is_expired:
                return expression.Error("published, but not read back in time; see audit")
            self._log.wait()

    def _read_verdict(self) -> in_force.Verdict | None:
        """Read what is new, and return the verdict on the first copy of our record."""
        self._reader.read_to_end()
        if self._own_offset is None:
            return None
        return self._reader.fold.find_verdict(self._own_offset)

    def _record_own_offset(self, record: logservice.Record) -> None:
        is_own = self._nonce != "" and record.value.get("nonce") == self._nonce
        if is_own and self._own_offset is None:
            self._own_offset = record.offset


def _describe_failure(error: logservice.LogError, may_be_appended: bool) -> str:
    if not may_be_appended:
        return f"not published: {error.detail}"
    return (
        f"not known whether it was published: {error.detail}. It may still take effect;"
        " see audit. Publishing the same again is safe unless another has published since:"
        " that would be replaced"
    )
