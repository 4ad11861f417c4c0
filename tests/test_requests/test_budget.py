"""Retry budget and the decision to retry."""

import hypothesis
from hypothesis import stateful, strategies

from greengageshunt import errors
from greengageshunt.requests import budget

TOLERANCE = 1e-6
CODES = ("target_lost", "owner_unreachable", "conflict", "grant_expired", "statement_rejected")


def _refusal(code, outcome=errors.Outcome.NOT_RUN):
    return errors.Refusal(code=code, message="", outcome=outcome, step="test")


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Random successes and failures at random times."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.started = self.now
        self.budget = budget.new_budget(self.now)
        self.successes = 0
        self.retries = 0

    @stateful.rule(seconds=strategies.floats(0.0, 30.0))
    def wait(self, seconds):
        """Advance the clock."""
        self.now += seconds

    @stateful.rule(count=strategies.integers(1, 50))
    def succeed(self, count):
        """Credit the budget with successful requests."""
        for _ in range(count):
            self.budget = budget.credit(self.budget, self.now)
        self.successes += count

    @stateful.rule(
        code=strategies.sampled_from(CODES),
        outcome=strategies.sampled_from((errors.Outcome.NOT_RUN, errors.Outcome.UNKNOWN)),
        attempt=strategies.integers(1, 20),
        remaining=strategies.floats(-1.0, 5.0),
        jitter=strategies.floats(0.0, 0.99),
    )
    def fail(self, code, outcome, attempt, remaining, jitter):
        """Decide on a retry of a refused request."""
        deadline = self.now + remaining
        decided = budget.decide(
            _refusal(code, outcome),
            self.budget,
            attempt=attempt,
            deadline=deadline,
            now=self.now,
            jitter=jitter,
        )
        self.budget = decided.budget
        if not decided.again:
            return
        self.retries += 1
        assert self.now + decided.delay < deadline
        assert 0 < decided.delay <= budget.MAXIMUM_BACKOFF
        assert code != "statement_rejected" or outcome is errors.Outcome.UNKNOWN

    @stateful.invariant()
    def stays_within_the_budget(self):
        """Guards against a retry storm: at most 1 retry a second and 1 per 10 successes."""
        earned = 1.0 + (self.now - self.started) + 0.1 * self.successes
        assert self.retries <= earned + TOLERANCE
        assert -TOLERANCE <= self.budget.tokens <= budget.MAXIMUM_TOKENS


BudgetMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=30
)
TestBudget = BudgetMachine.TestCase


def test_settlement_is_not_charged():
    """Guards against a stored refusal where a retry would cost the target no more."""
    empty = budget.Budget(tokens=0.0, updated_at=10.0)
    lost = _refusal("owner_unreachable", errors.Outcome.UNKNOWN)
    arguments = {"attempt": 1, "deadline": 20.0, "now": 10.0, "jitter": 0.5}
    assert budget.decide(lost, empty, settles=True, **arguments).again
    assert not budget.decide(lost, empty, settles=False, **arguments).again


@hypothesis.given(strategies.sampled_from(sorted(budget.HELD_CODES)), strategies.floats(0.0, 0.99))
@hypothesis.settings(derandomize=True, deadline=None)
def test_held_requests_cost_nothing(code, jitter):
    """Guards against refusing writes during a change of primary because the budget is empty."""
    empty = budget.Budget(tokens=0.0, updated_at=10.0)
    decided = budget.decide(
        _refusal(code), empty, attempt=30, deadline=20.0, now=10.0, jitter=jitter
    )
    assert decided.again
    assert decided.budget == empty
