"""Tests that sessions read their own writes despite replica lag, stale statuses and promotions."""

import asyncio

import hypothesis
from hypothesis import stateful, strategies
from returns import pipeline

from greengageshunt import errors, model
from greengageshunt.requests import ledger
from greengageshunt.routing import decision, history, position
from greengageshunt.sessions import token
from support import ledger_target

SECRET = "5e" * 32
NAMES = ("a", "b", "c")


class Log:
    """Log of one target: the term of each entry."""

    def __init__(self):
        self.terms = []

    @property
    def history(self):
        """Start of each term."""
        starts = []
        for offset, term in enumerate(self.terms, start=1):
            if not starts or starts[-1].term != term:
                starts.append(model.TermStart(term=term, first_offset=offset))
        return tuple(starts)

    def status(self, name):
        """Return the status that a target with this log reports."""
        return model.TargetStatus(
            target=name,
            term=self.terms[-1] if self.terms else 0,
            promoter="",
            role=model.Role.REPLICA,
            offset=len(self.terms),
            history=self.history,
            observed_at=0.0,
        )


class LogConnection:
    """Connection whose reads return the current status of a log."""

    def __init__(self, name, log):
        self.target = None
        self._name = name
        self._log = log

    async def run_after_status(self, step, sql, parameters, now):
        """Return the current status of the log and no rows."""
        self.target = _target(self._name)
        return self._log.status(self._name), ledger_target.Rows()


def _target(name):
    return model.Target(
        name=name,
        failure_domain="klang",
        address="",
        replication_address="",
        connection_limit=15,
        slots=2,
    )


class SessionMachine(stateful.RuleBasedStateMachine):
    """One session on three targets, of which the proxy has stale statuses.

    Guards against a read that succeeds on a target whose log lacks a write of the session.
    """

    def __init__(self):
        super().__init__()
        self.logs = {name: Log() for name in NAMES}
        self.primary, self.term = "a", 1
        self.logs["a"].terms.append(1)
        self.token_text = ""
        self.written = []
        self.observe()

    @stateful.rule()
    def observe(self):
        """Refresh the record and the statuses that the proxy has."""
        self.statuses = tuple(self.logs[name].status(name) for name in NAMES)
        self.record = model.GroupRecord(
            group="g",
            term=self.term,
            primary=self.primary,
            targets=tuple(_target(name) for name in NAMES),
            history=self.logs[self.primary].history,
        )

    @stateful.rule(name=strategies.sampled_from(NAMES), count=strategies.integers(1, 3))
    def copy(self, name, count):
        """Truncate a replica's log where it differs, and copy some entries to it."""
        self.copy_to(name, count)

    @stateful.rule()
    def copy_all(self):
        """Copy all entries to all replicas."""
        for name in NAMES:
            self.copy_to(name, len(self.logs[self.primary].terms))

    def copy_to(self, name, count):
        """Truncate a replica's log where it differs, and copy at most ``count`` entries to it."""
        source, log = self.logs[self.primary].terms, self.logs[name]
        if name == self.primary:
            return
        common = 0
        while common < min(len(source), len(log.terms)) and source[common] == log.terms[common]:
            common += 1
        log.terms = log.terms[:common] + source[common : common + count]

    @stateful.precondition(lambda self: len(self.logs[self.primary].terms) >= 3)
    @stateful.rule(name=strategies.sampled_from(NAMES))
    def promote(self, name):
        """Promote any target, which may drop entries that it lacks."""
        self.term += 1
        self.primary = name
        self.logs[name].terms.append(self.term)

    @stateful.rule()
    def write(self):
        """Commit a write of the session at the primary, if the proxy has the current record."""
        if (self.record.term, self.record.primary) != (self.term, self.primary):
            return
        session = token.decode(self.token_text, "account-1", SECRET).unwrap()
        seen = session.positions.get("g")
        if seen is not None and history.is_lost(seen, self.record.history):
            return
        log = self.logs[self.primary]
        log.terms.append(self.term)
        written_at = model.Position(term=self.term, offset=len(log.terms))
        self.written.append(written_at)
        self.token_text = token.encode(token.merge(session, "g", written_at), SECRET)

    @stateful.rule(staleness=strategies.sampled_from((0.0, 5.0)))
    def read(self, staleness):
        """Route and run a read; check that its target has all writes of the session."""
        session = token.decode(self.token_text, "account-1", SECRET).unwrap()
        seen = session.positions.get("g")
        route = model.Route(
            name="r", group="g", kind=model.RouteKind.READ, statement="", staleness=staleness
        )
        inputs = decision.RoutingInput(
            route=route,
            record=self.record,
            statuses=self.statuses,
            position=seen,
            max_lags=dict.fromkeys(NAMES, 0.0),
            expected_waits={},
            live_targets=frozenset(NAMES),
            in_transaction=False,
        )
        chosen = position.choose(inputs, 0.0)
        if not pipeline.is_successful(chosen):
            if chosen.failure().code == "term_changed":
                # The proxy holds the read until it has the record of the term that the session saw.
                assert seen.term > self.record.term
                return
            assert chosen.failure().code == "position_lost"
            # After this error, the caller starts a new session.
            self.token_text, self.written = "", []
            return
        name = chosen.unwrap().target
        work = model.Work(statement="", parameters={}, write=False, account="account-1", after=seen)
        connection = LogConnection(name, self.logs[name])
        try:
            answer = asyncio.run(ledger.run_read(connection, work, 0.0))
        except errors.RefusedError as error:
            assert error.refusal.code == "position_not_reached"
            return
        for written_at in self.written:
            terms = self.logs[name].terms
            assert (
                len(terms) >= written_at.offset and terms[written_at.offset - 1] == written_at.term
            )
        self.token_text = token.encode(token.merge(session, "g", answer.position), SECRET)


SessionMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestSession = SessionMachine.TestCase
