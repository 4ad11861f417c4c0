"""Reserves and token grants keep the limit over all entry VMs, also during network faults."""

import dataclasses
import math
import random

import pytest

from greengageshunt import application, config, errors, model
from greengageshunt.admission import grant_parts, granted
from greengageshunt.coordination import records, view

ACCOUNT = model.ClientAccount(name="one", weight=1.0, rate=20.0, burst=20.0)
WINDOW = 5.0  # seconds


class Clock:
    """Clock whose monotonic seconds the test sets."""

    def __init__(self) -> None:
        self.now = 100.0


class Network:
    """Delivers requests between the policies of one fleet, except for isolated entry VMs."""

    def __init__(self) -> None:
        self.handlers: dict[str, object] = {}
        self.isolated: set[str] = set()
        self.receivers: list[str] = []

    async def request(self, sender: str, vm: str, message: object) -> object:
        """Return the response of a peer."""
        self.receivers.append(vm)
        if vm not in self.handlers or {sender, vm} & self.isolated:
            raise errors.PeerError("isolated", step="request", peer=vm, sent=False)
        return await self.handlers[vm](message, 0.0)


class _Peers:
    """Peer server and links of one entry VM."""

    def __init__(self, *, network: Network, vm: str) -> None:
        self._network, self._vm = network, vm

    def add_handler(self, kind: type, handler: object) -> None:
        self._network.handlers[self._vm] = handler

    async def request(self, vm: str, message: object, timeout: float) -> object:
        return await self._network.request(self._vm, vm, message)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _MemberView:
    me: model.Member

    def member(self, vm: str) -> model.Member:
        """Return a member of this name; every name exists."""
        return _member(vm)


def _member(vm: str) -> model.Member:
    return model.Member(vm=vm, failure_domain=_domain(vm), peer_address="127.0.0.1:1")


class _Copies:
    def __init__(self) -> None:
        self.reported_positions: dict[str, tuple[int, int]] = {}


def _domain(vm: str) -> str:
    """Return the failure domain in a name such as ``b/vm-1``, by default ``a``."""
    return vm.partition("/")[0] if "/" in vm else "a"


def _row(vm: str, version: int) -> records.ControlRow:
    entry = records.MemberEntry(
        vm=vm, failure_domain=_domain(vm), peer_address="127.0.0.1:1", incarnation="x"
    )
    return records.ControlRow(key=f"members/{vm}", version=version, value=view.codec.to_json(entry))


def _policy(
    vm: str,
    vms: tuple[str, ...],
    clock: Clock,
    network: Network,
    account: model.ClientAccount = ACCOUNT,
    **limits: float,
):
    app = application.Application(name=vm, clock=lambda: clock.now)
    app.add_event("configuration-changed")
    view.setup(app)
    peers = _Peers(network=network, vm=vm)
    app.add_part("peers", "server", lambda app: peers)
    app.add_part("peers", "links", lambda app: peers)
    app.add_part("membership", "view", lambda app: _MemberView(me=_member(vm)))
    app.add_part("coordination", "copies", lambda app: _Copies())
    granted.setup(app)
    values = {"limits.tolerance": 0.0, "limits.slack": 0.0, "limits.window": WINDOW, **limits}
    app.configure(config.Settings(values=values, source="test"))
    policy = app.part("admission", "granted")
    app.events.emit(
        "configuration-changed",
        model.Configuration(version=1, accounts=(account,), keys=(), routes=(), token_secret=""),
    )
    _apply_names(app, vms, clock, 1)
    return app, policy


def _apply_names(app, vms: tuple[str, ...], clock: Clock, version: int) -> None:
    rows = tuple(_row(vm, version) for vm in vms)
    changes = records.Changes(
        is_snapshot=True, rows=rows, removed=(), version=version, as_of=clock.now
    )
    app.part("coordination", "view").apply(records.Section.CONTROL, changes, "test")


