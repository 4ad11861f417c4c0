"""One pooled connection to a target; its task runs one job at a time."""

import asyncio
import dataclasses
import logging
from collections import abc
from typing import Any, TypeVar

from greengageshunt import application, errors, model

logger = logging.getLogger(__name__)

RECONNECT_DELAY = 0.1  # seconds

# Seconds without a job after which the connection is checked, so that a connection
# which no longer answers is replaced before a request needs it.
IDLE_CHECK_INTERVAL = 0.3

_T = TypeVar("_T")
Job = abc.Callable[[Any], abc.Awaitable[_T]]


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Lease:
    """Right to submit jobs to a pooled connection.

    The lease ends when it is released or when the connection is lost. It does not extend
    to the connection that replaces the lost one.

    Attributes:
        connection: The leased connection.
        generation: Generation of the connection when the lease was made.
    """

    connection: "PooledConnection"
    generation: int

    @property
    def valid(self) -> bool:
        """Whether the connection is open and has not been reopened since the lease."""
        return self.connection.connected and self.connection.generation == self.generation


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class QueuedJob:
    """A job in the queue of a connection.

    Attributes:
        run: Coroutine function that takes the driver's connection.
        lease: Lease under which the job runs.
        deadline: Monotonic seconds at which a connection that has not answered is closed.
        future: Receives the result.
    """

    run: Job[Any]
    lease: Lease
    deadline: float
    future: asyncio.Future[Any]

    def fail(self, error: Exception) -> None:
        """Raise an error in the task that waits for the result."""
        if not self.future.done():
            self.future.set_exception(error)


class PooledConnection:
    """A connection to the target, which is reopened when it is lost, and its job queue."""

    def __init__(self, *, app: application.Application, target: model.Target) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._invariants = app.part("invariants", "default")
        self._target = target
        self._jobs: asyncio.Queue[QueuedJob] = asyncio.Queue()
        self._connected = False
        self._generation = 0
        self._current_lease: Lease | None = None
        self._running = 0

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._connected

    @property
    def generation(self) -> int:
        """Number of times that the connection was opened."""
        return self._generation

    def lease(self) -> Lease:
        """Return a new lease, which replaces the previous one."""
        self._current_lease = Lease(connection=self, generation=self._generation)
        return self._current_lease

    async def submit(self, run: Job[_T], lease: Lease, deadline: float) -> _T:
        """Run a job on the connection and return its result.

        When the caller is cancelled, a statement may still run at the target, so the
        connection is replaced.

        Args:
            run: Coroutine function that takes the driver's connection.
            lease: Lease of this connection.
            deadline: Monotonic seconds at which a connection that has not answered is
                closed.

        Raises:
            TargetError: The target rejected the statement or the connection failed.
        """
        if not lease.valid:
            raise self._error("the leased connection was lost", sent=False)
        future: asyncio.Future[_T] = asyncio.get_running_loop().create_future()
        await self._jobs.put(QueuedJob(run=run, lease=lease, deadline=deadline, future=future))
        try:
            return await future
        except asyncio.CancelledError:
            if lease.valid:
                self._connected = False
            raise

    async def serve(self, on_connected: abc.Callable[["PooledConnection"], None]) -> None:
        """Connect, run jobs until the connection fails, and reconnect, until cancelled.

        Args:
            on_connected: Called with this object each time the connection is open.
        """
        while True:
            try:
                connection = await self._driver.connect(self._target)
            except errors.TargetError as error:
                self._log("connecting to the target failed; retrying", error)
                await asyncio.sleep(RECONNECT_DELAY)
                continue
            self._generation += 1
            self._connected = True
            on_connected(self)
            try:
                await self._run_jobs(connection)
            except errors.TargetError as error:
                self._log("connection to the target lost; reconnecting", error)
            finally:
                self._connected = False
                self._fail_queued()
                await connection.close()

    async def _run_jobs(self, connection: Any) -> None:
        while True:
            try:
                async with asyncio.timeout(IDLE_CHECK_INTERVAL):
                    job = await self._jobs.get()
            except TimeoutError:
                if not self._connected:
                    raise self._error("a job was cancelled", sent=False) from None
                # This also checks connections that are leased to an open transaction.
                await connection.status(self._app.clock())
                continue
            self._invariants.check(
                "job-of-lease-holder",
                job.lease is self._current_lease and self._running == 0,
                target=self._target.name,
            )
            self._running += 1
            try:
                await self._run_job(connection, job)
            except asyncio.CancelledError:
                job.fail(self._error("the connection was closed", sent=True))
                raise
            finally:
                self._running -= 1

    async def _run_job(self, connection: Any, job: QueuedJob) -> None:
        """Run one job and deliver its result.

        Raises:
            TargetError: The connection must be closed, because it failed or its state is
                unknown.
        """
        task = asyncio.ensure_future(job.run(connection))
        try:
            remaining = max(0.0, job.deadline - self._app.clock())
            await asyncio.wait(
                {task, job.future}, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            if not task.done():
                task.cancel()
        if not task.done():
            error = self._error("no answer before the deadline", sent=True)
            job.fail(error)
            raise error
        self._deliver_result(job, task)

    def _deliver_result(self, job: QueuedJob, task: asyncio.Future[Any]) -> None:
        error = task.exception()
        if error is None:
            if not job.future.done():
                job.future.set_result(task.result())
            return
        if isinstance(error, errors.TargetError):
            job.fail(error)
            if not error.code:
                raise error
        elif isinstance(error, errors.RefusedError):
            job.fail(error)
        else:
            # The job may have left a transaction open, so the connection is closed.
            logger.error("job failed", extra={"target": self._target.name}, exc_info=error)
            failure = self._error(f"{type(error).__name__} in a job", sent=True)
            job.fail(failure)
            raise failure from error

    def _fail_queued(self) -> None:
        while not self._jobs.empty():
            self._jobs.get_nowait().fail(self._error("the connection was lost", sent=False))

    def _error(self, message: str, *, sent: bool) -> errors.TargetError:
        return errors.TargetError(message, step="execute", peer=self._target.name, sent=sent)

    def _log(self, message: str, error: errors.TargetError) -> None:
        fields = {"target": self._target.name, "step": error.step, "reason": str(error)}
        logger.info(message, extra=fields)
