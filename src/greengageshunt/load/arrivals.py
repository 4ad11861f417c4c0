"""Generates the arrivals of an open-loop load from a seed."""

import dataclasses
import random

from greengageshunt import model
from greengageshunt.load import workload as workload_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that is planned and not yet sent.

    Attributes:
        number: Number in order of arrival, from 0.
        at: Seconds from the start of the run at which the request is due.
        account: Name of the client account.
        session: Number of the session among those of the client account, from 0.
        route: Name of the route.
        kind: Whether the route reads or writes.
        staleness: Replica lag in seconds that the route permits; 0 for none.
        group: Name of the group that serves the route.
        vm: Index of the entry VM, from 0, to which the load balancer sends the request first.
    """

    number: int
    at: float
    account: str
    session: int
    route: str
    kind: model.RouteKind
    staleness: float
    group: str
    vm: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Parameters from which the arrivals of a run are generated.

    Attributes:
        seed: Seed of the random numbers.
        duration: Length of the run in seconds.
        offered: Load of each client account as a fraction of its rate limit.
        greedy: Name of the client account that exceeds its rate limit, or an empty string.
        greedy_factor: Load of the greedy account as a multiple of its rate limit.
        balance: ``pinned`` sends all requests of a client account to the same entry VM,
            ``spread`` sends each request to a random one.
    """

    seed: int
    duration: float
    offered: float = 0.6
    greedy: str = ""
    greedy_factor: float = 5.0
    balance: str = "pinned"


def in_peak(workload: workload_module.Workload, at: float) -> bool:
    """Return whether a time, in seconds from the start of the run, lies in a load peak."""
    return at % workload.peak_period < workload.peak_length


def _peak_weights(workload: workload_module.Workload) -> tuple[float, float]:
    """Return the factors of the rate in and outside of peaks; their mean over time is 1."""
    peak_fraction = workload.peak_length / workload.peak_period
    outside = 1.0 / (1.0 - peak_fraction + peak_fraction * workload.peak_factor)
    return workload.peak_factor * outside, outside


def _arrival_times(
    workload: workload_module.Workload, rate: float, duration: float, generator: random.Random
) -> list[float]:
    """Return the times of Poisson arrivals whose rate follows the peaks of the workload.

    Generates arrivals at the highest rate and drops a random part of them where
    the rate is lower (thinning).

    Args:
        workload: Workload that defines the peaks.
        rate: Mean rate in requests per second.
        duration: Length of the run in seconds.
        generator: Source of random numbers.
    """
    peak, outside = _peak_weights(workload)
    highest_rate = rate * max(peak, outside)
    times = []
    at = generator.expovariate(highest_rate)
    while at < duration:
        current_rate = rate * (peak if in_peak(workload, at) else outside)
        if generator.random() * highest_rate < current_rate:
            times.append(at)
        at += generator.expovariate(highest_rate)
    return times


def generate(workload: workload_module.Workload, plan: Plan) -> tuple[Arrival, ...]:
    """Return the arrivals of a run, in order of time."""
    drawn = []
    weights = [mixed.part for mixed in workload.routes]
    vms = workload.profile.vms
    for number, account in enumerate(workload_module.accounts()):
        # Each account has its own generator, so that a change of one account's load
        # leaves the arrivals of the others unchanged.
        generator = random.Random(f"{plan.seed}/{account.name}")
        factor = plan.greedy_factor if account.name == plan.greedy else plan.offered
        for at in _arrival_times(workload, account.rate * factor, plan.duration, generator):
            (mixed,) = generator.choices(workload.routes, weights)
            session = generator.randrange(workload.sessions)
            spread = generator.randrange(vms)
            vm = number % vms if plan.balance == "pinned" else spread
            drawn.append((at, account.name, session, mixed, vm))
    drawn.sort(key=lambda entry: entry[:3])
    return tuple(
        Arrival(
            number=number,
            at=at,
            account=account,
            session=session,
            route=mixed.name,
            kind=mixed.kind,
            staleness=mixed.staleness,
            group=workload_module.group_name(workload, mixed.group),
            vm=vm,
        )
        for number, (at, account, session, mixed, vm) in enumerate(drawn)
    )
