"""Retry budget of each client account in each group, and the decision to retry."""

import dataclasses
import random

from greengageshunt import application, errors

# The budget is a token bucket; one charged retry takes one token.
TOKENS_PER_SUCCESS = 0.1
TOKENS_PER_SECOND = 1.0

# Without this limit, an idle period would save up enough tokens for a retry storm.
MAXIMUM_TOKENS = 10.0

BASE_BACKOFF = 0.02  # seconds
MAXIMUM_BACKOFF = 0.5  # seconds

# Mean seconds between the attempts of a held request.
HELD_RETRY_DELAY = 0.05

# Codes of refusals before the request reached a target. The entry VM holds such a
# request: it retries without a charge, because the retries cost the target nothing
# and succeed once the primary or the owner has changed.
HELD_CODES = frozenset(
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
        "replica_behind",
        "target_draining",
        "term_changed",
    }
)

# Codes of refusals whose retry is charged: the request may succeed at another target
# or later.
CHARGED_CODES = frozenset({"conflict", "owner_unreachable", "target_lost"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Budget:
    """State of the retry budget of one client account in one group.

    Attributes:
        tokens: Charged retries that the account may make at ``updated_at``.
        updated_at: Monotonic seconds of the last refill.
    """

    tokens: float
    updated_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryDecision:
    """Whether and when a refused request is retried.

    Attributes:
        again: Whether to retry.
        delay: Seconds to wait before the retry.
        budget: Budget after the decision.
        reason: Reason for the log line.
    """

    again: bool
    delay: float
    budget: Budget
    reason: str


def new_budget(now: float) -> Budget:
    """Return the budget of an account before its first request to the group."""
    return Budget(tokens=TOKENS_PER_SECOND, updated_at=now)


def refill(budget: Budget, now: float) -> Budget:
    """Return the budget with the tokens earned from ``updated_at`` to ``now``."""
    earned = max(0.0, now - budget.updated_at) * TOKENS_PER_SECOND
    tokens = min(MAXIMUM_TOKENS, budget.tokens + earned)
    return Budget(tokens=tokens, updated_at=max(now, budget.updated_at))


def credit(budget: Budget, now: float) -> Budget:
    """Return the budget after a successful request, which earns part of a token."""
    filled = refill(budget, now)
    tokens = min(MAXIMUM_TOKENS, filled.tokens + TOKENS_PER_SUCCESS)
    return dataclasses.replace(filled, tokens=tokens)


def backoff(attempt: int, jitter: float) -> float:
    """Return the delay before a charged retry, in seconds; it doubles with each attempt.

    Args:
        attempt: Number of attempts so far, from 1.
        jitter: Random number from 0 up to 1. It spreads the retries of requests that
            failed at the same time.
    """
    return min(MAXIMUM_BACKOFF, BASE_BACKOFF * 2 ** min(attempt, 10)) * (0.5 + jitter / 2)


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
    """Decide whether a refused request is retried.

    Args:
        refusal: Refusal of the last attempt.
        budget: Budget of the client account in the group.
        attempt: Number of attempts so far, from 1.
        deadline: Monotonic seconds before which the retry must start.
        now: Present time in monotonic seconds.
        jitter: Random number from 0 up to 1.
        settles: Whether the retry is the first that settles a write of unknown outcome.
            It is not charged, because without it the proxy would have to store a
            refusal, which costs the target as much.
    """
    budget = refill(budget, now)
    held = refusal.code in HELD_CODES and refusal.outcome is errors.Outcome.NOT_RUN
    delay = HELD_RETRY_DELAY * (0.5 + jitter) if held else backoff(attempt, jitter)

    def stop(reason: str) -> RetryDecision:
        return RetryDecision(again=False, delay=0.0, budget=budget, reason=reason)

    if (
        refusal.outcome is not errors.Outcome.UNKNOWN
        and refusal.code not in HELD_CODES | CHARGED_CODES
    ):
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
    """Retry budgets at this entry VM, by client account and group."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._random = random.Random()
        self._budgets: dict[tuple[str, str], Budget] = {}

    def credit(self, account: str, group: str) -> None:
        """Add the tokens that a successful request earns."""
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
        """Decide on a retry and charge the account's budget; see ``decide``."""
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
