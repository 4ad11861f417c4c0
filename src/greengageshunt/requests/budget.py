"""Retry budget of a client account in a group, and the decision to try again."""

import dataclasses
import random

from greengageshunt import application, errors

SHARE_OF_SUCCESSES = 0.1
TOKENS_PER_SECOND = 1.0

# Tokens held at most, so that a long quiet time does not allow a storm of retries.
CAPACITY = 10.0

BASE_DELAY = 0.02  # seconds
MAXIMUM_DELAY = 0.5  # seconds

# Seconds between tries that reach no target, while a group changes its primary.
HOLD_DELAY = 0.05

# Refusals of requests that reached no target. Trying them again costs the target
# nothing and ends with the change of the primary or of the owner.
HELD = frozenset(
    {
        "check_expired",
        "group_unknown",
        "no_connection",
        "no_grant",
        "owner_changed",
        "not_primary",
        "owner_leaving",
        "peer_link_down",
        "position_not_reached",
        "target_draining",
        "term_changed",
    }
)

# Refusals of requests that may succeed elsewhere or later.
RETRIED = frozenset({"conflict", "owner_unreachable", "target_lost"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Budget:
    """State of a retry budget.

    Attributes:
        tokens: Retries that are allowed at ``updated_at``.
        updated_at: Monotonic seconds.
    """

    tokens: float
    updated_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryDecision:
    """Whether a request is tried again.

    Attributes:
        again: Whether to try again.
        delay: Seconds to wait before.
        budget: Budget afterwards.
        reason: Reason for the log line.
    """

    again: bool
    delay: float
    budget: Budget
    reason: str


def new_budget(now: float) -> Budget:
    """Return the budget of an account that has not been seen yet."""
    return Budget(tokens=TOKENS_PER_SECOND, updated_at=now)


def refill(budget: Budget, now: float) -> Budget:
    """Return the budget at a later time."""
    earned = max(0.0, now - budget.updated_at) * TOKENS_PER_SECOND
    tokens = min(CAPACITY, budget.tokens + earned)
    return Budget(tokens=tokens, updated_at=max(now, budget.updated_at))


def credit(budget: Budget, now: float) -> Budget:
    """Return the budget after a success."""
    filled = refill(budget, now)
    tokens = min(CAPACITY, filled.tokens + SHARE_OF_SUCCESSES)
    return dataclasses.replace(filled, tokens=tokens)


def backoff(attempt: int, jitter: float) -> float:
    """Return the seconds before a retry.

    Args:
        attempt: Number of tries so far, from 1.
        jitter: Number from 0 up to 1, by which callers that failed together spread.
    """
    return min(MAXIMUM_DELAY, BASE_DELAY * 2 ** min(attempt, 10)) * (0.5 + jitter / 2)


def decide(
    refusal: errors.Refusal,
    budget: Budget,
    *,
    attempt: int,
    deadline: float,
    now: float,
    jitter: float,
    settles: bool = False,
) -> RetryDecision:
    """Decide whether a refused request is tried again.

    Args:
        refusal: Refusal of the last try.
        budget: Budget of the client account in the group.
        attempt: Number of tries so far, from 1.
        deadline: Monotonic seconds up to which tries make sense.
        now: Monotonic seconds.
        jitter: Number from 0 up to 1.
        settles: Whether the try settles an uncertain write for the first time. It
            costs the target as much as the refusal that would have to be stored
            instead, so it is not charged.
    """
    budget = refill(budget, now)
    held = refusal.code in HELD and refusal.outcome is errors.Outcome.NOT_RUN
    delay = HOLD_DELAY * (0.5 + jitter) if held else backoff(attempt, jitter)

    def stop(reason: str) -> RetryDecision:
        return RetryDecision(again=False, delay=0.0, budget=budget, reason=reason)

    if refusal.outcome is not errors.Outcome.UNKNOWN and refusal.code not in HELD | RETRIED:
        return stop("final")
    if now + delay >= deadline:
        return stop("deadline")
    if held:
        return RetryDecision(again=True, delay=delay, budget=budget, reason="held")
    if settles:
        return RetryDecision(again=True, delay=delay, budget=budget, reason="settlement")
    if budget.tokens < 1.0:
        return stop("retry budget is used up")
    spent = dataclasses.replace(budget, tokens=budget.tokens - 1.0)
    return RetryDecision(again=True, delay=delay, budget=spent, reason="retry")


class RetryBudgets:
    """Budgets of this entry VM, by client account and group."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._random = random.Random()
        self._budgets: dict[tuple[str, str], Budget] = {}

    def credit(self, account: str, group: str) -> None:
        """Record a success."""
        now = self._app.clock()
        self._budgets[(account, group)] = credit(self._budget(account, group, now), now)

    def decide(
        self,
        refusal: errors.Refusal,
        account: str,
        group: str,
        *,
        attempt: int,
        deadline: float,
        settles: bool,
    ) -> RetryDecision:
        """Decide on a retry and charge the budget for it."""
        now = self._app.clock()
        decided = decide(
            refusal,
            self._budget(account, group, now),
            attempt=attempt,
            deadline=deadline,
            now=now,
            jitter=self._random.random(),
            settles=settles,
        )
        self._budgets[(account, group)] = decided.budget
        return decided

    def _budget(self, account: str, group: str, now: float) -> Budget:
        return self._budgets.get((account, group)) or new_budget(now)


def setup(app: application.Application) -> None:
    """Register the retry budgets."""
    app.add_part("requests", "budgets", lambda app: RetryBudgets(app=app))
