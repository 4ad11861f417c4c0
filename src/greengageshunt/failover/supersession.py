"""Cancellation of jobs at a primary whose term has ended or whose owner has changed.

Without it, a request that waits for a connection to a failed primary or for its
answer would wait until its deadline, although the new primary or the new owner
could serve it.
"""

import asyncio
from collections import abc
from typing import Any, TypeVar

from greengageshunt import application, errors, model

_T = TypeVar("_T")
Job = abc.Callable[[Any], abc.Awaitable[_T]]
JobRunner = abc.Callable[[Job[_T]], abc.Awaitable[_T]]


def cancelled_error(code: str, target: str, *, sent: bool) -> errors.RefusedError:
    """Return the error of a request that was cancelled before the primary's answer."""
    return errors.RefusedError(
        errors.Refusal(
            code=code,
            message=f"the request to primary {target!r} was cancelled before the answer arrived",
            outcome=errors.Outcome.UNKNOWN if sent else errors.Outcome.NOT_RUN,
            step="owner",
            peer=target,
        )
    )


class TermWork:
    """Jobs that run at a primary, each with the group record that selected the primary."""

    def __init__(self, *, app: application.Application) -> None:
        self._tasks: dict[asyncio.Task[Any], model.GroupRecord] = {}
        app.events.connect("group-changed", self._cancel_older_terms)

    async def run(self, record: model.GroupRecord, run: JobRunner[_T], job: Job[_T]) -> _T:
        """Run a job at the primary of a record; cancel it when the record's term ends.

        Args:
            record: Group record that selected the primary.
            run: Coroutine function that runs a job as soon as a connection is free.
            job: Coroutine function that takes the connection.

        Raises:
            RefusedError: A later term began, or this entry VM no longer owns the
                target. The outcome is ``not_run`` if the job had not started, and
                ``unknown`` otherwise.
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
            raise cancelled_error(code, record.primary, sent=sent) from None
        finally:
            self._tasks.pop(task, None)

    def cancel_jobs_at(self, target: str) -> None:
        """Cancel the jobs at a target that this entry VM no longer owns."""
        for task, record in list(self._tasks.items()):
            if record.primary == target:
                task.cancel("owner_changed")

    def _cancel_older_terms(self, newer: model.GroupRecord) -> None:
        for task, record in list(self._tasks.items()):
            if record.group == newer.group and record.term < newer.term:
                task.cancel("term_changed")


def setup(app: application.Application) -> None:
    """Register the cancellation of jobs of ended terms."""
    app.add_part("failover", "term-work", lambda app: TermWork(app=app))
