"""Publisher of contracts that determines whether an appended record took effect."""

import expression

from oleander_contracts import in_force, records
from oleander_platform import logservice
from oleanderdeal import configuration_reader, retrying_log


class Publisher:
    """
    Publishes one contract.

    If the answer to an append is lost, only the records in the stream show whether the append took
    effect. The record is identified by its nonce, even if it was appended twice or late.
    """

    def __init__(self, log: retrying_log.RetryingLog) -> None:
        self._log = log
        self._reader = configuration_reader.ConfigurationReader(log, self._record_own_offset)
        self._nonce = ""
        self._own_offset: int | None = None

    def read_current(
        self, customer: str
    ) -> expression.Result[in_force.ContractInForce | None, str]:
        """Return the customer's contract in force, or why it can't be read from the log."""
        problem = self._reader.find_problem()
        if problem:
            return expression.Error(problem)
        return expression.Ok(self._reader.fold.find_in_force(customer))

    def publish(self, record: records.ContractRecord) -> expression.Result[in_force.Verdict, str]:
        """
        Append a record until the stream holds it, and return the verdict on it.

        Repeated appends are safe: the record names the offset of the contract that it replaces, so
        the first copy decides and all others are void. Return a message if the deadline passes.
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
        """Read the stream until it returns the appended record or the deadline passes."""
        while True:
            verdict = self._read_verdict()
            if verdict is not None:
                return expression.Ok(verdict)
            if self._log.is_expired:
                return expression.Error("published, but not read back in time; see audit")
            self._log.wait()

    def _read_verdict(self) -> in_force.Verdict | None:
        """Read new records; return the verdict on the first copy of the published one, if any."""
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
