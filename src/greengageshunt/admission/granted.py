"""Admission policy with a reserve on each entry VM and token grants from a few holders.

A fixed fraction of each account's limit is divided evenly among the registered entry VMs as
their reserves. The rest is divided among a few holders, which rendezvous hashing selects for
each account; an entry VM whose reserve is used up requests tokens from them. Where there are
so many entry VMs that an even part would be less than a token, there is no reserve, and one
hub of each failure domain is a holder. An account whose limit is too small for these parts has
no reserve either, and fewer holders. Reserves and holders' parts depend only on the registered
names and the configuration. So their sum never exceeds the limit, whichever entry VMs are cut
off, and a restarted process admits requests at once.
``docs/decisions/0012-grants.md`` contains the argument.
"""

import asyncio
import dataclasses
import itertools
import logging
import math
from collections import abc

from greengageshunt import application, errors, logs, model
from greengageshunt.admission import allowance, bucket, decision, grant_parts
from greengageshunt.coordination import lease, records, view
from greengageshunt.membership import topology
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

# Seconds after which a refunded token expires if it is not spent.
REFUND_LIFETIME = 1.0

# Seconds of its own demand that an entry VM covers with one request for tokens.
DEMAND_HORIZON = 0.5

# Most tokens that a holder grants at once, and that an entry VM keeps after a refund.
MAX_GRANT = 40.0

# Seconds to wait for a holder's response.
GRANT_TIMEOUT = 0.15

# Seconds for which an entry VM sends a holder no request for an account after the holder
# granted no token of it.
EMPTY_HOLDER_BACKOFF = 0.1

# Seconds for which an entry VM sends a holder no requests, for any account, after the holder did
# not respond, while other holders do. Otherwise each request would wait for the time-outs of all
# holders behind a partition.
UNRESPONSIVE_HOLDER_BACKOFF = 0.5

# Longest time in seconds that a request waits for the next token of the reserve.
MAX_REFILL_WAIT = 0.05

# Time constant, in seconds, of the moving average of the demand.
DEMAND_TIME_CONSTANT = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantRequest:
    """Requests tokens of an account from a holder."""

    account: str
    tokens: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """Response to ``GrantRequest``.

    Attributes:
        tokens: Tokens that the requesting entry VM may spend.
        reason: Why the holder granted this number of tokens.
    """

    tokens: float
    reason: str


messages.register(GrantRequest, Grant)
messages.register(Grant)


def grant_size(requested: float, available: float) -> float:
    """Return the tokens that a holder grants.

    A grant takes at most half of the available tokens, so that some are left for other entry
    VMs, but at least one whole token if there is one.
    """
    return max(0.0, min(requested, MAX_GRANT, max(1.0, available / 2), math.floor(available)))


