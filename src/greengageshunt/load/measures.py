"""The four measures of a run, and the checks of what callers saw."""

import bisect
import collections
import dataclasses
import statistics
from collections import abc

from greengageshunt import model
from greengageshunt.load import traces
from greengageshunt.load import workload as workload_module

# Refusals that say that an account is above its rate.
_RATE_CODES = frozenset({"rate_exceeded"})

# The tool knows when a request was wanted, not when a proxy decided on it. A
# refusal counts as wrong only if the account had tokens for this time to spare.
DECISION_JITTER = 0.05  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class Gap:
    """A time in which writes to a group waited and none was acknowledged.

    Attributes:
        group: The group.
        start: Seconds from the start of the run.
        seconds: Length.
    """

    group: str
    start: float
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteAttempt:
    """A write as its caller saw it.

    Attributes:
        arrived_at: Seconds from the start of the run at which it was wanted.
        answered_at: Seconds from the start at which the caller had an answer.
        acknowledged: Whether the answer was that of a committed write.
    """

    arrived_at: float
    answered_at: float
    acknowledged: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class AccountService:
    """Service that one client account received.

    Attributes:
        account: The client account.
        offered: Requests.
        within: Requests that one ideal bucket would admit: the account's demand.
        admitted: Requests that were not refused for the rate.
        served: Requests with an answer.
        fair_share: Max-min fair part of all answers and of refusals within the rate.
        refused_within: Refusals for the rate although the account had tokens.
        overshoot: Answers above rate * time + burst in the worst window.
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
        """Part of the fair share that was served."""
        return self.served / self.fair_share if self.fair_share else 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measures:
    """Measures of one run.

    Attributes:
        requests: Number of requests.
        codes: Requests by code.
        reads: Reads with an answer.
        replica_reads: Of these, reads that a replica answered.
        stale_reads: Reads with an answer on routes that allow staleness.
        replica_stale_reads: Of these, reads that a replica answered.
        gap: Longest gap in writes of any group.
        accounts: Service by account.
        read_latency: Median and 99th percentile of reads with an answer, in seconds.
        write_latency: Median and 99th percentile of acknowledged writes, in seconds.
        own_writes_missing: Reads that lacked own writes.
        sent_late: Median and 99th percentile of the tool's own delay, in seconds.
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
        """The account that received the least of its fair share."""
        return min(self.accounts, key=lambda account: account.service)

    @property
    def refused_within(self) -> int:
        """Requests within their account's rate that were refused for the rate."""
        return sum(account.refused_within for account in self.accounts)

    @property
    def within(self) -> int:
        """Requests within their account's rate, whether admitted or refused."""
        return sum(account.admitted + account.refused_within for account in self.accounts)

    @property
    def overshoot(self) -> float:
        """Worst overshoot of any account."""
        return max(account.overshoot for account in self.accounts)


def max_min_shares(
    capacity: float, demands: abc.Mapping[str, float], weights: abc.Mapping[str, float]
) -> dict[str, float]:
    """Divide a capacity max-min fairly by weight.

    Nobody gets more than its demand; what is left over goes to the others in
    proportion to their weights.

    Args:
        capacity: Amount to divide.
        demands: Demand by name.
        weights: Weight above 0 by name.
    """
    shares = dict.fromkeys(demands, 0.0)
    left = capacity
    total_weight = sum(weights[name] for name in demands)
    for name in sorted(demands, key=lambda name: demands[name] / weights[name]):
        if total_weight <= 0:
            break
        share = min(demands[name], left * weights[name] / total_weight)
        shares[name] = share
        left -= share
        total_weight -= weights[name]
    return shares