async def _admit(policy: granted.TokenGrants, clock: Clock) -> bool:
    # The deadline allows requests to the holders, but no wait for the next token.
    decided = await policy.admit(ACCOUNT, clock.now + 1e-6)
    return decided.admitted


def _largest_window(times: list[float]) -> int:
    return max((sum(start <= at < start + WINDOW for at in times) for start in times), default=0)


@pytest.mark.parametrize("seed", range(12))
async def test_limit_holds_in_every_window(seed):
    """Guards against exceeding the limit in total after network cuts, restarts or uneven load."""
    rng = random.Random(seed)
    clock, network = Clock(), Network()
    vms = tuple(f"vm-{index}" for index in range(8))
    fleet = {vm: _policy(vm, vms, clock, network) for vm in vms}
    times: list[float] = []
    for step in range(2000):
        clock.now += rng.expovariate(150.0)
        if rng.random() < 0.003:
            network.isolated = set(rng.sample(vms, rng.randrange(4)))
        if rng.random() < 0.003:
            for vm in rng.sample(vms, rng.choice((1, 8))):
                fleet[vm] = _policy(vm, vms, clock, network)
        for vm, (app, _) in fleet.items():
            if step % 50 == 0 and vm not in network.isolated:
                _apply_names(app, vms, clock, 1)
        vm = rng.choice(vms[: rng.choice((1, 3, 8))])
        if await _admit(fleet[vm][1], clock):
            times.append(clock.now)
    assert _largest_window(times) <= ACCOUNT.rate * WINDOW + ACCOUNT.burst


MANY = tuple(f"{domain}/vm-{index}" for domain in "abcd" for index in range(15))


@pytest.mark.parametrize("seed", range(6))
async def test_limit_holds_over_many_entry_vms(seed):
    """Guards against a reserve of one token on each of 60 entry VMs, in total above the limit."""
    rng = random.Random(seed)
    clock, network = Clock(), Network()
    fleet = {vm: _policy(vm, MANY, clock, network) for vm in MANY}
    times: list[float] = []
    for step in range(1500):
        clock.now += rng.expovariate(150.0)
        if rng.random() < 0.003:
            network.isolated = {vm for vm in MANY if _domain(vm) == rng.choice("abcde")}
        if rng.random() < 0.003:
            for vm in rng.sample(MANY, rng.choice((1, 20, 60))):
                fleet[vm] = _policy(vm, MANY, clock, network)
        if step % 50 == 0:
            for vm, (app, _) in fleet.items():
                if vm not in network.isolated:
                    _apply_names(app, MANY, clock, 1)
        if await _admit(fleet[rng.choice(MANY)][1], clock):
            times.append(clock.now)
    assert _largest_window(times) <= ACCOUNT.rate * WINDOW + ACCOUNT.burst


SIXTEEN = tuple(f"vm-{index}" for index in range(16))


@pytest.mark.parametrize(
    ("vms", "rate", "burst", "tolerance", "slack"),
    [
        (SIXTEEN, 2.0, 2.0, 0.1, 20.0),
        (SIXTEEN, 2.0, 2.0, 0.0, 0.0),
        (SIXTEEN, 20.0, 2.0, 0.0, 0.0),
        (SIXTEEN[:8], 1.0, 1.0, 0.0, 0.0),
        (SIXTEEN, 7.0, 5.0, 0.0, 0.0),
        (SIXTEEN[:8], 0.2, 0.5, 0.0, 0.0),
        (MANY, 0.3, 1.0, 0.0, 0.0),
    ],
)
async def test_small_limit_holds_over_all_entry_vms(vms, rate, burst, tolerance, slack):
    """Guards against buckets of one token each that together are above a small limit.

    With 16 entry VMs, a rate of 2 and a burst of 2, 22 requests ran where 12 are allowed.
    """
    clock, network = Clock(), Network()
    account = dataclasses.replace(ACCOUNT, rate=rate, burst=burst)
    limits = {"limits.tolerance": tolerance, "limits.slack": slack}
    fleet = {vm: _policy(vm, vms, clock, network, account, **limits) for vm in vms}
    clock.now += 60.0
    times: list[float] = []
    for step in range(250):
        if step % 8 == 0:
            for app, _ in fleet.values():
                _apply_names(app, vms, clock, 1)
        for _, policy in fleet.values():
            while await _admit(policy, clock):
                times.append(clock.now)
        clock.now += 0.12
    limit = rate * WINDOW + burst
    assert _largest_window(times) <= limit * (1.0 + tolerance) + slack
    assert len(times) >= 0.5 * 30.0 * rate


