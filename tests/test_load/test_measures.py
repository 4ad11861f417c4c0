"""Tests of the measures that the load tool computes from a trace."""

import math

import hypothesis
from hypothesis import strategies

from greengageshunt.load import measures

_names = strategies.sampled_from(["a", "b", "c", "d", "e"])
_amounts = strategies.floats(min_value=0.0, max_value=1000.0)
_weights = strategies.floats(min_value=0.1, max_value=10.0)
_accounts = strategies.dictionaries(_names, strategies.tuples(_amounts, _weights), min_size=1)
_times = strategies.lists(strategies.floats(min_value=0.0, max_value=20.0), max_size=60).map(sorted)


@hypothesis.given(capacity=_amounts, accounts=_accounts)
def test_max_min_shares_use_all_capacity_and_starve_no_account(capacity, accounts):
    """Guards against a division that is not max-min fair.

    An account below its demand must have the highest share per weight, and no
    capacity may stay unused while an account is below its demand.
    """
    demands = {name: demand for name, (demand, _) in accounts.items()}
    weights = {name: weight for name, (_, weight) in accounts.items()}
    shares = measures.max_min_shares(capacity, demands, weights)

    expected = min(capacity, sum(demands.values()))
    assert math.isclose(sum(shares.values()), expected, rel_tol=1e-6, abs_tol=1e-6)
    assert all(shares[name] <= demands[name] + 1e-6 for name in demands)
    level = max(shares[name] / weights[name] for name in shares)
    for name in shares:
        satisfied = shares[name] >= demands[name] - 1e-6
        assert satisfied or shares[name] / weights[name] >= level - 1e-6


@hypothesis.given(times=_times, rate=_weights, burst=strategies.floats(1.0, 10.0))
def test_admitted_within_rate_never_overshoots(times, rate, burst):
    """Guards against a report whose measures define the rate limit differently.

    Requests that ``within_rate`` admits must not count as overshoot.
    """
    within = measures.within_rate(times, rate, burst)
    admitted = [at for at, inside in zip(times, within, strict=True) if inside]
    assert measures.overshoot(admitted, rate, burst) <= 1e-6


@hypothesis.given(times=_times, rate=_weights, burst=strategies.floats(1.0, 10.0))
def test_central_bucket_has_no_wrong_refusals(times, rate, burst):
    """Guards against refusals that count as wrong although the bucket was empty."""
    admitted = measures.within_rate(times, rate, burst)
    decisions = [
        measures.RateDecision(at=at, admitted=inside)
        for at, inside in zip(times, admitted, strict=True)
    ]
    assert measures.wrong_refusals(decisions, rate, burst) == 0


def test_refusals_while_tokens_remain_are_wrong():
    """Guards against wrong refusals that are not counted.

    They occur when the rate is split between entry VMs and the part of one VM is
    used up before the account's whole rate is.
    """
    decisions = [measures.RateDecision(at=at / 10, admitted=at % 2 == 0) for at in range(100)]
    # 5 of 10 requests per second are admitted, which is below the rate of 20 per second.
    assert measures.wrong_refusals(decisions, rate=20.0, burst=20.0) == 50


@hypothesis.given(times=_times, rate=_weights, burst=strategies.floats(0.0, 10.0))
def test_overshoot_equals_that_of_the_worst_window(times, rate, burst):
    """Guards against windows whose overshoot the incremental computation misses."""
    windows = [
        last - first + 1 - rate * (times[last] - times[first]) - burst
        for first in range(len(times))
        for last in range(first, len(times))
    ]
    expected = max([0.0, *windows])
    assert math.isclose(measures.overshoot(times, rate, burst), expected, abs_tol=1e-6)


_attempts = strategies.lists(
    strategies.builds(
        lambda arrived, waited, acknowledged: measures.WriteAttempt(
            arrived_at=arrived, answered_at=arrived + waited, acknowledged=acknowledged
        ),
        strategies.integers(0, 50),
        strategies.integers(1, 20),
        strategies.booleans(),
    ),
    max_size=20,
)


@hypothesis.given(attempts=_attempts)
def test_gap_is_the_longest_stretch_with_waiting_writes_and_none_acknowledged(attempts):
    """Guards against gaps that end too early, or that include times without pending writes."""
    acknowledged_at = {attempt.answered_at for attempt in attempts if attempt.acknowledged}
    longest = current = 0
    # All times are whole seconds. A second belongs to a gap if a write has arrived
    # by then that had no answer yet at the last acknowledgement.
    for second in range(80):
        if second in acknowledged_at:
            current = 0
        gap_start = max([at for at in acknowledged_at if at <= second], default=0)
        open_since = [
            attempt.arrived_at
            for attempt in attempts
            if attempt.answered_at > gap_start and attempt.arrived_at <= second
        ]
        end = max((attempt.answered_at for attempt in attempts), default=0)
        if open_since and second < end:
            current += 1
        longest = max(longest, current)
    assert measures.longest_gap("g", attempts).seconds == longest


def test_gap_of_a_failover_starts_when_the_first_write_waits():
    """Guards against a failover gap that starts before the first write waits.

    The last acknowledgement is at 1.91 s, the first waiting write arrives at 2.0 s.
    """
    attempts = [
        measures.WriteAttempt(arrived_at=at / 10, answered_at=at / 10 + 0.01, acknowledged=True)
        for at in range(50)
        if not 20 <= at < 35
    ]
    held = measures.WriteAttempt(arrived_at=2.0, answered_at=3.505, acknowledged=True)
    gap = measures.longest_gap("g", [*attempts, held])
    assert gap.start == 2.0
    assert math.isclose(gap.seconds, 1.505)
