"""Computes the measures of a run from its trace.

The main measures are the part of reads that replicas answer, the longest time
without an acknowledged write, the service of the worst-served client account,
and the rate refusals of accounts that stayed within their rate limit.
"""

import bisect
import collections
import dataclasses
import statistics
from collections import abc

from greengageshunt import model
from greengageshunt.load import traces
from greengageshunt.load import workload as workload_module

# Codes of requests that a proxy refused because the account exceeded its rate limit.
_RATE_LIMIT_CODES = frozenset({"rate_exceeded"})

# A trace records when each request was due, not when a proxy decided on it. So a
# refusal counts as wrong only if the token bucket holds the tokens of this time
# beyond the one that the request needs. A lower value counts correct refusals as
# wrong; a higher one misses wrong refusals.
DECISION_JITTER = 0.05  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class Gap:
    """A period in which writes to a group waited and none was acknowledged.

    Attributes:
        group: Name of the group.
        start: Start of the gap, in seconds from the start of the run.
        seconds: Length of the gap in seconds.
    """

    group: str
    start: float
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteAttempt:
    """A write as its caller saw it.

    Attributes:
        arrived_at: Seconds from the start of the run at which the write was due.
        answered_at: Seconds from the start of the run at which the caller received the answer.
        acknowledged: Whether the answer reports a committed write.
    """

    arrived_at: float
    answered_at: float
    acknowledged: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class AccountService:
    """Service that one client account received.

    Attributes:
        account: The client account.
        offered: Number of requests that the account sent.
        within: Requests that one central token bucket would admit: the account's demand.
        admitted: Requests that were not refused for the rate limit.
        served: Requests with code ``ok``.
        fair_share: Max-min fair share, in requests, of the capacity of the run, which is
            the sum of ``served`` and ``refused_within`` over all accounts.
        refused_within: Requests refused for the rate limit although the account had tokens.
        overshoot: Requests served above rate * time + burst in the worst time window.
    """

    account: str
    offered: int
    within: int
    admitted: int
    served: int
    fair_share: float
    refused_within: int
    overshoot: float

    @property
    def service(self) -> float:
        """Ratio of served requests to the fair share; 1 if the fair share is 0."""
        return self.served / self.fair_share if self.fair_share else 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measures:
    """Measures of one run.

    Attributes:
        requests: Number of requests.
        codes: Number of requests by code.
        reads: Reads with code ``ok``.
        replica_reads: Reads with code ``ok`` that a replica answered.
        stale_reads: Reads with code ``ok`` on routes that allow staleness.
        replica_stale_reads: Reads among ``stale_reads`` that a replica answered.
        gap: Longest write gap of any group.
        accounts: Service of each client account.
        read_latency: Median and 99th percentile latency of reads with code ``ok``, in seconds.
        write_latency: Median and 99th percentile latency of acknowledged writes, in seconds.
        own_writes_missing: Reads that did not return all acknowledged writes of their session.
        sent_late: Median and 99th percentile of the delay that the load tool itself added
            before it sent a request, in seconds.
    """

    requests: int
    codes: dict[str, int]
    reads: int
    replica_reads: int
    stale_reads: int
    replica_stale_reads: int
    gap: Gap
    accounts: tuple[AccountService, ...]
    read_latency: tuple[float, float]
    write_latency: tuple[float, float]
    own_writes_missing: int
    sent_late: tuple[float, float]

    @property
    def worst(self) -> AccountService:
        """The account with the lowest ratio of served requests to its fair share."""
        return min(self.accounts, key=lambda account: account.service)

    @property
    def refused_within(self) -> int:
        """Requests within their account's rate limit that were refused for exceeding it."""
        return sum(account.refused_within for account in self.accounts)

    @property
    def within(self) -> int:
        """Requests that were admitted, or refused although they were within the rate limit."""
        return sum(account.admitted + account.refused_within for account in self.accounts)

    @property
    def overshoot(self) -> float:
        """Highest overshoot of any account, in requests."""
        return max(account.overshoot for account in self.accounts)


def max_min_shares(
    capacity: float, demands: abc.Mapping[str, float], weights: abc.Mapping[str, float]
) -> dict[str, float]:
    """Divide a capacity max-min fairly by weight.

    No account gets more than its demand. Capacity that an account does not need
    goes to the others in proportion to their weights.

    Args:
        capacity: Capacity to divide, in the unit of the demands.
        demands: Demand by account name.
        weights: Weight by account name, each above 0.
    """
    shares = dict.fromkeys(demands, 0.0)
    remaining = capacity
    total_weight = sum(weights[name] for name in demands)
    for name in sorted(demands, key=lambda name: demands[name] / weights[name]):
        if total_weight <= 0:
            break
        share = min(demands[name], remaining * weights[name] / total_weight)
        shares[name] = share
        remaining -= share
        total_weight -= weights[name]
    return shares


