"""Places the statements of sessions on connections to targets."""

import asyncio
import collections
import dataclasses
import logging
import math
from collections import abc
from typing import Any

from greengageshunt import application, errors, model
from greengageshunt.coordination import lease, records, view
from greengageshunt.pooling import choice, freshness, lagging, pool, pools, statements

logger = logging.getLogger(__name__)

# Seconds between checks whether a target can serve a waiting statement.
PLACEMENT_RETRY_INTERVAL = 0.02

# Weight of the newest read in the moving average of a target's response time.
RESPONSE_TIME_WEIGHT = 0.1

# Seconds without a read after which the response time of a target expires. A slow target then
# gets reads again.
RESPONSE_TIME_EXPIRY = 3.0

# Seconds for which the revocation of a lease waits for writes in progress.
WRITES_TIMEOUT = 0.3

# Seconds for which the set-up of a connection for a session waits for the target.
SETUP_TIMEOUT = 0.5

# Fractions of the database's statement time-out for which a statement waits for a connection,
# and for a change of the primary that is in progress.
CONNECTION_WAIT_FRACTION = 0.6
PRIMARY_CHANGE_WAIT_FRACTION = 0.9

# Fraction of the database's latency goal for which a statement waits until a target can serve
# it. After an early rejection, another entry VM can still serve the caller in time.
TARGET_WAIT_FRACTION = 0.2

# Seconds within which a change of the primary usually completes. A change that takes longer may
# not complete soon, so statements no longer wait for it.
USUAL_PRIMARY_CHANGE = 2.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operation:
    """A single statement or a transaction of a session.

    Attributes:
        id: Id of its first statement.
        database: Database that it uses, as configured when it began.
        account: Client account on whose behalf it runs.
        began_at: Monotonic seconds at which its first statement was received.
        primary_only: Whether only the primary can run it.
        transaction: Whether it is a transaction.
        last_commit_position: Log position of the session's last commit, or None.
    """

    id: str
    database: model.Database
    account: str
    began_at: float
    primary_only: bool
    transaction: bool
    last_commit_position: model.Position | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """A connection that an operation holds.

    Attributes:
        connection: Connection to the target.
        pool: Pool to which the connection is released.
        primary: Whether the target is used as the primary.
        after: Position that the target's log must contain, or None for the primary.
        reason: Why the target was chosen.
        checked_at: Monotonic seconds at which the connection was ready. If the target is used
            as the primary, the lease on the primary was valid then.
        lease_expires_at: Monotonic seconds at which the lease on the primary expires.
        version: Version of the row with the group's record.
    """

    connection: Any
    pool: pool.TargetPool
    primary: bool
    after: model.Position | None
    reason: str
    checked_at: float
    lease_expires_at: float
    version: int

    @property
    def target(self) -> str:
        """Name of the target."""
        return self.pool.entry.target


def _suits(
    operation: Operation,
    values: abc.Mapping[str, str] | None = None,
    shapes: abc.Collection[str] = (),
) -> pool.Suits:
    """Return what decides whether an operation may use a connection that was used before.

    Args:
        operation: The operation.
        values: Session variables, or None if they are not known yet.
        shapes: Shapes of the prepared statements that its first statement executes.
    """
    return lambda connection: connection.suits(values, shapes, transaction=operation.transaction)


def _answered(error: errors.TargetError) -> bool:
    """Return whether an error shows that the target can be reached."""
    refused = bool(error.code) and error.code != statements.Code.TIMEOUT
    return refused or isinstance(error, errors.UncertainAnswerError)


class NotPlacedError(errors.GreengageshuntError):
    """No connection to an eligible target was available in time; the statement did not run."""