async def test_many_entry_vms_together_can_use_nearly_all_of_an_account():
    """Guards against rejections within the rate when callers are spread over many entry VMs."""
    clock, network = Clock(), Network()
    fleet = {vm: _policy(vm, MANY, clock, network) for vm in MANY}
    clock.now += 2.0
    rng = random.Random(1)
    served, asked = 0, int(5 * 0.6 * ACCOUNT.rate)
    for _ in range(asked):
        clock.now += 1 / (0.6 * ACCOUNT.rate)
        for app, _ in fleet.values():
            _apply_names(app, MANY, clock, 1)
        served += await _admit(fleet[rng.choice(MANY)][1], clock)
    assert served >= 0.98 * asked


async def test_holder_in_own_failure_domain_is_requested_first():
    """Guards against traffic between failure domains for each request."""
    clock, network = Clock(), Network()
    _, policy = _policy("b/vm-3", MANY, clock, network)
    for number in range(20):
        order = policy._request_order(f"account-{number}")
        assert [_domain(vm) for vm in order].index("b") == 0
        assert sorted(map(_domain, order)) == list("abcd")


async def test_one_entry_vm_can_use_nearly_all_of_an_account():
    """Guards against rejections within the rate when one entry VM has all callers."""
    clock, network = Clock(), Network()
    vms = tuple(f"vm-{index}" for index in range(8))
    fleet = {vm: _policy(vm, vms, clock, network) for vm in vms}
    clock.now += 2.0
    served = 0
    for _ in range(int(10 * 0.6 * ACCOUNT.rate)):
        clock.now += 1 / (0.6 * ACCOUNT.rate)
        for app, _ in fleet.values():
            _apply_names(app, vms, clock, 1)
        served += await _admit(fleet["vm-0"][1], clock)
    assert served >= 0.98 * int(10 * 0.6 * ACCOUNT.rate)


async def test_holder_without_confirmation_by_the_store_stops_granting():
    """Guards against grants by an entry VM that may no longer be a holder of the account."""
    clock, network = Clock(), Network()
    _, policy = _policy("vm-0", ("vm-0",), clock, network)
    clock.now += 5.0
    request = granted.GrantRequest(account="one", tokens=1.0)
    assert (await policy._handle_request(request, clock.now)).tokens == 1.0
    clock.now += 10.0
    assert (await policy._handle_request(request, clock.now)).tokens == 0.0


def test_new_holder_waits_until_all_have_read_the_names_or_the_handover_ends():
    """Guards against an old and a new holder that grant the same tokens."""
    before = grant_parts.RegisteredNames(
        names=("a", "b", "c", "d"), first_read_at=-math.inf, position=(1, 3)
    )
    after = grant_parts.RegisteredNames(
        names=("b", "c", "d", "e"), first_read_at=50.0, position=(1, 9)
    )
    account = next(
        name
        for name in (f"account-{number}" for number in range(100))
        if "a" in grant_parts.holders_of(name, before)
        and "e" in grant_parts.holders_of(name, after)
    )
    known = (after, before)
    assert not grant_parts.may_grant(account, "e", known, (1, 8), 51.0)
    assert grant_parts.may_grant(account, "e", known, (1, 9), 51.0)
    assert grant_parts.may_grant(account, "e", known, (1, 8), 50.01 + grant_parts.HOLDER_HANDOVER)
    after_removal = dataclasses.replace(after, drops_candidate=True)
    assert not grant_parts.may_grant(account, "e", (after_removal, before), (1, 9), 51.0)
    # Versions of before a restore of the store are given out again, in a higher era.
    assert grant_parts.may_grant(account, "e", known, (2, 3), 51.0)