def within_rate(times: abc.Iterable[float], rate: float, burst: float) -> list[bool]:
    """Return for each request whether one central bucket, full at 0, admits it.

    Args:
        times: Seconds, in rising order.
        rate: Tokens a second.
        burst: Capacity.
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
class RateVerdict:
    """What an admission policy decided on one request.

    Attributes:
        at: Seconds from the start of the run.
        admitted: Whether it was not refused for its rate.
    """

    at: float
    admitted: bool


def wrong_refusals(
    verdicts: abc.Iterable[RateVerdict], rate: float, burst: float, jitter: float = DECISION_JITTER
) -> int:
    """Return the number of refusals for which the account still had tokens.

    One bucket for all entry VMs, full at 0, is charged with what was admitted and
    what should have been. So it does not matter which requests of an account
    above its rate are admitted, and each token counts once.

    Args:
        verdicts: Decisions in order of time.
        rate: Tokens a second.
        burst: Capacity.
        jitter: Seconds by which the times may be wrong.
    """
    tokens, updated_at, wrong = burst, 0.0, 0
    for verdict in verdicts:
        tokens = min(burst, tokens + (verdict.at - updated_at) * rate)
        updated_at = verdict.at
        if verdict.admitted:
            tokens -= 1.0
        elif tokens >= 1.0 + rate * jitter:
            wrong += 1
            tokens -= 1.0
    return wrong


def overshoot(times: abc.Iterable[float], rate: float, burst: float) -> float:
    """Return by how many events the worst window exceeds rate * time + burst.

    Args:
        times: Seconds of the events, in rising order.
        rate: Allowed events a second.
        burst: Allowed events beyond.

    Returns:
        Number of events, 0 if no window exceeds.
    """
    level, updated_at, highest = 0.0, 0.0, 0.0
    for at in times:
        level = max(0.0, level - (at - updated_at) * rate) + 1.0
        updated_at = at
        highest = max(highest, level)
    return max(0.0, highest - burst)


def longest_gap(group: str, attempts: abc.Iterable[WriteAttempt]) -> Gap:
    """Return the longest time in which writes waited and none was acknowledged.

    Times in which nobody wants to write do not count, so that a group with few
    writes does not seem to fail.

    Args:
        group: Name for the result.
        attempts: Writes that were not refused for their rate.
    """
    waiting = sorted(attempts, key=lambda attempt: attempt.arrived_at)
    edges = sorted(attempt.answered_at for attempt in waiting if attempt.acknowledged)
    if waiting:
        # What was never acknowledged counts until the last answer.
        edges.append(max(attempt.answered_at for attempt in waiting))
    longest = Gap(group=group, start=0.0, seconds=0.0)
    previous, oldest = 0.0, 0
    for edge in edges:
        while oldest < len(waiting) and waiting[oldest].answered_at <= previous:
            oldest += 1
        if oldest < len(waiting):
            start = max(previous, waiting[oldest].arrived_at)
            if edge - start > longest.seconds:
                longest = Gap(group=group, start=start, seconds=edge - start)
        previous = edge
    return longest


def _percentiles(values: abc.Sequence[float]) -> tuple[float, float]:
    if not values:
        return 0.0, 0.0
    ordered = sorted(values)
    rank = min(len(ordered) - 1, int(len(ordered) * 0.99))
    return statistics.median(ordered), ordered[rank]


def _primary_changes(trace: traces.Trace) -> dict[str, list[tuple[float, str]]]:
    """Return the primary of each group over time, as acknowledged writes show it."""
    changes = {group: [(0.0, target)] for group, target in trace.header.primaries.items()}
    for sample in sorted(trace.samples, key=lambda sample: sample.answered_at):
        written = sample.code == "ok" and sample.arrival.kind is model.RouteKind.WRITE
        if written and changes[sample.arrival.group][-1][1] != sample.target:
            changes[sample.arrival.group].append((sample.answered_at, sample.target))
    return changes


def _by_replica(sample: traces.Sample, changes: list[tuple[float, str]]) -> bool:
    index = bisect.bisect([at for at, _ in changes], sample.answered_at) - 1
    return sample.target != changes[max(index, 0)][1]


def _attempt(sample: traces.Sample) -> WriteAttempt:
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
    verdicts = {
        name: within_rate(
            [sample.arrival.at for sample in samples[name]], account.rate, account.burst
        )
        for name, account in accounts.items()
    }
    served = {name: [s for s in samples[name] if s.code == "ok"] for name in accounts}
    admitted = {name: [s.code not in _RATE_CODES for s in samples[name]] for name in accounts}
    refused_within = {
        name: wrong_refusals(
            [
                RateVerdict(at=sample.arrival.at, admitted=verdict)
                for sample, verdict in zip(samples[name], admitted[name], strict=True)
            ],
            account.rate,
            account.burst,
        )
        for name, account in accounts.items()
    }
    # Refusing a request within its rate does not use up capacity, so what was
    # refused so is divided too; else refusing everybody alike would look fair.
    capacity = sum(len(served[name]) + refused_within[name] for name in accounts)
    shares = max_min_shares(
        capacity,
        {name: sum(verdicts[name]) for name in accounts},
        {name: account.weight for name, account in accounts.items()},
    )
    return tuple(
        AccountService(
            account=name,
            offered=len(samples[name]),
            within=sum(verdicts[name]),
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
    replica = [sample for sample in reads if _by_replica(sample, changes[sample.arrival.group])]
    attempts: dict[str, list[WriteAttempt]] = {group: [] for group in trace.header.primaries}
    for sample in trace.samples:
        if sample.arrival.kind is model.RouteKind.WRITE and sample.code not in _RATE_CODES:
            attempts[sample.arrival.group].append(_attempt(sample))
    gaps = [longest_gap(group, found) for group, found in attempts.items()]
    return Measures(
        requests=len(trace.samples),
        codes=dict(collections.Counter(sample.code for sample in trace.samples)),
        reads=len(reads),
        replica_reads=len(replica),
        stale_reads=sum(sample.arrival.staleness > 0 for sample in reads),
        replica_stale_reads=sum(sample.arrival.staleness > 0 for sample in replica),
        gap=max(gaps, key=lambda gap: gap.seconds),
        accounts=account_services(trace),
        read_latency=_percentiles([sample.latency for sample in reads]),
        write_latency=_percentiles([sample.latency for sample in writes]),
        own_writes_missing=sum(sample.own_writes_missing for sample in trace.samples),
        sent_late=_percentiles([sample.sent_late for sample in trace.samples]),
    )
