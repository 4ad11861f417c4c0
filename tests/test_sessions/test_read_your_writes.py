"""Sessions read their own writes across replicas, lag and promotions."""

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
    """Connection that answers reads with the present status of a log."""

    def __init__(self, name, log):
        self.target = None
        self._name = name
        self._log = log

    async def run_after_status(self, step, sql, parameters, now):
        """Return the status and no rows."""
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
    """One session over three targets; what the proxy knows of them is stale."""

    def __init__(self):
        super().__init__()
        self.logs = {name: Log() for name in NAMES}
        self.primary, self.term = "a", 1
        self.logs["a"].terms.append(1)
        self.text = ""
        self.written = []
        self.learn()

    @stateful.rule()
    def learn(self):
        """Refresh what the proxy knows."""
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
        """Let a replica copy entries, after cutting what differs."""
        self.copy_to(name, count)

    @stateful.rule()
    def copy_all(self):
        """Let all replicas catch up."""
        for name in NAMES:
            self.copy_to(name, len(self.logs[self.primary].terms))

    def copy_to(self, name, count):
        """Copy up to a number of entries to a replica."""
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
        """Make any target the primary, which may drop entries."""
        self.term += 1
        self.primary = name
        self.logs[name].terms.append(self.term)

    @stateful.rule()
    def write(self):
        """Commit a write of the session at the primary, if the proxy knows it."""
        if (self.record.term, self.record.primary) != (self.term, self.primary):
            return
        session = token.decode(self.text, "account-1", SECRET).unwrap()
        known = session.positions.get("g")
        if known is not None and history.is_lost(known, self.record.history):
            return
        log = self.logs[self.primary]
        log.terms.append(self.term)
        place = model.Position(term=self.term, offset=len(log.terms))
        self.written.append(place)
        self.text = token.encode(token.merge(session, "g", place), SECRET)

    @stateful.rule(staleness=strategies.sampled_from((0.0, 5.0)))
    def read(self, staleness):
        """Read through the policy and the ledger, and check what was read."""
        session = token.decode(self.text, "account-1", SECRET).unwrap()
        known = session.positions.get("g")
        route = model.Route(
            name="r", group="g", kind=model.RouteKind.READ, statement="", staleness=staleness
        )
        inputs = decision.RoutingInput(
            route=route,
            record=self.record,
            statuses=self.statuses,
            position=known,
            lags=dict.fromkeys(NAMES, 0.0),
            waits={},
            live_targets=frozenset(NAMES),
            in_transaction=False,
        )
        chosen = position.choose(inputs, 0.0)
        if not pipeline.is_successful(chosen):
            if chosen.failure().code == "term_changed":
                # Held until the proxy knows the term that the session has seen.
                assert known.term > self.record.term
                return
            assert chosen.failure().code == "position_lost"
            # The caller starts a new session.
            self.text, self.written = "", []
            return
        name = chosen.unwrap().target
        work = model.Work(
            statement="", parameters={}, write=False, account="account-1", after=known
        )
        connection = LogConnection(name, self.logs[name])
        try:
            answer = asyncio.run(ledger.read(connection, work, 0.0))
        except errors.RefusedError as error:
            assert error.refusal.code == "position_not_reached"
            return
        for place in self.written:
            terms = self.logs[name].terms
            assert len(terms) >= place.offset and terms[place.offset - 1] == place.term
        self.text = token.encode(token.merge(session, "g", answer.position), SECRET)


SessionMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestSession = SessionMachine.TestCase
