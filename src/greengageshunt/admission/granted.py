"""Admission policy with a reserve on each entry VM and grants from a few holders.

A fixed part of each limit is divided evenly among the registered entry VMs. The rest is
divided among a few holders, which rendezvous hashing of the account names; an entry VM that
runs short asks them for tokens. Where entry VMs are so many that an even part would be less
than a token, there is no reserve, and one hub of each failure domain holds a part. Both parts
follow from the registered names alone, so the sum never exceeds the limit, whoever is cut
off, and a restarted process serves at once.
``docs/decisions/0012-grants.md`` contains the argument.
"""

import asyncio
import dataclasses
import itertools
import logging
import math
from collections import abc

from greengageshunt import application, errors, logs, model
from greengageshunt.admission import allowance, bucket, decision
from greengageshunt.coordination import lease, records, view
from greengageshunt.membership import ownership, topology
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

# Part of a limit that is divided among all entry VMs.
RESERVE = 0.4

# Entry VMs that share the rest; one of them may fail without refusals at usual load.
HOLDERS = 3

# Seconds after which granted tokens that were not spent are lost.
GRANT_PERIOD = 1.5

# Seconds after which a token that was given back is lost.
GIVEN_BACK_PERIOD = 1.0

# Seconds of its demand for which an entry VM asks for tokens.
LOOK_AHEAD = 0.5

# Tokens that one request asks for at most.
LARGEST_GRANT = 40.0

# Seconds to wait for a holder's answer.
GRANT_TIMEOUT = 0.15

# Seconds after an empty answer during which a holder is not asked again.
EMPTY_PERIOD = 0.1

# Seconds for which a holder that did not answer is not asked while others do, for any account.
# Each request would else wait for the timeouts of all holders behind a partition.
SILENT_PERIOD = 0.5

# Seconds for which a request waits for the next token of the reserve.
REFILL_WAIT = 0.05

# Seconds for which demand is averaged.
DEMAND_PERIOD = 1.0

# Seconds after a change of the registered names until a new holder grants. A holder that
# missed the change grants no longer than its confirmation lasts.
HANDOVER = lease.LEASE + lease.DRIFT + GRANT_PERIOD


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantRequest:
    """Asks a holder for tokens of an account."""

    account: str
    tokens: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """Answer to ``GrantRequest``.

    Attributes:
        tokens: Tokens that the asking entry VM may spend.
        reason: Why these and not more.
    """

    tokens: float
    reason: str


messages.register(GrantRequest, Grant)
messages.register(Grant)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Names:
    """Registered names, and when this process first saw them.

    Attributes:
        names: Names of entry VMs, sorted.
        hubs: Hubs by failure domain, or empty if each entry VM may be a holder.
        seen_at: Monotonic seconds; negative infinity for those found at the start.
        version: Version of the store that held them.
        shrunk: Whether a possible holder of before is none any more.
    """

    names: tuple[str, ...]
    seen_at: float
    version: int
    shrunk: bool = False
    hubs: tuple[tuple[str, ...], ...] = ()

    @property
    def granting(self) -> frozenset[str]:
        """Names that may be holders."""
        return frozenset(itertools.chain.from_iterable(self.hubs or (self.names,)))


def holders_of(account: str, known: Names) -> tuple[str, ...]:
    """Return the holders of an account among registered names."""

    def rank(names: abc.Iterable[str]) -> list[str]:
        return sorted(names, key=lambda name: ownership.score(account, name), reverse=True)

    if known.hubs:
        return tuple(rank(local)[0] for local in known.hubs)
    return tuple(rank(known.names)[:HOLDERS])


def reserve_part(known: Names) -> float:
    """Return the part of a limit that all entry VMs divide among themselves."""
    return 0.0 if known.hubs else RESERVE


