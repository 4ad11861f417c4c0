"""Records the responses that clients got, and checks them against what the targets ran.

Each write has a unique value, ``CLIENT-NUMBER`` with rising numbers and at times more characters
behind them, and only one client writes to an item. So the value that a read returns identifies the
writes that the target's log contained.
"""

import bisect
import collections
import dataclasses
import math
import re
from collections import abc

from support import line_target

# Error codes after which no write of the attempt may be in the log.
NO_EFFECT_CODES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"})

# Statement id of the reads that check whether an entry VM serves; no client sends them.
PROBE_STATEMENT_ID = "probe"

RATE_WINDOW = 5.0  # seconds over which operations are counted against rate and burst
MAX_STALENESS = 1.5  # seconds, the max-staleness-ms of the stand-in's databases


@dataclasses.dataclass(frozen=True, kw_only=True)
class SentStatement:
    """One statement that a client sent.

    Attributes:
        text: Text of the statement.
        operation: Id that all statements of a transaction share; else the statement's own id.
        account: Client account of the session's API key.
        values: Session values that were acknowledged before the statement was sent.
        shape: Shape of the prepared statement that it executes, or an empty string.
    """

    text: str
    operation: str
    account: str
    values: tuple[tuple[str, str], ...]
    shape: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AcknowledgedWrite:
    """A write that was acknowledged in a session of a client, at ``at`` monotonic seconds."""

    item: str
    number: int
    value: str
    at: float
    session: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuccessfulRead:
    """A read that succeeded.

    Attributes:
        item: Item that was read.
        number: Number in the returned value, or -1 if the item had none.
        began_at: Monotonic seconds before the read, or its transaction, was sent.
        database: Database of the session, which sets the consistency of the read.
        session: Session that read; read-your-writes covers only the writes of this session.
    """

    item: str
    number: int
    began_at: float
    database: str
    session: str


class Ledger:
    """Collects the responses of a run; ``violations`` checks them at its end.

    Attributes:
        sent: Statements by id.
        written: Item by value, for all writes.
        acknowledged: Acknowledged writes.
        rejected: Error code by value, for writes that must not be in the log.
        reads: Successful reads.
        failures: Violations that clients, faults and the final checks saw themselves.
        codes: Number of responses by error code, ``ok`` for successes.
        unanswered: Ids of statements whose connection ended, or that timed out, without a response.
    """

    def __init__(self, *, rates: abc.Mapping[str, tuple[float, float]]) -> None:
        self._rates = rates
        self.sent: dict[str, SentStatement] = {}
        self.written: dict[str, str] = {}
        self.acknowledged: list[AcknowledgedWrite] = []
        self.rejected: dict[str, str] = {}
        self.reads: list[SuccessfulRead] = []
        self.failures: list[str] = []
        self.codes: collections.Counter[str] = collections.Counter()
        self.unanswered: set[str] = set()

    def violations(self, group: line_target.LineGroup, orders: abc.Iterable[tuple]) -> list[str]:
        """Return all violations, each with a label for its kind."""
        log = [entry[2] for entry in group.targets[group.primary].log]
        return [
            *self.failures,
            *self._writes(collections.Counter(log), group),
            *self._reads(group.rolled_back),
            *self._runs(group),
            *_orders(orders),
        ]

    def cut(self, group: line_target.LineGroup) -> abc.Iterator[str]:
        """Yield a violation for each statement that a target ran and nobody answered.

        Without unplanned faults there must be none.
        """
        for target in group.targets.values():
            for run in target.runs:
                if run.statement_id in self.unanswered:
                    text = self.sent[run.statement_id].text
                    yield f"LOST: {text!r} ran at {run.at:.3f}, and its connection ended"

    def _writes(
        self, log_counts: collections.Counter[str], group: line_target.LineGroup
    ) -> abc.Iterator[str]:
        for value, count in log_counts.items():
            if count > 1:
                yield f"TWICE: {value!r} is {count} times in the log"
        for write in self.acknowledged:
            if write.value not in log_counts and write.value not in group.rolled_back:
                yield f"LOST: {write.value!r} is not in the log, acknowledged at {write.at:.3f}"
            if write.value in group.outdated:
                yield f"OLD PRIMARY: {write.value!r} was acknowledged after another was promoted"
        for value, code in self.rejected.items():
            if value in log_counts:
                yield f"REFUSED: {value!r} was rejected with {code} and is in the log"

    def _reads(self, rolled_back: abc.Container[str]) -> abc.Iterator[str]:
        by_item: dict[str, list[AcknowledgedWrite]] = collections.defaultdict(list)
        for write in self.acknowledged:
            if write.value not in rolled_back:
                by_item[write.item].append(write)
        for read in self.reads:
            for write in by_item.get(read.item, ()):
                if write.number > read.number and write.at < _visibility_cutoff(read, write):
                    yield f"STALE: {read} does not include {write}"
                    break

    def _runs(self, group: line_target.LineGroup) -> abc.Iterator[str]:
        runs = [
            (target.name, run)
            for target in group.targets.values()
            for run in target.runs
            if run.statement_id != PROBE_STATEMENT_ID
        ]
        operations: dict[str, dict[str, float]] = collections.defaultdict(dict)
        transactions: dict[object, object] = {}
        for target, run in sorted(runs, key=lambda item: item[1].at):
            sent = self.sent.get(run.statement_id)
            if sent is None or _arguments(sent.text) != _arguments(run.text):
                yield f"UNASKED: no client sent this statement: {run}"
                continue
            if (sent.account, sent.values, sent.shape) != (run.account, run.values, run.shape):
                yield f"PINNED: {run} differs in account, session values or shape from {sent}"
            if (run.transaction is None) != (sent.operation == run.statement_id):
                yield f"PINNED: {run} ran outside of its transaction, or inside of one: {sent}"
            if run.transaction is not None:
                place = (target, run.connection, run.transaction)
                pair = (transactions.setdefault(sent.operation, place), place)
                pair_back = (transactions.setdefault(place, sent.operation), sent.operation)
                if pair[0] != pair[1] or pair_back[0] != pair_back[1]:
                    yield f"PINNED: {run} ran in another transaction than {sent.operation}"
            operations[run.account].setdefault(sent.operation, run.at)
        for account, started in operations.items():
            rate, burst = self._rates[account]
            times = sorted(started.values())
            for index, at in enumerate(times):
                count = bisect.bisect_left(times, at + RATE_WINDOW) - index
                if count > rate * RATE_WINDOW + burst + 1:
                    yield f"QUOTA: {account} ran {count} operations in {RATE_WINDOW} s"
                    break


def _visibility_cutoff(read: SuccessfulRead, write: AcknowledgedWrite) -> float:
    """Return the time before which a write must be acknowledged for a read to include it."""
    if read.database == "db_primary":
        return read.began_at
    own = read.database == "db_read_your_writes" and read.session == write.session
    return math.inf if own and write.at < read.began_at else read.began_at - MAX_STALENESS


def value_number(value: str) -> int:
    """Return the number in a written value, or -1 if there is none."""
    found = re.match(r"c[0-9]+-([0-9]+)", value)
    return int(found[1]) if found else -1


def _arguments(text: str) -> str:
    """Return a statement without its prepared statement's name, which the proxy may change."""
    return re.sub(r"^EXECUTE \S+", "EXECUTE", text)


def _orders(orders: abc.Iterable[tuple]) -> abc.Iterator[str]:
    holders: dict[tuple[str, int], str] = {}
    for group, _, holder, token in orders:
        first = holders.setdefault((group, token), holder)
        if first != holder:
            yield f"ONE: {first} and {holder} ordered a failover with fencing token {token}"
