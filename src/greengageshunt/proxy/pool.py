"""Connection pool of one target, which only the owner of the target opens."""

import asyncio
import logging
from typing import TypeVar

from greengageshunt import application, errors, model
from greengageshunt.proxy import connection as connection_module
from greengageshunt.scheduling import entry as entry_module
from greengageshunt.scheduling import gate

logger = logging.getLogger(__name__)

# Connections of a target that its pools leave free for status checks and promotion;
# see docs/design.md, decision 1.
RESERVED_CONNECTIONS = 7

# Seconds without an answer after which a job is also run on one more connection.
HEDGE_DELAY = 0.75

# Number of connections on which one job runs at most.
RUNS_PER_JOB = 3

# Seconds that a request waits for an open connection at most. The wait is short because
# connections are missing only while the target is down, and then another target may
# serve the request.
CONNECTION_WAIT = 0.25

_T = TypeVar("_T")


def pool_size(connection_limit: int) -> int:
    """Return the number of pooled connections that one owner may open to a target.

    It is half of the connections that are not reserved, so that two VMs which both
    consider themselves the owner stay within the limit.

    Args:
        connection_limit: Number of connections that the target accepts.
    """
    return max(1, (connection_limit - RESERVED_CONNECTIONS) // 2)


class TargetPool:
    """Connections to one target, and the gate that limits its concurrent statements."""

    def __init__(self, *, app: application.Application, target: model.Target) -> None:
        self._app = app
        self._target = target
        self._idle: asyncio.Queue[connection_module.PooledConnection] = asyncio.Queue()
        self._gate = gate.SlotGate(
            name=target.name,
            slots=target.slots,
            queue=app.selected("scheduling")(),
            clock=app.clock,
            invariants=app.part("invariants", "default"),
        )
        self._in_idle_queue: set[connection_module.PooledConnection] = set()
        self._users = 0
        self._no_users = asyncio.Event()
        self._no_users.set()
        self._size = pool_size(target.connection_limit)
        self._connections: list[connection_module.PooledConnection] = []
        self._tasks = [self._start(number) for number in range(self._size)]

    @property
    def target(self) -> model.Target:
        """The target."""
        return self._target

    @property
    def size(self) -> int:
        """Number of connections that the pool keeps open."""
        return self._size

    @property
    def open_connections(self) -> int:
        """Number of connections that are open now."""
        return sum(connection.connected for connection in self._connections)

    @property
    def gate(self) -> gate.SlotGate:
        """Gate that grants the target's slots to queued requests."""
        return self._gate

    @property
    def expected_wait(self) -> float:
        """Estimated seconds that a new request would wait for a slot."""
        return self._gate.expected_wait

    async def run(self, entry: entry_module.QueueEntry, job: connection_module.Job[_T]) -> _T:
        """Acquire a slot and a connection, and run a job.

        A job that has no answer after ``HEDGE_DELAY`` is run on a further connection as
        well, because its own may be dead. The first success is returned. So a job must be
        safe to run more than once, also concurrently.

        Raises:
            RefusedError: No slot or no connection was available in time.
            TargetError: The target rejected the statement or the connection failed.
        """
        self.add_user()
        try:
            async with self._gate.slot(entry):
                return await self._run_hedged(entry, job)
        finally:
            self.remove_user()

    async def _run_hedged(
        self, entry: entry_module.QueueEntry, job: connection_module.Job[_T]
    ) -> _T:
        runs = [asyncio.create_task(self._run_once(entry, job))]
        try:
            while True:
                timeout = HEDGE_DELAY if len(runs) < RUNS_PER_JOB else None
                waiting = [run for run in runs if not run.done()]
                done, _ = await asyncio.wait(
                    waiting, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                succeeded = next((run for run in done if run.exception() is None), None)
                if succeeded is not None:
                    return succeeded.result()
                if all(run.done() for run in runs):
                    return runs[0].result()
                if not done:
                    logger.info("no answer yet", extra={"target": self._target.name})
                    runs.append(asyncio.create_task(self._run_once(entry, job)))
        finally:
            for run in runs:
                run.cancel()

    async def _run_once(self, entry: entry_module.QueueEntry, job: connection_module.Job[_T]) -> _T:
        lease = await self.acquire(entry.deadline)
        try:
            return await lease.connection.submit(job, lease, entry.deadline)
        finally:
            self.release(lease)

    async def acquire(self, deadline: float) -> connection_module.Lease:
        """Lease an idle connection.

        Args:
            deadline: Monotonic seconds at which the request stops waiting.

        Raises:
            RefusedError: No connection was available in time.
        """
        remaining = max(0.0, deadline - self._app.clock())
        try:
            async with asyncio.timeout(min(remaining, CONNECTION_WAIT)):
                while True:
                    connection = await self._idle.get()
                    self._in_idle_queue.discard(connection)
                    if connection.connected:
                        return connection.lease()
        except TimeoutError:
            raise errors.RefusedError(
                errors.Refusal(
                    code="no_connection",
                    message=f"target {self._target.name}: no connection was available in time",
                    outcome=errors.Outcome.NOT_RUN,
                    step="connect",
                    peer=self._target.name,
                )
            ) from None

    def release(self, lease: connection_module.Lease) -> None:
        """Return a leased connection to the pool.

        A lost connection is ignored: its task returned it to the pool when it reconnected,
        or will do so.
        """
        if lease.valid:
            self._add_idle(lease.connection)

    def _add_idle(self, connection: connection_module.PooledConnection) -> None:
        # A connection that was lost while idle is still in the queue when it reconnects.
        if connection not in self._in_idle_queue:
            self._in_idle_queue.add(connection)
            self._idle.put_nowait(connection)

    def add_user(self) -> None:
        """Count a request or a transaction that uses the pool."""
        self._users += 1
        self._no_users.clear()

    def remove_user(self) -> None:
        """Count the end of a request or a transaction."""
        self._users -= 1
        if not self._users:
            self._no_users.set()

    async def drain(self, drain_timeout: float) -> None:
        """Wait until no request and no transaction uses the pool, then close it.

        Args:
            drain_timeout: Seconds after which the pool is closed although it is in use.
        """
        try:
            async with asyncio.timeout(drain_timeout):
                await self._no_users.wait()
        except TimeoutError:
            fields = {"target": self._target.name, "users": self._users}
            logger.warning(
                "connection pool closed while requests or transactions use it", extra=fields
            )
        self.close()

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()

    def _start(self, number: int) -> asyncio.Task[None]:
        connection = connection_module.PooledConnection(app=self._app, target=self._target)
        self._connections.append(connection)
        name = f"{self._target.name} connection {number}"
        return asyncio.create_task(connection.serve(self._add_idle), name=name)