def may_grant(
    account: str, vm: str, known: abc.Sequence[Names], common_version: int, now: float
) -> bool:
    """Return whether an entry VM holds an account, and no earlier holder may still grant.

    Args:
        account: The account.
        vm: The entry VM.
        known: Registered names, newest first.
        common_version: Version of the store that all registered entry VMs have seen.
        now: Monotonic seconds.
    """
    for item in known:
        if vm not in holders_of(account, item):
            return False
        # Who is no possible holder any more may not know it, and may still grant.
        all_know = item.version <= common_version and not item.shrunk
        if all_know or now - item.seen_at >= HANDOVER:
            return True
    return bool(known)


def granted(asked: float, available: float) -> float:
    """Return the tokens that a holder gives; when few are left, it keeps some for others."""
    return max(0.0, min(asked, LARGEST_GRANT, max(1.0, available / 2), math.floor(available)))


class _Demand:
    """Requests a second of one account, averaged."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._at = -math.inf

    def count(self, now: float) -> None:
        self._weight = self._weight * math.exp((self._at - now) / DEMAND_PERIOD) + 1.0
        self._at = now

    def rate(self, now: float) -> float:
        return self._weight * math.exp((self._at - now) / DEMAND_PERIOD) / DEMAND_PERIOD


class TokenGrants:
    """Spends the own reserve and granted tokens; holds part of some accounts."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._links = app.part("peers", "links")
        self._members = app.part("membership", "view")
        self._view: view.StoreView = app.part("coordination", "view")
        self._watch = app.part("coordination", "watch")
        self._started_at = app.clock()
        self._known: tuple[Names, ...] = ()
        self._reserves: dict[str, bucket.Bucket] = {}
        self._held: dict[str, bucket.Bucket] = {}
        self._tokens: dict[str, tuple[float, float]] = {}
        self._demands: dict[str, _Demand] = {}
        self._empty_until: dict[tuple[str, str], float] = {}
        self._silent_until: dict[str, float] = {}
        self._asking: dict[str, asyncio.Task[bool]] = {}
        self._accounts: dict[str, model.ClientAccount] = {}
        self._turns = itertools.count()
        self._refilling: set[str] = set()
        self._reasons: dict[str, str] = {}
        app.events.connect("control-changed", self._note_names)
        app.events.connect("configuration-changed", self._adopt)
        app.part("peers", "server").add_handler(GrantRequest, self._answer)

    async def run(self) -> None:
        """Do nothing until cancelled; requests start what is needed."""
        try:
            await asyncio.Event().wait()
        finally:
            for task in self._asking.values():
                task.cancel()

    async def admit(
        self, account: model.ClientAccount, deadline: float
    ) -> decision.AdmissionDecision:
        """Decide whether one request of a client account may run.

        Args:
            account: The client account.
            deadline: Monotonic seconds after which the caller no longer waits.
        """
        name = account.name
        now = self._app.clock()
        demand = self._demands.setdefault(name, _Demand())
        demand.count(now)
        while True:
            if self._spend(name, now):
                return decision.AdmissionDecision(admitted=True, reason="within the limit")
            if now >= deadline or not await self._ask_holders(name):
                break
            now = self._app.clock()
        if await self._spend_refill(name, deadline):
            return decision.AdmissionDecision(admitted=True, reason="within the refill")
        return decision.AdmissionDecision(
            admitted=False,
            reason=f"above the reserve; grants: {self._reasons.get(name, 'none asked')}",
            retry_after=self._retry_after(name, self._app.clock()),
        )

    def give_back(self, account: str) -> None:
        """Take back the token of a request that no target ran.

        Without this, requests that wait for a primary in vain use up the limit, and
        their retries are refused.
        """
        now = self._app.clock()
        tokens, until = self._tokens.get(account, (0.0, 0.0))
        kept = tokens if now < until else 0.0
        self._tokens[account] = (
            min(kept + 1.0, LARGEST_GRANT),
            max(until, now + GIVEN_BACK_PERIOD),
        )

    def _spend(self, account: str, now: float) -> bool:
        tokens, until = self._tokens.get(account, (0.0, 0.0))
        if tokens >= 1.0 and now < until:
            self._tokens[account] = (tokens - 1.0, until)
            return True
        reserve = self._reserve(account, now)
        if reserve is None:
            return False
        self._reserves[account], spent = bucket.take(reserve, 1.0, now)
        return spent

    async def _spend_refill(self, account: str, deadline: float) -> bool:
        """Wait for the next token of the reserve if it comes soon; return whether it was spent.

        One request of an account waits at a time, so that an account above its rate
        does not fill the entry VM with waiting requests.
        """
        now = self._app.clock()
        delay = self._retry_after(account, now)
        if account in self._refilling or delay > REFILL_WAIT or now + delay > deadline:
            return False
        self._refilling.add(account)
        try:
            await asyncio.sleep(delay)
        finally:
            self._refilling.discard(account)
        return self._spend(account, self._app.clock())

    async def _ask_holders(self, account: str) -> bool:
        """Wait for one round of requests to the holders; return whether tokens came."""
        task = self._asking.get(account)
        if task is None or task.done():
            task = asyncio.create_task(self._ask_round(account), name=f"grants of {account}")
            self._asking[account] = task
        return await asyncio.shield(task)

    async def _ask_round(self, account: str) -> bool:
        now = self._app.clock()
        wanted = max(1.0, math.ceil(self._demands[account].rate(now) * LOOK_AHEAD))
        order = self._ask_order(account)
        silent = {holder for holder in order if now < self._silent_until.get(holder, now)}
        if len(silent) == len(order):
            # All of them may be starting, after a loss of all processes.
            silent = set()
        reasons = []
        for holder in order:
            now = self._app.clock()
            if now < self._empty_until.get((account, holder), now):
                reasons.append(f"{holder} was empty")
                continue
            if holder in silent:
                reasons.append(f"{holder} did not answer")
                continue
            grant = await self._request(account, holder, wanted)
            if grant.tokens >= 1.0:
                self._tokens[account] = (grant.tokens, now + GRANT_PERIOD)
                return True
            reasons.append(f"{holder} {grant.reason}")
            self._empty_until[(account, holder)] = self._app.clock() + EMPTY_PERIOD
        self._reasons[account] = ", ".join(reasons)
        return False

    def _ask_order(self, account: str) -> tuple[str, ...]:
        """Return the holders in the order in which they are asked; each is first in turn.

        Where each failure domain has one, the own one goes first.
        """
        if not self._known:
            return ()
        holders = holders_of(account, self._known[0])
        turn = next(self._turns) % len(holders)
        ordered = (*holders[turn:], *holders[:turn])
        if not self._known[0].hubs:
            return ordered
        domain = self._members.me.failure_domain
        return tuple(sorted(ordered, key=lambda vm: self._domain_of(vm) != domain))

    def _domain_of(self, vm: str) -> str:
        member = self._members.member(vm)
        return member.failure_domain if member else ""

    async def _request(self, account: str, holder: str, wanted: float) -> Grant:
        request = GrantRequest(account=account, tokens=wanted)
        if holder == self._members.me.vm:
            return self._give(request)
        try:
            return await self._links.request(holder, request, GRANT_TIMEOUT)
        except errors.PeerError as error:
            self._silent_until[holder] = self._app.clock() + SILENT_PERIOD
            return Grant(tokens=0.0, reason=str(error))
        except errors.RefusedError as error:
            return Grant(tokens=0.0, reason=str(error))

    async def _answer(self, message: GrantRequest, received_at: float) -> Grant:
        return self._give(message)

    def _give(self, request: GrantRequest) -> Grant:
        now = self._app.clock()
        me = self._members.me.vm
        account = self._accounts.get(request.account)
        if account is None:
            return Grant(tokens=0.0, reason="unknown account")
        if now >= self._view.copy(records.Section.CONTROL).as_of + lease.LEASE:
            return Grant(tokens=0.0, reason="the registered names are not confirmed")
        if not may_grant(request.account, me, self._known, self._common_version(), now):
            return Grant(tokens=0.0, reason="not a holder")
        newest = self._known[0]
        part = (1.0 - reserve_part(newest)) / len(holders_of(request.account, newest))
        held = self._sized(self._held.get(request.account), account, part, now)
        tokens = granted(request.tokens, held.tokens)
        self._held[request.account] = dataclasses.replace(held, tokens=held.tokens - tokens)
        return Grant(tokens=tokens, reason="granted" if tokens else "no tokens left")

    def _common_version(self) -> int:
        """Return the version of the control table that all possible holders have seen."""
        me = self._members.me.vm
        own = self._view.copy(records.Section.CONTROL).version
        seen = self._watch.reported_versions
        names = self._known[0].granting if self._known else ()
        return min((seen.get(vm, 0) for vm in names if vm != me), default=own)

    def _reserve(self, account: str, now: float) -> bucket.Bucket | None:
        limits = self._accounts.get(account)
        if limits is None or not self._known:
            return None
        part = reserve_part(self._known[0]) / len(self._known[0].names)
        if not part:
            return None
        return self._sized(self._reserves.get(account), limits, part, now)

    def _sized(
        self,
        known: bucket.Bucket | None,
        account: model.ClientAccount,
        part: float,
        now: float,
    ) -> bucket.Bucket:
        """Return a bucket with part of an account's limit.

        A new one was empty when the process started or the holders changed.
        """
        rate, capacity = account.rate * part, max(1.0, account.burst * part)
        if known is None:
            empty_at = max(self._started_at, self._known[0].seen_at)
            known = bucket.Bucket(rate=rate, capacity=capacity, tokens=0.0, updated_at=empty_at)
        return bucket.resize(known, rate, capacity, now)

    def _retry_after(self, account: str, now: float) -> float:
        reserve = self._reserve(account, now)
        return min(1.0, bucket.time_until(reserve, 1.0, now)) if reserve else 1.0

    def _note_names(self, version: int) -> None:
        names = tuple(sorted(vm for vm, entry in self._view.members.items() if not entry.removed))
        if not names or (self._known and names == self._known[0].names):
            return
        now = self._app.clock()
        rows = self._view.copy(records.Section.CONTROL).rows
        members = (row for key, row in rows.items() if key.startswith(view.MEMBER_PREFIX))
        # Rows that peers passed on may be newer than the copy as a whole.
        version = max((row.version for row in members), default=version)
        seen_at = now if self._known else -math.inf
        recent = [item for item in self._known if now - item.seen_at < HANDOVER]
        # The first one that is older than the handover was in force during all of it.
        older = self._known[len(recent) : len(recent) + 1]
        newest = Names(names=names, hubs=self._hubs(names), seen_at=seen_at, version=version)
        if self._known and not self._known[0].granting <= newest.granting:
            newest = dataclasses.replace(newest, shrunk=True)
        self._known = (newest, *recent, *older)
        logs.log_decision(logger, "adopt-holders", names=names, version=version)

    def _hubs(self, names: abc.Iterable[str]) -> tuple[tuple[str, ...], ...]:
        members = tuple(view.member_of(self._view.members[vm]) for vm in names)
        hubs = topology.hubs(members)
        if len(hubs) == len(members):
            return ()
        local = topology.by_domain(hubs)
        return tuple(tuple(sorted(hub.vm for hub in local[name])) for name in sorted(local))

    def _adopt(self, configuration: model.Configuration) -> None:
        settings = self._app.settings
        widened = allowance.widen(
            configuration,
            tolerance=settings["limits.tolerance"],
            slack=settings["limits.slack"],
            window=settings["limits.window"],
        )
        self._accounts = {account.name: account for account in widened.accounts}


def setup(app: application.Application) -> None:
    """Register the policy."""
    for setting in allowance.SETTINGS:
        app.add_setting(setting)
    app.add_part("admission", "granted", lambda app: TokenGrants(app=app))
    app.add_part("service", "granted", lambda app: app.part("admission", "granted"))
