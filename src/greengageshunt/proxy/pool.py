"""The connection pool of one target, held by the target's owner."""

import asyncio
import logging
from typing import TypeVar

from greengageshunt import application, errors, model
from greengageshunt.proxy import connection as connection_module
from greengageshunt.scheduling import entry as entry_module
from greengageshunt.scheduling import gate

logger = logging.getLogger(__name__)

# Connections left for status checks and promotion; see docs/design.md, decision 1.
RESERVED_CONNECTIONS = 7

# Seconds without an answer after which a job is run on a second connection too.
SILENCE_DEADLINE = 0.75
RUNS_PER_JOB = 3

# Seconds that a request waits for an open connection at most. Connections are
# only missing while the target is down, and then another target may serve it.
CONNECTION_WAIT = 0.25

_T = TypeVar("_T")


def pool_size(connection_limit: int) -> int:
    """Return the number of connections that one owner may open.

    Two VMs that both believe they own the target stay below the limit.
    """
    return max(1, (connection_limit - RESERVED_CONNECTIONS) // 2)


class TargetPool:
    """Connections to one target and the queue for its slots."""

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
        self._queued: set[connection_module.PooledConnection] = set()
        self._users = 0
        self._unused = asyncio.Event()
        self._unused.set()
        self._size = pool_size(target.connection_limit)
        self._connections: list[connection_module.PooledConnection] = []
        self._tasks = [self._start(number) for number in range(self._size)]

    @property
    def target(self) -> model.Target:
        """The target."""
        return self._target

    @property
    def size(self) -> int:
        """Number of connections."""
        return self._size

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return sum(connection.connected for connection in self._connections)

    @property
    def gate(self) -> gate.SlotGate:
        """Queue for the target's slots."""
        return self._gate

    @property
    def expected_wait(self) -> float:
        """Seconds that a new request would wait for a slot."""
        return self._gate.expected_wait

    async def run(self, entry: entry_module.Entry, job: connection_module.Job[_T]) -> _T:
        """Wait for a slot and a connection, and run a job.

        A job without an answer is run on further connections as well, because its
        connection may have gone silent for good; the first success counts. So a job
        must be safe to run twice.

        Raises:
            RefusedError: No slot or connection came free before the deadline.
            TargetError: The target rejected the statement or the connection failed.
        """
        self.add_user()
        try:
            async with self._gate.slot(entry):
                return await self._run_on_some(entry, job)
        finally:
            self.remove_user()

    async def _run_on_some(self, entry: entry_module.Entry, job: connection_module.Job[_T]) -> _T:
        runs = [asyncio.create_task(self._run_once(entry, job))]
        try:
            while True:
                timeout = SILENCE_DEADLINE if len(runs) < RUNS_PER_JOB else None
                waiting = [run for run in runs if not run.done()]
                done, _ = await asyncio.wait(
                    waiting, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                won = next((run for run in done if run.exception() is None), None)
                if won is not None:
                    return won.result()
                if all(run.done() for run in runs):
                    return runs[0].result()
                if not done:
                    logger.info("no answer yet", extra={"target": self._target.name})
                    runs.append(asyncio.create_task(self._run_once(entry, job)))
        finally:
            for run in runs:
                run.cancel()

    async def _run_once(self, entry: entry_module.Entry, job: connection_module.Job[_T]) -> _T:
        lease = await self.take(entry.deadline)
        try:
            return await lease.connection.submit(job, lease, entry.deadline)
        finally:
            self.release(lease)

    async def take(self, deadline: float) -> connection_module.Lease:
        """Reserve a connection.

        Raises:
            RefusedError: No connection came free in time.
        """
        remaining = max(0.0, deadline - self._app.clock())
        try:
            async with asyncio.timeout(min(remaining, CONNECTION_WAIT)):
                while True:
                    connection = await self._idle.get()
                    self._queued.discard(connection)
                    if connection.connected:
                        return connection.lease()
        except TimeoutError:
            raise errors.RefusedError(
                errors.Refusal(
                    code="no_connection",
                    message=f"target {self._target.name}: no connection came free in time",
                    outcome=errors.Outcome.NOT_RUN,
                    step="connect",
                    peer=self._target.name,
                )
            ) from None

    def release(self, lease: connection_module.Lease) -> None:
        """Return a reserved connection; a lost one returned when it was opened again."""
        if lease.valid:
            self._add_idle(lease.connection)

    def _add_idle(self, connection: connection_module.PooledConnection) -> None:
        # A connection that was lost while idle is still in the queue when it is open again.
        if connection not in self._queued:
            self._queued.add(connection)
            self._idle.put_nowait(connection)

    def add_user(self) -> None:
        """Count a request or a transaction that uses the pool."""
        self._users += 1
        self._unused.clear()

    def remove_user(self) -> None:
        """Count the end of a request or a transaction."""
        self._users -= 1
        if not self._users:
            self._unused.set()

    async def drain(self, limit: float) -> None:
        """Wait until nothing uses the pool, up to a limit in seconds, and close it."""
        try:
            async with asyncio.timeout(limit):
                await self._unused.wait()
        except TimeoutError:
            fields = {"target": self._target.name, "users": self._users}
            logger.warning("pool closed while in use", extra=fields)
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
