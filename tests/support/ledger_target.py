"""An in-memory target behind the driver interface, which injects faults into write steps."""

import dataclasses
import enum
from typing import Any

from greengageshunt import errors, model
from greengageshunt.requests import ledger


class Fault(enum.StrEnum):
    """Fault at one step of a transaction.

    ``LOST_BEFORE`` and ``LOST_AFTER`` lose the connection before or after the step takes
    effect. ``STATUS_REJECTED`` commits, and then the status query fails. ``LATE`` reports a
    commit as unanswered; the commit takes effect when the test applies it.
    """

    NONE = "none"
    REJECTED = "rejected"
    LOST_BEFORE = "lost-before"
    LOST_AFTER = "lost-after"
    STATUS_REJECTED = "status-rejected"
    LATE = "late"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rows:
    """Result of one statement."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    row_count: int = 0


class FakeTarget:
    """Committed request ids and effects of one primary.

    ``open`` holds connections with an open transaction, ``late`` those with an unanswered commit.
    """

    def __init__(self) -> None:
        self.stored: dict[tuple[str, str], tuple[str, str, str]] = {}
        self.effects: list[tuple[str, str]] = []
        self.open: list[FakeConnection] = []
        self.late: list[FakeConnection] = []
        self.offset = 0

    def apply(self, connection: "FakeConnection") -> None:
        """Commit a transaction."""
        self.stored.update(connection.inserted)
        self.effects += connection.effects
        self.offset += 1
        self.close(connection)

    def close(self, connection: "FakeConnection") -> None:
        """End a transaction without committing it."""
        connection.inserted = {}
        connection.effects = []
        if connection in self.open:
            self.open.remove(connection)
        if connection in self.late:
            self.late.remove(connection)

    def status(self, now: float) -> model.TargetStatus:
        """Return the target's status."""
        return model.TargetStatus(
            target="primary",
            term=1,
            promoter="",
            role=model.Role.PRIMARY,
            offset=self.offset,
            history=(model.TermStart(term=1, first_offset=1),),
            observed_at=now,
        )


class FakeConnection:
    """One connection; ``faults`` maps a step to a fault that is injected once."""

    def __init__(self, *, target: FakeTarget, faults: dict[str, Fault]) -> None:
        self.target = model.Target(
            name="primary",
            failure_domain="klang",
            address="",
            replication_address="",
            connection_limit=15,
            slots=2,
        )
        self._state = target
        self._faults = dict(faults)
        self.inserted: dict[tuple[str, str], tuple[str, str, str]] = {}
        self.effects: list[tuple[str, str]] = []
        self.value: Any = 1

    async def run(self, step: str, sql: str, parameters: Any = None) -> tuple[Rows, ...]:
        """Run one step of a write."""
        fault = self._faults.pop(step, Fault.NONE)
        if fault is Fault.REJECTED:
            raise _error("statement rejected", "42601")
        if fault is Fault.LOST_BEFORE:
            raise self._lost()
        result = self._apply(step, parameters)
        if fault is not Fault.NONE:
            raise self._lost()
        return (result,)

    async def run_after_status(
        self, step: str, sql: str, parameters: Any, now: float
    ) -> tuple[model.TargetStatus, Rows]:
        """Look up the stored outcome of a request id, and return it with the status."""
        fault = self._faults.pop(step, Fault.NONE)
        if fault is Fault.REJECTED:
            raise _error("statement rejected", "42601")
        if fault is not Fault.NONE:
            raise self._lost()
        key = (parameters["account"], parameters["request_id"])
        outcome = self._state.stored.get(key)
        return self._state.status(now), Rows(rows=(outcome,) if outcome else ())

    async def commit(self, now: float) -> model.TargetStatus:
        """Commit the open transaction."""
        fault = self._faults.pop("commit", Fault.NONE)
        if fault is Fault.REJECTED:
            self._state.close(self)
            raise _error("not the primary of its term", "25006")
        if fault is Fault.LOST_BEFORE:
            raise self._lost()
        if fault is Fault.LATE:
            self._state.late.append(self)
            raise _error("no answer", "")
        self._state.apply(self)
        if fault is Fault.STATUS_REJECTED:
            raise _error("status query failed", "42883")
        if fault is Fault.LOST_AFTER:
            raise self._lost()
        return self._state.status(now)

    def _apply(self, step: str, parameters: Any) -> Rows:
        if step in {"begin", "claim"} and self not in self._state.open:
            self._state.open.append(self)
        if step == "rollback":
            self._state.close(self)
        elif step == "claim":
            self._claim(parameters)
        elif step == "write":
            self.effects.append((parameters["account"], parameters["tag"]))
            return Rows(columns=("id",), rows=((self.value,),), row_count=1)
        elif step == "store-answer":
            key = (parameters["account"], parameters["request_id"])
            state, fingerprint, _ = self.inserted[key]
            self.inserted[key] = (state, fingerprint, parameters["answer"])
        return Rows()

    def _claim(self, parameters: Any) -> None:
        key = (parameters["account"], parameters["request_id"])
        others = [other for other in self._state.open if other is not self]
        if any(key in other.inserted for other in others):
            # A database would wait for the other transaction; the fake loses the connection.
            raise self._lost()
        if key in self._state.stored:
            raise _error("duplicate key", ledger.UNIQUE_VIOLATION)
        self.inserted[key] = (parameters["state"], parameters["fingerprint"], "")

    def _lost(self) -> errors.TargetError:
        self._state.close(self)
        return _error("connection lost", "")


def _error(message: str, code: str) -> errors.TargetError:
    return errors.TargetError(message, step="fake", peer="primary", sent=True, code=code)