def within_rate(times: abc.Iterable[float], rate: float, burst: float) -> list[bool]:
    """Return for each request whether one central token bucket admits it.

    The bucket is full at the start of the run.

    Args:
        times: Times of the requests in ascending order, in seconds from the start of the run.
        rate: Refill rate of the bucket in tokens per second.
        burst: Capacity of the bucket in tokens.
    """
    tokens, updated_at = burst, 0.0
    verdicts = []
    for at in times:
        tokens = min(burst, tokens + (at - updated_at) * rate)
        updated_at = at
        verdicts.append(tokens >= 1.0)
        if verdicts[-1]:
            tokens -= 1.0
    return verdicts


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateDecision:
    """Decision of an admission policy on one request.

    Attributes:
        at: Seconds from the start of the run at which the request was due.
        admitted: Whether the request was not refused for the rate limit.
    """

    at: float
    admitted: bool


def wrong_refusals(
    decisions: abc.Iterable[RateDecision],
    rate: float,
    burst: float,
    jitter: float = DECISION_JITTER,
) -> int:
    """Return the number of rate refusals at which the account still had tokens.

    One token bucket for all entry VMs, full at the start of the run, is charged
    for each admitted request and for each wrongly refused one. So the result does
    not depend on which requests of an account above its rate are admitted, and no
    token is counted twice.

    Args:
        decisions: Decisions in order of time.
        rate: Refill rate of the bucket in tokens per second.
        burst: Capacity of the bucket in tokens.
        jitter: Seconds by which the times of the decisions may be wrong.
    """
    tokens, updated_at, wrong = burst, 0.0, 0
    for decision in decisions:
        tokens = min(burst, tokens + (decision.at - updated_at) * rate)
        updated_at = decision.at
        if decision.admitted:
            tokens -= 1.0
        elif tokens >= 1.0 + rate * jitter:
            wrong += 1
            tokens -= 1.0
    return wrong


def overshoot(times: abc.Iterable[float], rate: float, burst: float) -> float:
    """Return by how many events the worst time window exceeds rate * length + burst.

    Args:
        times: Times of the events in seconds, in ascending order.
        rate: Allowed events per second.
        burst: Events allowed in addition to the rate, in any window.

    Returns:
        Number of events, or 0 if no window exceeds the limit.
    """
    level, updated_at, highest = 0.0, 0.0, 0.0
    for at in times:
        level = max(0.0, level - (at - updated_at) * rate) + 1.0
        updated_at = at
        highest = max(highest, level)
    return max(0.0, highest - burst)


def longest_gap(group: str, attempts: abc.Iterable[WriteAttempt]) -> Gap:
    """Return the longest period in which writes waited and none was acknowledged.

    Periods without a pending write do not count. Otherwise a group with few
    writes would appear to be unavailable.

    Args:
        group: Name of the group, for the result.
        attempts: Writes to the group that were not refused for the rate limit.
    """
    by_arrival = sorted(attempts, key=lambda attempt: attempt.arrived_at)
    gap_ends = sorted(attempt.answered_at for attempt in by_arrival if attempt.acknowledged)
    if by_arrival:
        # A gap that no acknowledgement ends lasts until the last answer.
        gap_ends.append(max(attempt.answered_at for attempt in by_arrival))
    longest = Gap(group=group, start=0.0, seconds=0.0)
    previous_end, oldest = 0.0, 0
    for end in gap_ends:
        while oldest < len(by_arrival) and by_arrival[oldest].answered_at <= previous_end:
            oldest += 1
        if oldest < len(by_arrival):
            start = max(previous_end, by_arrival[oldest].arrived_at)
            if end - start > longest.seconds:
                longest = Gap(group=group, start=start, seconds=end - start)
        previous_end = end
    return longest


def _median_and_p99(values: abc.Sequence[float]) -> tuple[float, float]:
    if not values:
        return 0.0, 0.0
    ordered = sorted(values)
    rank = min(len(ordered) - 1, int(len(ordered) * 0.99))
    return statistics.median(ordered), ordered[rank]


