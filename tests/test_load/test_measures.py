"""Measures of the load tool."""

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
def test_max_min_shares_use_the_capacity_and_starve_nobody(capacity, accounts):
    """Guards against a fair share that an account could raise at no poorer one's cost."""
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
    """Guards against two definitions of the rate in one report."""
    verdicts = measures.within_rate(times, rate, burst)
    admitted = [at for at, inside in zip(times, verdicts, strict=True) if inside]
    assert measures.overshoot(admitted, rate, burst) <= 1e-6


@hypothesis.given(times=_times, rate=_weights, burst=strategies.floats(1.0, 10.0))
def test_ideal_bucket_refuses_nothing_wrongly(times, rate, burst):
    """Guards against refusals that are called wrong although the rate was used up."""
    admitted = measures.within_rate(times, rate, burst)
    verdicts = [
        measures.RateVerdict(at=at, admitted=inside)
        for at, inside in zip(times, admitted, strict=True)
    ]
    assert measures.wrong_refusals(verdicts, rate, burst) == 0


def test_refusals_of_an_account_with_tokens_are_wrong():
    """Guards against a split of the rate whose refusals nobody counts."""
    verdicts = [measures.RateVerdict(at=at / 10, admitted=at % 2 == 0) for at in range(100)]
    # Half of 10 requests a second are admitted: 5 a second of a rate of 20.
    assert measures.wrong_refusals(verdicts, rate=20.0, burst=20.0) == 50


@hypothesis.given(times=_times, rate=_weights, burst=strategies.floats(0.0, 10.0))
def test_overshoot_is_that_of_the_worst_window(times, rate, burst):
    """Guards against an overshoot in a window that the running level misses."""
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
    """Guards against gaps that are cut short, or that count times without writes."""
    edges = {attempt.answered_at for attempt in attempts if attempt.acknowledged}
    longest = current = 0
    # On whole seconds, a second belongs to a gap if a write that is or was
    # answered later, or had arrived since the last acknowledgement, waits in it.
    for second in range(80):
        if second in edges:
            current = 0
        last_edge = max([edge for edge in edges if edge <= second], default=0)
        open_since = [
            attempt.arrived_at
            for attempt in attempts
            if attempt.answered_at > last_edge and attempt.arrived_at <= second
        ]
        end = max((attempt.answered_at for attempt in attempts), default=0)
        if open_since and second < end:
            current += 1
        longest = max(longest, current)
    assert measures.longest_gap("g", attempts).seconds == longest


def test_gap_of_a_failover_starts_at_the_last_acknowledgement():
    """Guards against gaps measured from the wrong end."""
    attempts = [
        measures.WriteAttempt(arrived_at=at / 10, answered_at=at / 10 + 0.01, acknowledged=True)
        for at in range(50)
        if not 20 <= at < 35
    ]
    held = measures.WriteAttempt(arrived_at=2.0, answered_at=3.505, acknowledged=True)
    gap = measures.longest_gap("g", [*attempts, held])
    assert gap.start == 2.0
    assert math.isclose(gap.seconds, 1.505)