async def test_token_of_a_request_that_was_not_executed_is_refunded():
    """Guards against requests that use up the limit by timing out while there is no primary."""
    clock, network = Clock(), Network()
    app, policy = _policy("vm-0", ("vm-0",), clock, network)
    clock.now += 5.0
    _apply_names(app, ("vm-0",), clock, 1)
    served = 0
    while await _admit(policy, clock):
        served += 1
    policy.refund("one")
    assert served and await _admit(policy, clock)
    assert not await _admit(policy, clock)


def test_holder_keeps_tokens_for_others_when_few_are_left():
    """Guards against a single grant that leaves no tokens for other entry VMs."""
    assert granted.grant_size(10.0, 40.0) == 10.0
    assert granted.grant_size(10.0, 8.0) == 4.0
    assert granted.grant_size(10.0, 1.5) == 1.0
    assert granted.grant_size(10.0, 0.5) == 0.0


async def test_admission_exceeds_the_limit_by_less_than_the_tolerance():
    """Guards against an unused tolerance and against more requests than it allows in a window."""
    clock, network = Clock(), Network()
    app, policy = _policy(
        "vm-0", ("vm-0",), clock, network, **{"limits.tolerance": 0.1, "limits.slack": 20.0}
    )
    clock.now += 5.0
    times = []
    for _ in range(3000):
        clock.now += 0.005
        _apply_names(app, ("vm-0",), clock, 1)
        if await _admit(policy, clock):
            times.append(clock.now)
    limit = ACCOUNT.rate * WINDOW + ACCOUNT.burst
    assert limit < _largest_window(times) <= 1.1 * limit + 20.0


def _non_holder(clock: Clock, network: Network) -> tuple[granted.TokenGrants, list[str]]:
    """Return the policy of an entry VM that is no holder, and the names of the holders."""
    vms = tuple(f"vm-{index}" for index in range(8))
    fleet = {vm: _policy(vm, vms, clock, network) for vm in vms}
    holders = grant_parts.holders_of(
        ACCOUNT.name, grant_parts.RegisteredNames(names=vms, first_read_at=0.0, position=(1, 1))
    )
    return next(fleet[vm][1] for vm in vms if vm not in holders), list(holders)


async def _exhaust_for(seconds: float, policy: granted.TokenGrants, clock: Clock) -> None:
    """Send requests for some seconds, faster than the holders' buckets refill."""
    until = clock.now + seconds
    while clock.now < until:
        clock.now += granted.EMPTY_HOLDER_BACKOFF * 1.1
        while await _admit(policy, clock):
            pass


async def test_unresponsive_holder_is_requested_again_only_after_the_backoff():
    """Guards against a wait of each request for the time-outs of holders behind a partition."""
    clock, network = Clock(), Network()
    policy, holders = _non_holder(clock, network)
    network.isolated = {holders[0]}
    await _exhaust_for(granted.UNRESPONSIVE_HOLDER_BACKOFF * 0.9, policy, clock)
    assert network.receivers.count(holders[0]) == 1
    assert network.receivers.count(holders[1]) > 1
    await _exhaust_for(granted.UNRESPONSIVE_HOLDER_BACKOFF, policy, clock)
    assert network.receivers.count(holders[0]) > 1


async def test_holders_are_requested_again_without_backoff_if_none_responded():
    """Guards against rejections for half a second after a restart of all processes."""
    clock, network = Clock(), Network()
    policy, holders = _non_holder(clock, network)
    network.isolated = set(holders)
    # Holders start without tokens; their buckets refill by a few tokens in this time.
    clock.now += 0.5
    await _exhaust_for(granted.EMPTY_HOLDER_BACKOFF, policy, clock)
    network.isolated = set()
    clock.now += granted.EMPTY_HOLDER_BACKOFF * 1.1
    assert await _admit(policy, clock)