def _primary_changes(trace: traces.Trace) -> dict[str, list[tuple[float, str]]]:
    """Return the primaries of each group, each with the time of its first known write.

    The target of an acknowledged write is the primary. Times are seconds from the
    start of the run, in ascending order.
    """
    changes = {group: [(0.0, target)] for group, target in trace.header.primaries.items()}
    for sample in sorted(trace.samples, key=lambda sample: sample.answered_at):
        written = sample.code == "ok" and sample.arrival.kind is model.RouteKind.WRITE
        if written and changes[sample.arrival.group][-1][1] != sample.target:
            changes[sample.arrival.group].append((sample.answered_at, sample.target))
    return changes


def _served_by_replica(sample: traces.Sample, changes: list[tuple[float, str]]) -> bool:
    index = bisect.bisect([at for at, _ in changes], sample.answered_at) - 1
    return sample.target != changes[max(index, 0)][1]


def _write_attempt(sample: traces.Sample) -> WriteAttempt:
    return WriteAttempt(
        arrived_at=sample.arrival.at,
        answered_at=sample.answered_at,
        acknowledged=sample.code == "ok",
    )


def account_services(trace: traces.Trace) -> tuple[AccountService, ...]:
    """Return the service that each client account received."""
    accounts = {account.name: account for account in workload_module.accounts()}
    samples: dict[str, list[traces.Sample]] = {name: [] for name in accounts}
    for sample in trace.samples:
        samples[sample.arrival.account].append(sample)
    conforming = {
        name: within_rate(
            [sample.arrival.at for sample in samples[name]], account.rate, account.burst
        )
        for name, account in accounts.items()
    }
    served = {name: [s for s in samples[name] if s.code == "ok"] for name in accounts}
    admitted = {name: [s.code not in _RATE_LIMIT_CODES for s in samples[name]] for name in accounts}
    refused_within = {
        name: wrong_refusals(
            [
                RateDecision(at=sample.arrival.at, admitted=not_rate_limited)
                for sample, not_rate_limited in zip(samples[name], admitted[name], strict=True)
            ],
            account.rate,
            account.burst,
        )
        for name, account in accounts.items()
    }
    # Requests that were refused within the rate limit count as capacity too.
    # Otherwise a policy that wrongly refuses all accounts alike would look fair.
    capacity = sum(len(served[name]) + refused_within[name] for name in accounts)
    shares = max_min_shares(
        capacity,
        {name: sum(conforming[name]) for name in accounts},
        {name: account.weight for name, account in accounts.items()},
    )
    return tuple(
        AccountService(
            account=name,
            offered=len(samples[name]),
            within=sum(conforming[name]),
            admitted=sum(admitted[name]),
            served=len(served[name]),
            fair_share=shares[name],
            refused_within=refused_within[name],
            overshoot=overshoot(
                [sample.arrival.at for sample in served[name]], account.rate, account.burst
            ),
        )
        for name, account in accounts.items()
    )


def measure(trace: traces.Trace) -> Measures:
    """Return the measures of a trace."""
    answered = [sample for sample in trace.samples if sample.code == "ok"]
    reads = [sample for sample in answered if sample.arrival.kind is model.RouteKind.READ]
    writes = [sample for sample in answered if sample.arrival.kind is model.RouteKind.WRITE]
    changes = _primary_changes(trace)
    by_replicas = [
        sample for sample in reads if _served_by_replica(sample, changes[sample.arrival.group])
    ]
    attempts: dict[str, list[WriteAttempt]] = {group: [] for group in trace.header.primaries}
    for sample in trace.samples:
        if sample.arrival.kind is model.RouteKind.WRITE and sample.code not in _RATE_LIMIT_CODES:
            attempts[sample.arrival.group].append(_write_attempt(sample))
    gaps = [longest_gap(group, writes_of_group) for group, writes_of_group in attempts.items()]
    return Measures(
        requests=len(trace.samples),
        codes=dict(collections.Counter(sample.code for sample in trace.samples)),
        reads=len(reads),
        replica_reads=len(by_replicas),
        stale_reads=sum(sample.arrival.staleness > 0 for sample in reads),
        replica_stale_reads=sum(sample.arrival.staleness > 0 for sample in by_replicas),
        gap=max(gaps, key=lambda gap: gap.seconds),
        accounts=account_services(trace),
        read_latency=_median_and_p99([sample.latency for sample in reads]),
        write_latency=_median_and_p99([sample.latency for sample in writes]),
        own_writes_missing=sum(sample.own_writes_missing for sample in trace.samples),
        sent_late=_median_and_p99([sample.sent_late for sample in trace.samples]),
    )