class _Demand:
    """Moving average of the requests a second of one account on this entry VM."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._at = -math.inf

    def count(self, now: float) -> None:
        self._weight = self._weight * math.exp((self._at - now) / DEMAND_TIME_CONSTANT) + 1.0
        self._at = now

    def rate(self, now: float) -> float:
        return (
            self._weight * math.exp((self._at - now) / DEMAND_TIME_CONSTANT) / DEMAND_TIME_CONSTANT
        )


class TokenGrants:
    """Spends the own reserve and granted tokens, and grants tokens as a holder of some accounts."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._links = app.part("peers", "links")
        self._members = app.part("membership", "view")
        self._view: view.StoreView = app.part("coordination", "view")
        self._copies = app.part("coordination", "copies")
        self._started_at = app.clock()
        self._name_history: tuple[grant_parts.RegisteredNames, ...] = ()
        self._reserves: dict[str, bucket.Bucket] = {}
        self._holder_buckets: dict[str, bucket.Bucket] = {}
        self._granted: dict[str, tuple[float, float]] = {}
        self._demands: dict[str, _Demand] = {}
        self._empty_until: dict[tuple[str, str], float] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._grant_tasks: dict[str, asyncio.Task[bool]] = {}
        self._accounts: dict[str, model.ClientAccount] = {}
        self._window = app.settings["limits.window"]
        self._rounds = itertools.count()
        self._awaiting_refill: set[str] = set()
        self._denial_reasons: dict[str, str] = {}
        app.events.connect("control-changed", self._update_names)
        app.events.connect("configuration-changed", self._apply_configuration)
        app.part("peers", "server").add_handler(GrantRequest, self._handle_request)

    async def run(self) -> None:
        """Wait until cancelled, then cancel the running rounds of grant requests.

        ``admit`` starts these rounds.
        """
        try:
            await asyncio.Event().wait()
        finally:
            for task in self._grant_tasks.values():
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
            if now >= deadline or not await self._obtain_grant(name):
                break
            now = self._app.clock()
        if await self._spend_refill(name, deadline):
            return decision.AdmissionDecision(admitted=True, reason="within the refill")
        return decision.AdmissionDecision(
            admitted=False,
            reason=f"above the reserve; grants: {self._denial_reasons.get(name, 'none asked')}",
            retry_after=self._retry_after(name, self._app.clock()),
        )

    def refund(self, account: str) -> None:
        """Refund the token of a request that no target executed.

        Without this, requests that time out while there is no primary use up the limit, and
        their retries are rejected.
        """
        now = self._app.clock()
        tokens, until = self._granted.get(account, (0.0, 0.0))
        unexpired = tokens if now < until else 0.0
        self._granted[account] = (
            min(unexpired + 1.0, MAX_GRANT),
            max(until, now + REFUND_LIFETIME),
        )

    def _spend(self, account: str, now: float) -> bool:
        """Spend a granted token, or else one of the reserve; return whether there was one."""
        tokens, until = self._granted.get(account, (0.0, 0.0))
        if tokens >= 1.0 and now < until:
            self._granted[account] = (tokens - 1.0, until)
            return True
        reserve = self._reserve(account, now)
        if reserve is None:
            return False
        self._reserves[account], spent = bucket.take(reserve, 1.0, now)
        return spent

    async def _spend_refill(self, account: str, deadline: float) -> bool:
        """Wait for the next token of the reserve if it is due soon; return whether it was spent.

        Only one request of an account waits at a time, so that an account above its rate
        does not accumulate waiting requests on the entry VM.
        """
        now = self._app.clock()
        delay = self._retry_after(account, now)
        if account in self._awaiting_refill or delay > MAX_REFILL_WAIT or now + delay > deadline:
            return False
        self._awaiting_refill.add(account)
        try:
            await asyncio.sleep(delay)
        finally:
            self._awaiting_refill.discard(account)
        return self._spend(account, self._app.clock())

    async def _obtain_grant(self, account: str) -> bool:
        """Wait for one round of grant requests to the holders; return whether one granted tokens.

        Concurrent requests of an account share one round.
        """
        task = self._grant_tasks.get(account)
        if task is None or task.done():
            task = asyncio.create_task(self._request_round(account), name=f"grants of {account}")
            self._grant_tasks[account] = task
        return await asyncio.shield(task)

    async def _request_round(self, account: str) -> bool:
        """Request tokens from one holder after another until one grants some."""
        now = self._app.clock()
        wanted = max(1.0, math.ceil(self._demands[account].rate(now) * DEMAND_HORIZON))
        order = self._request_order(account)
        unresponsive = {
            holder for holder in order if now < self._unresponsive_until.get(holder, now)
        }
        if len(unresponsive) == len(order):
            # All holders may just be restarting, after all processes failed.
            unresponsive = set()
        reasons = []
        for holder in order:
            now = self._app.clock()
            if now < self._empty_until.get((account, holder), now):
                reasons.append(f"{holder} was empty")
                continue
            if holder in unresponsive:
                reasons.append(f"{holder} did not answer")
                continue
            grant = await self._request_grant(account, holder, wanted)
            if grant.tokens >= 1.0:
                self._granted[account] = (grant.tokens, now + grant_parts.GRANT_LIFETIME)
                return True
            reasons.append(f"{holder} {grant.reason}")
            self._empty_until[(account, holder)] = self._app.clock() + EMPTY_HOLDER_BACKOFF
        self._denial_reasons[account] = ", ".join(reasons)
        return False

    def _request_order(self, account: str) -> tuple[str, ...]:
        """Return the holders in the order of the requests, which rotates with each round.

        Where each failure domain has a holder, that of the own failure domain is first.
        """
        if not self._name_history:
            return ()
        holders = grant_parts.holders_of(account, self._name_history[0], self._limit(account))
        first = next(self._rounds) % len(holders)
        ordered = (*holders[first:], *holders[:first])
        if not self._name_history[0].hubs:
            return ordered
        domain = self._members.me.failure_domain
        return tuple(sorted(ordered, key=lambda vm: self._domain_of(vm) != domain))

    def _domain_of(self, vm: str) -> str:
        member = self._members.member(vm)
        return member.failure_domain if member else ""

    async def _request_grant(self, account: str, holder: str, wanted: float) -> Grant:
        request = GrantRequest(account=account, tokens=wanted)
        if holder == self._members.me.vm:
            return self._grant(request)
        try:
            return await self._links.request(holder, request, GRANT_TIMEOUT)
        except errors.PeerError as error:
            self._unresponsive_until[holder] = self._app.clock() + UNRESPONSIVE_HOLDER_BACKOFF
            return Grant(tokens=0.0, reason=str(error))
        except errors.RefusedError as error:
            return Grant(tokens=0.0, reason=str(error))

    async def _handle_request(self, message: GrantRequest, received_at: float) -> Grant:
        return self._grant(message)

    def _grant(self, request: GrantRequest) -> Grant:
        """Grant tokens of the part of an account's limit that this entry VM holds."""
        now = self._app.clock()
        me = self._members.me.vm
        account = self._accounts.get(request.account)
        if account is None:
            return Grant(tokens=0.0, reason="unknown account")
        if now >= self._view.copy(records.Section.CONTROL).as_of + lease.LEASE_SECONDS:
            return Grant(tokens=0.0, reason="the registered names are not confirmed")
        limit = self._limit(request.account)
        common = self._common_position()
        if not grant_parts.may_grant(request.account, me, self._name_history, common, now, limit):
            return Grant(tokens=0.0, reason="not a holder")
        newest = self._name_history[0]
        holders = grant_parts.holders_of(request.account, newest, limit)
        part = (1.0 - grant_parts.reserve_fraction(newest, limit)) / len(holders)
        held = self._resized(self._holder_buckets.get(request.account), account, part, now)
        tokens = grant_size(request.tokens, held.tokens)
        self._holder_buckets[request.account] = dataclasses.replace(
            held, tokens=held.tokens - tokens
        )
        return Grant(tokens=tokens, reason="granted" if tokens else "no tokens left")

    def _common_position(self) -> tuple[int, int]:
        """Return the newest era and version of the control table that all holders have read."""
        me = self._members.me.vm
        own = self._view.copy(records.Section.CONTROL).position
        reported = self._copies.reported_positions
        names = self._name_history[0].candidates if self._name_history else ()
        return min((reported.get(vm, (0, 0)) for vm in names if vm != me), default=own)

    def _reserve(self, account: str, now: float) -> bucket.Bucket | None:
        """Return the own reserve of an account, or None if there is none."""
        limits = self._accounts.get(account)
        if limits is None or not self._name_history:
            return None
        newest = self._name_history[0]
        part = grant_parts.reserve_fraction(newest, self._limit(account)) / len(newest.names)
        if not part:
            return None
        return self._resized(self._reserves.get(account), limits, part, now)

    def _limit(self, account: str) -> float:
        """Return the requests that an account may send in one window."""
        limits = self._accounts.get(account)
        return limits.rate * self._window + limits.burst if limits else math.inf

    def _empty_absent_reserves(self) -> None:
        """Empty the reserves of accounts that have none now, so that none refills meanwhile."""
        now = self._app.clock()
        for account in self._accounts if self._name_history else ():
            if not grant_parts.reserve_fraction(self._name_history[0], self._limit(account)):
                self._reserves[account] = bucket.Bucket(
                    rate=0.0, capacity=0.0, tokens=0.0, updated_at=now
                )

    def _resized(
        self,
        current: bucket.Bucket | None,
        account: model.ClientAccount,
        part: float,
        now: float,
    ) -> bucket.Bucket:
        """Return a bucket, or a new one, resized to a part of an account's limit.

        A new bucket counts as empty at the start of the process or at the last change of the
        registered names, whichever is later.

        Args:
            current: The bucket so far, or None.
            account: The client account with its whole limit.
            part: Fraction of the limit, from 0 to 1.
            now: Monotonic seconds.
        """
        rate, capacity = grant_parts.part_of(account, part, self._window)
        if current is None:
            empty_at = max(self._started_at, self._name_history[0].first_read_at)
            current = bucket.Bucket(rate=rate, capacity=capacity, tokens=0.0, updated_at=empty_at)
        return bucket.resize(current, rate, capacity, now)

    def _retry_after(self, account: str, now: float) -> float:
        reserve = self._reserve(account, now)
        return min(1.0, bucket.time_until(reserve, 1.0, now)) if reserve else 1.0

    def _update_names(self, version: int) -> None:
        """Add changed names of the registered entry VMs to the history."""
        names = tuple(sorted(vm for vm, entry in self._view.members.items() if not entry.removed))
        if not names or (self._name_history and names == self._name_history[0].names):
            return
        now = self._app.clock()
        rows = self._view.copy(records.Section.CONTROL).rows
        members = (row for key, row in rows.items() if key.startswith(view.MEMBER_PREFIX))
        # Rows received from peers may be newer than the version of the copy as a whole.
        copied = self._view.copy(records.Section.CONTROL)
        position = max((row.position for row in members), default=copied.position)
        first_read_at = now if self._name_history else -math.inf
        recent = [
            earlier
            for earlier in self._name_history
            if now - earlier.first_read_at < grant_parts.HOLDER_HANDOVER
        ]
        # The names before these were in force at the start of the last ``HOLDER_HANDOVER`` seconds.
        older = self._name_history[len(recent) : len(recent) + 1]
        newest = grant_parts.RegisteredNames(
            names=names, hubs=self._hubs(names), first_read_at=first_read_at, position=position
        )
        if self._name_history and not self._name_history[0].candidates <= newest.candidates:
            newest = dataclasses.replace(newest, drops_candidate=True)
        self._name_history = (newest, *recent, *older)
        era, version = position
        self._empty_absent_reserves()
        logs.log_decision(logger, "adopt-holders", names=names, version=version, era=era)

    def _hubs(self, names: abc.Iterable[str]) -> tuple[tuple[str, ...], ...]:
        """Return the hubs of each failure domain, or nothing if all entry VMs are hubs."""
        members = tuple(view.to_member(self._view.members[vm]) for vm in names)
        hubs = topology.hubs(members)
        if len(hubs) == len(members):
            return ()
        local = topology.group_by_domain(hubs)
        return tuple(tuple(sorted(hub.vm for hub in local[name])) for name in sorted(local))

    def _apply_configuration(self, configuration: model.Configuration) -> None:
        settings = self._app.settings
        widened = allowance.widen(
            configuration,
            tolerance=settings["limits.tolerance"],
            slack=settings["limits.slack"],
            window=settings["limits.window"],
        )
        self._accounts = {account.name: account for account in widened.accounts}
        self._window = settings["limits.window"]
        self._empty_absent_reserves()


def setup(app: application.Application) -> None:
    """Register the policy with token grants, and its settings."""
    for setting in allowance.SETTINGS:
        app.add_setting(setting)
    app.add_part("admission", "granted", lambda app: TokenGrants(app=app))
    app.add_part("service", "granted", lambda app: app.part("admission", "granted"))
