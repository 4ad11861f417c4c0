"""Open-loop arrivals with a fixed seed."""

import dataclasses
import random

from greengageshunt import model
from greengageshunt.load import workload as workload_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request, before it is sent.

    Attributes:
        number: Number in order of arrival, from 0.
        at: Seconds from the start of the run at which the caller wants to send it.
        account: Client account.
        session: Number of the account's session.
        route: Name of the route.
        kind: Whether the route reads or writes.
        staleness: Seconds by which a read may lag.
        group: Name of the route's group.
        vm: Number of the entry VM to which the balancer sends it.
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
    """What the arrivals of a run are drawn from.

    Attributes:
        seed: Seed of the random numbers.
        duration: Seconds.
        offered: Part of its rate that each client account offers.
        greedy: Name of the account that offers more, or an empty string.
        greedy_factor: Multiple of its rate that the greedy account offers.
        balance: ``pinned`` sends all requests of an account to one entry VM,
            ``spread`` sends each request to any.
    """

    seed: int
    duration: float
    offered: float = 0.6
    greedy: str = ""
    greedy_factor: float = 5.0
    balance: str = "pinned"


def in_peak(workload: workload_module.Workload, at: float) -> bool:
    """Return whether a time lies in a peak of the workload."""
    return at % workload.peak_period < workload.peak_length


def _peak_weights(workload: workload_module.Workload) -> tuple[float, float]:
    """Return the factors in and outside of peaks, whose mean over time is 1."""
    part = workload.peak_length / workload.peak_period
    outside = 1.0 / (1.0 - part + part * workload.peak_factor)
    return workload.peak_factor * outside, outside


def _times(
    workload: workload_module.Workload, rate: float, duration: float, generator: random.Random
) -> list[float]:
    """Draw Poisson arrivals by thinning those of the highest rate."""
    peak, outside = _peak_weights(workload)
    highest = rate * max(peak, outside)
    times = []
    at = generator.expovariate(highest)
    while at < duration:
        wanted = rate * (peak if in_peak(workload, at) else outside)
        if generator.random() * highest < wanted:
            times.append(at)
        at += generator.expovariate(highest)
    return times


def generate(workload: workload_module.Workload, plan: Plan) -> tuple[Arrival, ...]:
    """Return the arrivals of a run, in order of time."""
    drawn = []
    weights = [mixed.part for mixed in workload.routes]
    vms = workload.profile.vms
    for number, account in enumerate(workload_module.accounts()):
        # One generator for each account, so that a change of one keeps the others.
        generator = random.Random(f"{plan.seed}/{account.name}")
        factor = plan.greedy_factor if account.name == plan.greedy else plan.offered
        for at in _times(workload, account.rate * factor, plan.duration, generator):
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
