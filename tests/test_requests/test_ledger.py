"""Ledger with faults at each step of a write, over an in-memory target."""

import asyncio
import datetime
import decimal
import json
import math

import hypothesis
import pytest
from hypothesis import stateful, strategies

from greengageshunt import errors, model
from greengageshunt.requests import ledger
from support import ledger_target

STEPS = ("claim", "write", "store-answer", "commit", "rollback", "look-up")
FAULTS = strategies.dictionaries(
    strategies.sampled_from(STEPS), strategies.sampled_from(ledger_target.Fault), max_size=2
)
IDS = strategies.sampled_from(("a", "b"))


def _work(request_id, *, route="place", tag=None, action=model.Action.RUN):
    return model.Work(
        statement="INSERT",
        parameters={"tag": tag or request_id},
        write=True,
        account="account-1",
        request_id=request_id,
        term=1,
        route=route,
        action=action,
    )


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Runs and refuses requests in random order, with faults at random steps."""

    def __init__(self):
        super().__init__()
        self.target = ledger_target.FakeTarget()
        self.committed = set()
        self.refused = set()

    def _effects(self, request_id):
        return sum(1 for _, tag in self.target.effects if tag == request_id)

    def _attempt(self, operation, request_id, faults):
        connection = ledger_target.FakeConnection(target=self.target, faults=faults)
        attempt = ledger.CommitProgress()
        before = self._effects(request_id)
        try:
            answer = asyncio.run(operation(connection, _work(request_id), 0.0, attempt))
        except errors.TargetError:
            if not attempt.commit_sent:
                assert self._effects(request_id) == before
                assert connection not in self.target.late
                self.target.close(connection)
            return
        except errors.RefusedError as error:
            assert error.refusal.code == "request_unknown"
            return
        if answer.refused:
            assert self._effects(request_id) == 0
            self.refused.add(request_id)
        else:
            assert self._effects(request_id) == 1
            self.committed.add(request_id)

    @stateful.rule(request_id=IDS, faults=FAULTS)
    def run(self, request_id, faults):
        """Run a write."""
        self._attempt(ledger.run_write, request_id, faults)

    @stateful.rule(request_id=IDS, faults=FAULTS)
    def refuse(self, request_id, faults):
        """Store a refusal of a write."""
        self._attempt(ledger.store_refusal, request_id, faults)

    @stateful.rule()
    def deliver_late_commit(self):
        """Apply a commit that was sent on a connection which is lost by now."""
        if self.target.late:
            self.target.apply(self.target.late[0])

    @stateful.invariant()
    def outcomes_hold(self):
        """Guards against a second run, a lost write and a run after a stored refusal."""
        for request_id in ("a", "b"):
            assert self._effects(request_id) <= 1
        assert not self.committed & self.refused
        assert all(self._effects(request_id) == 1 for request_id in self.committed)
        assert all(self._effects(request_id) == 0 for request_id in self.refused)


LedgerMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=20
)
TestLedger = LedgerMachine.TestCase


async def _run(target, work, value=1):
    connection = ledger_target.FakeConnection(target=target, faults={})
    connection.value = value
    return await ledger.run_write(connection, work, 0.0, ledger.CommitProgress())


@pytest.mark.parametrize(
    "value",
    [
        decimal.Decimal("12.50"),
        datetime.date(2026, 12, 4),
        b"\x00\xff",
        math.nan,
        math.inf,
        {"nested": object()},
    ],
)
async def test_answer_of_any_type_is_stored(value):
    """Guards against a committed write whose answer cannot be encoded."""
    target = ledger_target.FakeTarget()

    first = await _run(target, _work("a"), value)
    again = await _run(target, _work("a"), value)

    json.dumps(first.rows, allow_nan=False)
    assert again.rows == first.rows
    assert again.repeated


@pytest.mark.parametrize("change", [{"route": "other"}, {"tag": "other"}])
async def test_reused_id_is_refused(change):
    """Guards against returning the answer of another request that used the same id."""
    target = ledger_target.FakeTarget()
    await _run(target, _work("a"))

    with pytest.raises(errors.RefusedError) as caught:
        await _run(target, _work("a", **change))

    assert caught.value.refusal.code == "request_id_reused"
    assert caught.value.refusal.outcome is errors.Outcome.NOT_RUN
    assert target.effects == [("account-1", "a")]


async def test_rejection_of_the_status_does_not_hide_the_commit():
    """Guards against "not run" when the commit succeeded and only the status query failed."""
    target = ledger_target.FakeTarget()
    faults = {"commit": ledger_target.Fault.STATUS_REJECTED}
    connection = ledger_target.FakeConnection(target=target, faults=faults)

    answer = await ledger.run_write(connection, _work("a"), 0.0, ledger.CommitProgress())

    assert not answer.refused
    assert target.effects == [("account-1", "a")]
