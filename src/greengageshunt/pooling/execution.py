"""Runs the statements of sessions at targets."""

import asyncio
import collections
import dataclasses
import logging
from typing import Any

from greengageshunt import application, errors, model
from greengageshunt.coordination import lease, records, view
from greengageshunt.pooling import choice, freshness, pool, pools, statements

logger = logging.getLogger(__name__)

# Seconds between looks at whether a target may serve a statement that waits.
RETRY_INTERVAL = 0.02

# Weight of the newest answer in the mean time of a target's answers.
SLOWNESS_WEIGHT = 0.1

# Seconds after which a slow target is tried again as if it were not.
SLOWNESS_PERIOD = 3.0

# Seconds for which a recall of a permission waits for writes in progress.
WRITES_LIMIT = 0.3

SETUP_TIMEOUT = 0.5  # seconds

# Parts of its time limit for which a statement waits for a connection, and for a change of
# primary that is in progress.
WAIT_FOR_CONNECTION = 0.6
WAIT_FOR_CHANGE = 0.9

# Part of its latency goal for which a statement waits for a target that can serve it. A caller
# that is refused early can still be served in time by another entry VM.
WAIT_FOR_TARGET = 0.2

# Seconds that a change of primary usually takes.
USUAL_CHANGE = 2.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operation:
    """A single statement or a transaction of a session.

    Attributes:
        id: Id of its first statement.
        database: Database that it uses, as configured when it began.
        account: Client account on whose behalf it runs.
        began_at: Monotonic seconds at which its first statement was received.
        primary_only: Whether only the primary can run it.
        own_position: Position of the session's last commit, or None.
    """

    id: str
    database: model.Database
    account: str
    began_at: float
    primary_only: bool
    own_position: model.Position | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """A connection that an operation holds.

    Attributes:
        connection: Connection to the target.
        pool: Pool that lent it.
        primary: Whether the target is used as the primary.
        after: Position that the target must contain, or None at the primary.
        reason: Why the target was chosen.
        checked_at: Monotonic seconds at which the primary was known to lead.
        until: Monotonic seconds at which the permission to use it ends.
        version: Version of the group's record.
    """

    connection: Any
    pool: pool.TargetPool
    primary: bool
    after: model.Position | None
    reason: str
    checked_at: float
    until: float
    version: int

    @property
    def target(self) -> str:
        """Name of the target."""
        return self.pool.entry.target


class NotPlacedError(errors.GreengageshuntError):
    """No target could take the statement in time; it did not run."""


