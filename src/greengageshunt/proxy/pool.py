"""The connection pool of one target, held by the target's owner."""

import asyncio
import dataclasses
import logging
from collections import abc
from typing import Any, TypeVar

from greengageshunt import application, errors, model
from greengageshunt.scheduling import entry as entry_module
from greengageshunt.scheduling import gate

logger = logging.getLogger(__name__)

# Connections left for status checks and promotion; see docs/design.md, decision 1.
RESERVED_CONNECTIONS = 7
RECONNECT_DELAY = 0.1  # seconds

# Seconds without a job after which an idle connection is checked, so that one
# that went silent is replaced before a request needs it.
IDLE_CHECK_INTERVAL = 0.5

_T = TypeVar("_T")
Job = abc.Callable[[Any], abc.Awaitable[_T]]


def pool_size(connection_limit: int) -> int:
    """Return the number of connections that one owner may open.

    Two VMs that both believe they own the target stay below the limit.
    """
    return max(1, (connection_limit - RESERVED_CONNECTIONS) // 2)


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class QueuedJob:
    """A job for a connection.

    Attributes:
        run: Coroutine function that takes the connection.
        deadline: Monotonic seconds after which the connection counts as silent.
        future: Receives the result.
    """

    run: Job[Any]
    deadline: float
    future: asyncio.Future[Any]

    def fail(self, error: Exception) -> None:
        """Pass an error on to the waiting task."""
        if not self.future.done():
            self.future.set_exception(error)


class PooledConnection:
    """One connection to the target and the queue of its jobs."""

    def __init__(self, *, app: application.Application, target: model.Target) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._target = target
        self._jobs: asyncio.Queue[QueuedJob] = asyncio.Queue()
        self._connected = False

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._connected

    async def submit(self, run: Job[_T], deadline: float) -> _T:
        """Run a job on the connection and return its result.

        Args:
            run: Coroutine function that takes the connection.
            deadline: Monotonic seconds after which the connection counts as silent.

        Raises:
            TargetError: The target rejected the statement or the connection failed.
        """
        future: asyncio.Future[_T] = asyncio.get_running_loop().create_future()
        await self._jobs.put(QueuedJob(run=run, deadline=deadline, future=future))
        return await future

    async def serve(self, ready: abc.Callable[["PooledConnection"], None]) -> None:
        """Connect, run jobs until the connection fails, and connect again.

        Args:
            ready: Called each time the connection was opened.
        """
        while True:
            try:
                connection = await self._driver.connect(self._target)
            except errors.TargetError as error:
                self._log("target connection refused", error)
                await asyncio.sleep(RECONNECT_DELAY)
                continue
            self._connected = True
            ready(self)
            try:
                await self._run_jobs(connection)
            except errors.TargetError as error:
                self._log("target connection lost", error)
            finally:
                self._connected = False
                await connection.close()

    async def _run_jobs(self, connection: Any) -> None:
        while True:
            try:
                async with asyncio.timeout(IDLE_CHECK_INTERVAL):
                    job = await self._jobs.get()
            except TimeoutError:
                await connection.status(self._app.clock())
                continue
            try:
                await self._run_job(connection, job)
            except asyncio.CancelledError:
                job.fail(self._error("the connection was closed"))
                raise

    async def _run_job(self, connection: Any, job: QueuedJob) -> None:
        """Run one job.

        Raises:
            TargetError: The connection can no longer be used.
        """
        try:
            async with asyncio.timeout(max(0.0, job.deadline - self._app.clock())):
                value = await job.run(connection)
        except TimeoutError:
            error = self._error("no answer before the deadline")
            job.fail(error)
            raise error from None
        except errors.TargetError as error:
            job.fail(error)
            if not error.code:
                raise
        except errors.GreengageshuntError as error:
            job.fail(error)
        else:
            if not job.future.done():
                job.future.set_result(value)

    def _error(self, message: str) -> errors.TargetError:
        return errors.TargetError(message, step="execute", peer=self._target.name, sent=True)

    def _log(self, message: str, error: errors.TargetError) -> None:
        fields = {"target": self._target.name, "step": error.step, "reason": str(error)}
        logger.info(message, extra=fields)


class TargetPool:
    """Connections to one target and the queue for its slots."""

    def __init__(self, *, app: application.Application, target: model.Target) -> None:
        self._app = app
        self._target = target
        self._idle: asyncio.Queue[PooledConnection] = asyncio.Queue()
        self._queued: set[PooledConnection] = set()
        self._gate = gate.SlotGate(
            name=target.name,
            slots=target.slots,
            queue=app.selected("scheduling")(),
            clock=app.clock,
            invariants=app.part("invariants", "default"),
        )
        self._size = pool_size(target.connection_limit)
        self._connections: list[PooledConnection] = []
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
    def expected_wait(self) -> float:
        """Seconds that a new request would wait for a slot."""
        return self._gate.expected_wait

    async def run(self, entry: entry_module.Entry, job: Job[_T]) -> _T:
        """Wait for a slot and a connection, and run a job.

        Raises:
            RefusedError: No slot or connection came free before the deadline.
            TargetError: The target rejected the statement or the connection failed.
        """
        async with self._gate.slot(entry):
            connection = await self.take(entry.deadline)
            try:
                return await connection.submit(job, entry.deadline)
            finally:
                self.release(connection)

    async def take(self, deadline: float) -> PooledConnection:
        """Reserve a connection.

        Raises:
            RefusedError: No connection came free before the deadline.
        """
        try:
            async with asyncio.timeout(max(0.0, deadline - self._app.clock())):
                while True:
                    connection = await self._idle.get()
                    self._queued.discard(connection)
                    if connection.connected:
                        return connection
        except TimeoutError:
            raise errors.RefusedError(
                errors.Refusal(
                    code="no_connection",
                    message=f"target {self._target.name}: no connection before the deadline",
                    outcome=errors.Outcome.NOT_RUN,
                    step="connect",
                    peer=self._target.name,
                )
            ) from None

    def release(self, connection: PooledConnection) -> None:
        """Return a reserved connection; a broken one returns when it is open again."""
        if connection.connected and connection not in self._queued:
            self._queued.add(connection)
            self._idle.put_nowait(connection)

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()

    def _start(self, number: int) -> asyncio.Task[None]:
        connection = PooledConnection(app=self._app, target=self._target)
        self._connections.append(connection)
        name = f"{self._target.name} connection {number}"
        return asyncio.create_task(connection.serve(self.release), name=name)