class Executor:
    """Places operations on connections, and records positions and response times from answers."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view: view.StoreView = app.part("coordination", "view")
        self._leases: lease.Leases = app.part("coordination", "leases")
        self._pools: pools.TargetPools = app.part("pooling", "pools")
        self._freshness: freshness.Freshness = app.part("pooling", "freshness")
        self._own_member = app.part("membership", "view").me
        self._lagging = lagging.LaggingReplicas()
        self._response_times: dict[str, tuple[float, float]] = {}
        self._changing_since: dict[str, float] = {}
        self._writes_in_progress: collections.Counter[str] = collections.Counter()
        self._writes_ended: dict[str, asyncio.Event] = {}
        self._writes_abandoned_at: dict[str, float] = {}

    def needs(self, operation: Operation) -> choice.Needs:
        """Return what an operation needs of its target."""
        database = operation.database
        if operation.primary_only or database.consistency is model.Consistency.PRIMARY:
            return choice.Needs(primary=True, after=None)
        bound = self._freshness.required(database.group, database.staleness, operation.began_at)
        if bound is None:
            return choice.Needs(primary=False, after=None)
        committed = operation.last_commit_position
        if committed is None or database.consistency is not model.Consistency.READ_YOUR_WRITES:
            return choice.Needs(primary=False, after=bound.position)
        return choice.Needs(primary=False, after=max(committed, bound.position))

    def expect(self, operation: Operation) -> None:
        """Open a connection for an operation, if it needs one, while the operation is admitted."""
        now = self._app.clock()
        chosen, _ = self._choose(operation, set(), now)
        entry = self._view.target(chosen.target)
        if entry is not None:
            self._pools.pool(entry).open_ahead(operation.account, now, _suits(operation))

    async def place(
        self,
        operation: Operation,
        values: dict[str, str],
        shapes: tuple[str, ...],
        tried: set[str],
        received_at: float,
    ) -> Placement:
        """Return a connection, set up for the session, to a target that may run the operation.

        Args:
            operation: The operation.
            values: Session variables.
            shapes: Shapes of the prepared statements that it executes.
            tried: Names of targets that are skipped. Targets that fail here are added; the set
                is cleared when no target is eligible, so that all are tried again.
            received_at: Monotonic seconds at which the statement was received.

        Raises:
            NotPlacedError: No connection to an eligible target was available in time.
        """
        reason = ""
        deadline = received_at + operation.database.statement_timeout * CONNECTION_WAIT_FRACTION
        while True:
            now = self._app.clock()
            chosen, primary_lease = self._choose(operation, tried, now)
            if not chosen.target:
                reason = primary_lease.reason if not primary_lease.valid else chosen.reason
                until = received_at + self._target_wait_limit(
                    operation.database, primary_lease, now
                )
                deadline = max(deadline, until)
                tried.clear()
            else:
                until = deadline
            if now >= until:
                raise NotPlacedError(
                    reason or "no time left to place the statement",
                    step="place",
                    peer=operation.database.group,
                )
            if not chosen.target:
                await asyncio.sleep(min(PLACEMENT_RETRY_INTERVAL, until - now))
                continue
            try:
                placement = await self._acquire(
                    operation, chosen, primary_lease, values, shapes, deadline
                )
            except (pool.PoolBusyError, errors.TargetError) as error:
                reason = str(error)
                tried.add(chosen.target)
                continue
            if placement is not None:
                return placement
            reason = "the primary changed while the statement waited for a connection"

    def _target_wait_limit(
        self, database: model.Database, primary_lease: lease.Lease, now: float
    ) -> float:
        """Return the seconds, counted from its receipt, for which a statement waits for a target.

        A change of the primary that all registered processes have confirmed completes in
        about a second, so a statement waits for it. Other causes may last much longer than a
        statement can wait.
        """
        short_wait = database.latency_goal * TARGET_WAIT_FRACTION
        if not primary_lease.changing:
            self._changing_since.pop(database.group, None)
            return short_wait
        since = self._changing_since.setdefault(database.group, now)
        if now - since >= USUAL_PRIMARY_CHANGE:
            return short_wait
        return database.statement_timeout * PRIMARY_CHANGE_WAIT_FRACTION

    def record_answer(
        self, operation: Operation, placement: Placement, answer: statements.TargetAnswer
    ) -> None:
        """Record that a target answered, and the log position of the primary or of a refusal."""
        now = self._app.clock()
        placement.pool.record_answer(now)
        if answer.code == statements.Code.LAGGING:
            self._lagging.note_refusal(placement.target, answer.position, now)
        if placement.primary and answer.position is not None:
            group = operation.database.group
            self._freshness.note_position(group, placement.checked_at, answer.position)

    def record_read(self, placement: Placement, seconds: float) -> None:
        """Add the response time of a read to the moving average of its target."""
        now = self._app.clock()
        previous_mean, _ = self._response_times.get(placement.target, (seconds, now))
        mean = previous_mean + RESPONSE_TIME_WEIGHT * (seconds - previous_mean)
        self._response_times[placement.target] = (mean, now)

    def record_failure(
        self, placement: Placement, error: errors.TargetError, sent_at: float
    ) -> None:
        """Record that a connection broke or that a target did not answer.

        Args:
            placement: Connection on which the statement was sent.
            error: Error that the driver raised.
            sent_at: Monotonic seconds at which the statement was sent.
        """
        now = self._app.clock()
        if _answered(error):
            placement.pool.record_answer(now)
            return
        if placement.pool.answered_at >= sent_at:
            # The target has since answered on other connections, so only this one failed.
            return
        if error.code != statements.Code.TIMEOUT:
            placement.pool.record_broken_connection()
        elif now - sent_at >= pool.CONNECT_TIMEOUT:
            # After a shorter wait, a missing answer does not show that the target is down.
            placement.pool.record_failure(now)

    def renew_lease(self, placement: Placement, group: str) -> Placement | None:
        """Return a placement with the lease on its primary as it is now.

        Returns:
            The placement, or None if its target may no longer be used as the primary.
        """
        if not placement.primary:
            return placement
        now = self._app.clock()
        primary_lease = self._leases.lease(group, now)
        if not primary_lease.valid or primary_lease.target != placement.target:
            return None
        return dataclasses.replace(
            placement,
            checked_at=now,
            lease_expires_at=primary_lease.expires_at,
            version=primary_lease.version,
        )

    def may_acknowledge(self, placement: Placement, group: str, sent_at: float) -> bool:
        """Return whether a successor of the primary, if any, has a write that was just answered.

        Args:
            placement: Connection on which the write was sent.
            group: Group of the target.
            sent_at: Monotonic seconds at or before which the write was sent, and after which the
                lease was valid.
        """
        if self._writes_abandoned_at.get(group, -math.inf) >= sent_at:
            return False
        return not placement.primary or self._app.clock() < placement.lease_expires_at

    def begin_write(self, group: str) -> None:
        """Count a write or commit as in progress."""
        self._writes_in_progress[group] += 1
        self._writes_ended.setdefault(group, asyncio.Event()).clear()

    def end_write(self, group: str) -> None:
        """Count a write or commit as ended, with or without an answer."""
        self._writes_in_progress[group] -= 1
        if not self._writes_in_progress[group]:
            self._writes_ended[group].set()

    async def wait_for_writes(self, group: str) -> None:
        """Wait for at most ``WRITES_TIMEOUT`` seconds until no write of a group is in progress.

        Writes that are still in progress then can no longer be acknowledged: whoever replaces the
        primary doesn't wait for them any more.
        """
        if not self._writes_in_progress[group]:
            return
        try:
            async with asyncio.timeout(WRITES_TIMEOUT):
                await self._writes_ended[group].wait()
        except TimeoutError:
            self._writes_abandoned_at[group] = self._app.clock()
            logger.warning("writes still in progress at the time limit", extra={"group": group})

    def _choose(
        self, operation: Operation, tried: set[str], now: float
    ) -> tuple[choice.Choice, lease.Lease]:
        group = operation.database.group
        primary_lease = self._leases.lease(group, now)
        needs = self.needs(operation)
        candidates = [
            self._candidate(entry, primary_lease, operation, needs, tried, now)
            for entry in self._view.targets_of(group)
        ]
        return choice.choose(
            candidates, needs, primary_permitted=primary_lease.valid
        ), primary_lease

    def _candidate(
        self,
        entry: records.TargetEntry,
        primary_lease: lease.Lease,
        operation: Operation,
        needs: choice.Needs,
        tried: set[str],
        now: float,
    ) -> choice.Candidate:
        target_pool = self._pools.pool(entry)
        primary = entry.target == primary_lease.target
        response_seconds, noted_at = self._response_times.get(entry.target, (0.0, now))
        usable = target_pool.reachable(now) and entry.target not in tried
        lacking = not primary and self._lagging.lacks(entry.target, needs.after, now)
        return choice.Candidate(
            target=entry.target,
            primary=primary,
            busy=target_pool.busy,
            same_domain=entry.failure_domain == self._own_member.failure_domain,
            has_idle_connection=target_pool.has_idle(operation.account, _suits(operation)),
            # A draining primary serves until another target has taken over.
            usable=usable and not lacking and (primary or not entry.draining),
            response_seconds=response_seconds if now - noted_at <= RESPONSE_TIME_EXPIRY else 0.0,
        )

    async def _acquire(
        self,
        operation: Operation,
        chosen: choice.Choice,
        primary_lease: lease.Lease,
        values: dict[str, str],
        shapes: tuple[str, ...],
        deadline: float,
    ) -> Placement | None:
        """Return a connection that is set up, or None if the target may no longer be used.

        That is so if the target left the list or the lease on the primary expired.

        Raises:
            PoolBusyError: No connection became available by the deadline.
            TargetError: The target cannot be reached, or rejected the connection or its set-up.
        """
        entry = self._view.target(chosen.target)
        if entry is None:
            return None
        target_pool = self._pools.pool(entry)
        database = operation.database
        connection = await target_pool.acquire(
            operation.account,
            values,
            database.priority,
            deadline,
            _suits(operation, values, shapes),
        )
        try:
            await connection.apply_session_state(values, shapes, SETUP_TIMEOUT)
        except BaseException as error:
            if isinstance(error, errors.TargetError):
                if _answered(error):
                    target_pool.record_answer(self._app.clock())
                else:
                    target_pool.record_failure(self._app.clock())
            target_pool.release(connection)
            raise
        now = self._app.clock()
        primary = chosen.target == primary_lease.target
        if primary:
            primary_lease = self._leases.lease(database.group, now)
            if not primary_lease.valid or primary_lease.target != chosen.target:
                target_pool.release(connection)
                return None
        return Placement(
            connection=connection,
            pool=target_pool,
            primary=primary,
            after=chosen.after,
            reason=chosen.reason,
            checked_at=now,
            lease_expires_at=primary_lease.expires_at,
            version=primary_lease.version,
        )


def setup(app: application.Application) -> None:
    """Register the executor."""
    app.add_part("pooling", "executor", lambda app: Executor(app=app))