class Executor:
    """Places operations on connections, and learns from the answers."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view: view.StoreView = app.part("coordination", "view")
        self._leases: lease.Leases = app.part("coordination", "leases")
        self._pools: pools.TargetPools = app.part("pooling", "pools")
        self._freshness: freshness.Freshness = app.part("pooling", "freshness")
        self._me = app.part("membership", "view").me
        self._slowness: dict[str, tuple[float, float]] = {}
        self._changing_since: dict[str, float] = {}
        self._writes: collections.Counter[str] = collections.Counter()
        self._quiet: dict[str, asyncio.Event] = {}

    def needs(self, operation: Operation) -> choice.Needs:
        """Return what an operation needs of its target."""
        database = operation.database
        if operation.primary_only or database.consistency is model.Consistency.PRIMARY:
            return choice.Needs(primary=True, after=None)
        pair = self._freshness.required(database.group, database.staleness, operation.began_at)
        if pair is None:
            return choice.Needs(primary=False, after=None)
        own = operation.own_position
        if own is None or database.consistency is not model.Consistency.READ_YOUR_WRITES:
            return choice.Needs(primary=False, after=pair.position)
        return choice.Needs(primary=False, after=max(own, pair.position))

    async def place(
        self,
        operation: Operation,
        values: dict[str, str],
        shapes: tuple[str, ...],
        tried: set[str],
        received_at: float,
    ) -> Placement:
        """Return a connection to a target that may run an operation now.

        Args:
            operation: The operation.
            values: Values of its session.
            shapes: Shapes of prepared statements that it executes.
            tried: Targets that are left out while others may serve.
            received_at: Monotonic seconds at which the statement was received.

        Raises:
            NotPlacedError: None could be had in time.
        """
        reason = ""
        deadline = received_at + operation.database.statement_timeout * WAIT_FOR_CONNECTION
        while True:
            now = self._app.clock()
            chosen, permission = self._choose(operation, tried, now)
            if not chosen.target:
                reason = permission.reason if not permission.granted else chosen.reason
                until = received_at + self._patience(operation.database, permission, now)
                deadline = max(deadline, until)
                tried.clear()
            else:
                until = deadline
            if now >= until:
                raise NotPlacedError(
                    reason or "no time left", step="place", peer=operation.database.group
                )
            if not chosen.target:
                await asyncio.sleep(min(RETRY_INTERVAL, until - now))
                continue
            try:
                placement = await self._acquire(
                    operation, chosen, permission, values, shapes, deadline
                )
            except (pool.PoolBusyError, errors.TargetError) as error:
                reason = str(error)
                tried.add(chosen.target)
                continue
            if placement is not None:
                return placement
            reason = "the primary changed while the statement waited"

    def _patience(
        self, database: model.Database, permission: lease.Permission, now: float
    ) -> float:
        """Return the seconds for which a statement waits for a target, from its receipt.

        A change of primary that everybody has confirmed is over in about a second, so
        waiting for it serves the statement. An end of other causes is not in sight.
        """
        impatient = database.latency_goal * WAIT_FOR_TARGET
        if not permission.changing:
            self._changing_since.pop(database.group, None)
            return impatient
        since = self._changing_since.setdefault(database.group, now)
        if now - since >= USUAL_CHANGE:
            return impatient
        return database.statement_timeout * WAIT_FOR_CHANGE

    def note_answer(
        self, operation: Operation, placement: Placement, answer: statements.TargetAnswer
    ) -> None:
        """Learn from the answer of a target."""
        now = self._app.clock()
        placement.pool.note_answer(now)
        if placement.primary and answer.position is not None:
            group = operation.database.group
            self._freshness.note(group, placement.checked_at, answer.position)

    def note_read(self, placement: Placement, seconds: float) -> None:
        """Record how long a read took at its target."""
        now = self._app.clock()
        known, _ = self._slowness.get(placement.target, (seconds, now))
        mean = known + SLOWNESS_WEIGHT * (seconds - known)
        self._slowness[placement.target] = (mean, now)

    def note_failure(self, placement: Placement, error: errors.TargetError, sent_at: float) -> None:
        """Record that a target broke the connection or gave no answer.

        Args:
            placement: The connection.
            error: What happened.
            sent_at: Monotonic seconds at which the statement was sent.
        """
        if placement.pool.answered_at >= sent_at:
            # The target answered others meanwhile, so only this connection or answer is lost.
            return
        now = self._app.clock()
        if error.code != statements.Code.TIMEOUT:
            placement.pool.note_broken()
        elif now - sent_at >= pool.CONNECT_TIMEOUT:
            # A statement with less time left when it was sent says nothing of the target.
            placement.pool.note_failure(now)

    def confirmed(self, placement: Placement) -> bool:
        """Return whether the permission under which a write was sent still lasts."""
        return not placement.primary or self._app.clock() < placement.until

    def begin_write(self, group: str) -> None:
        """Count a write or commit that is on its way."""
        self._writes[group] += 1
        self._quiet.setdefault(group, asyncio.Event()).clear()

    def end_write(self, group: str) -> None:
        """Count a write or commit as answered."""
        self._writes[group] -= 1
        if not self._writes[group]:
            self._quiet[group].set()

    async def wait_writes(self, group: str) -> None:
        """Wait until no write of a group is on its way, but not long."""
        if not self._writes[group]:
            return
        try:
            async with asyncio.timeout(WRITES_LIMIT):
                await self._quiet[group].wait()
        except TimeoutError:
            logger.warning("writes still on their way", extra={"group": group})

    def _choose(
        self, operation: Operation, tried: set[str], now: float
    ) -> tuple[choice.Choice, lease.Permission]:
        group = operation.database.group
        permission = self._leases.permission(group, now)
        needs = self.needs(operation)
        candidates = [
            self._candidate(entry, permission, operation.account, tried, now)
            for entry in self._view.targets_of(group)
        ]
        return choice.choose(candidates, needs, permitted=permission.granted), permission

    def _candidate(
        self,
        entry: records.TargetEntry,
        permission: lease.Permission,
        account: str,
        tried: set[str],
        now: float,
    ) -> choice.Candidate:
        target_pool = self._pools.pool(entry)
        primary = entry.target == permission.target
        slowness, noted_at = self._slowness.get(entry.target, (0.0, now))
        usable = target_pool.reachable(now) and entry.target not in tried
        return choice.Candidate(
            target=entry.target,
            primary=primary,
            busy=target_pool.busy,
            local=entry.failure_domain == self._me.failure_domain,
            warm=target_pool.has_idle(account),
            # A draining primary serves until another target has taken over.
            usable=usable and (primary or not entry.draining),
            slowness=slowness if now - noted_at <= SLOWNESS_PERIOD else 0.0,
        )

    async def _acquire(
        self,
        operation: Operation,
        chosen: choice.Choice,
        permission: lease.Permission,
        values: dict[str, str],
        shapes: tuple[str, ...],
        deadline: float,
    ) -> Placement | None:
        """Return a connection that is set up, or None if the primary changed meanwhile.

        Raises:
            PoolBusyError: No connection came free.
            TargetError: The target cannot be reached, or refused.
        """
        entry = self._view.target(chosen.target)
        if entry is None:
            return None
        target_pool = self._pools.pool(entry)
        database = operation.database
        connection = await target_pool.acquire(
            operation.account, values, database.priority, deadline
        )
        try:
            await connection.set_up(values, shapes, SETUP_TIMEOUT)
        except BaseException as error:
            if isinstance(error, errors.TargetError):
                target_pool.note_failure(self._app.clock())
            target_pool.release(connection)
            raise
        now = self._app.clock()
        primary = chosen.target == permission.target
        if primary:
            permission = self._leases.permission(database.group, now)
            if not permission.granted or permission.target != chosen.target:
                target_pool.release(connection)
                return None
        return Placement(
            connection=connection,
            pool=target_pool,
            primary=primary,
            after=chosen.after,
            reason=chosen.reason,
            checked_at=now,
            until=permission.until,
            version=permission.version,
        )


def setup(app: application.Application) -> None:
    """Register the execution of statements."""
    app.add_part("pooling", "executor", lambda app: Executor(app=app))
