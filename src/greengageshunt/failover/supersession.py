"""End of work at a primary whose term has been superseded, or whose owner has changed.

A request that waits for a connection or an answer of a failed primary would
wait until its deadline, although the new primary or owner could serve it.
"""

import asyncio
from collections import abc
from typing import Any, TypeVar

from greengageshunt import application, errors, model

_T = TypeVar("_T")
Job = abc.Callable[[Any], abc.Awaitable[_T]]
Run = abc.Callable[[Job[_T]], abc.Awaitable[_T]]


def ended(code: str, target: str, *, sent: bool) -> errors.RefusedError:
    """Return the error of a request that was given up before its answer came."""
    return errors.RefusedError(
        errors.Refusal(
            code=code,
            message=f"the work at primary {target!r} ended before its answer",
            outcome=errors.Outcome.UNKNOWN if sent else errors.Outcome.NOT_RUN,
            step="owner",
            peer=target,
        )
    )


class TermWork:
    """Tasks that wait for a primary, with the record by which they were sent there."""

    def __init__(self, *, app: application.Application) -> None:
        self._tasks: dict[asyncio.Task[Any], model.GroupRecord] = {}
        app.events.connect("group-changed", self._end_older)

    async def run(self, record: model.GroupRecord, run: Run[_T], job: Job[_T]) -> _T:
        """Run a job at the primary of a record until the record's term ends.

        Args:
            record: Record under which the request was sent to its primary.
            run: Runs a job on a connection when one is free.
            job: Coroutine function that takes the connection.

        Raises:
            RefusedError: A later term began or the own VM no longer owns the target;
                ``not_run`` if the job had not started.
        """
        sent = False

        async def send(connection: Any) -> _T:
            nonlocal sent
            sent = True
            return await job(connection)

        task = asyncio.ensure_future(run(send))
        self._tasks[task] = record
        try:
            return await task
        except asyncio.CancelledError as error:
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                raise
            code = str(error.args[0]) if error.args else "target_lost"
            raise ended(code, record.primary, sent=sent) from None
        finally:
            self._tasks.pop(task, None)

    def end_target(self, target: str) -> None:
        """End the work at a target that this entry VM no longer owns."""
        for task, record in list(self._tasks.items()):
            if record.primary == target:
                task.cancel("owner_changed")

    def _end_older(self, newer: model.GroupRecord) -> None:
        for task, record in list(self._tasks.items()):
            if record.group == newer.group and record.term < newer.term:
                task.cancel("term_changed")


def setup(app: application.Application) -> None:
    """Register the end of superseded work."""
    app.add_part("failover", "term-work", lambda app: TermWork(app=app))
