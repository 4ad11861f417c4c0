"""End of work at a primary whose term has been superseded.

A request that waits for a connection or an answer of a failed primary would
wait until its deadline, although the new primary could serve it.
"""

import asyncio
from collections import abc
from typing import Any, TypeVar

from greengageshunt import application, errors, model

_T = TypeVar("_T")
Job = abc.Callable[[Any], abc.Awaitable[_T]]
Run = abc.Callable[[Job[_T]], abc.Awaitable[_T]]


def superseded(target: str, term: int, *, sent: bool) -> errors.RefusedError:
    """Return the error of a request whose term ended before its answer came."""
    return errors.RefusedError(
        errors.Refusal(
            code="term_changed",
            message=f"term {term} ended before the answer of its primary",
            outcome=errors.Outcome.UNKNOWN if sent else errors.Outcome.NOT_RUN,
            step="owner",
            peer=target,
        )
    )


class TermWork:
    """Tasks that wait for the primary of a group, by group and term."""

    def __init__(self, *, app: application.Application) -> None:
        self._tasks: dict[tuple[str, int], set[asyncio.Task[Any]]] = {}
        app.events.connect("group-changed", self._end_older)

    async def run(self, record: model.GroupRecord, run: Run[_T], job: Job[_T]) -> _T:
        """Run a job at the primary of a record until the record's term ends.

        Args:
            record: Record under which the request was sent to its primary.
            run: Runs a job on a connection when one is free.
            job: Coroutine function that takes the connection.

        Raises:
            RefusedError: A later term began; ``not_run`` if the job had not started.
        """
        sent = False

        async def send(connection: Any) -> _T:
            nonlocal sent
            sent = True
            return await job(connection)

        task = asyncio.ensure_future(run(send))
        tasks = self._tasks.setdefault((record.group, record.term), set())
        tasks.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                raise
            raise superseded(record.primary, record.term, sent=sent) from None
        finally:
            tasks.discard(task)
            if not tasks:
                self._tasks.pop((record.group, record.term), None)

    def _end_older(self, record: model.GroupRecord) -> None:
        for (group, term), tasks in list(self._tasks.items()):
            if group == record.group and term < record.term:
                for task in tasks:
                    task.cancel()


def setup(app: application.Application) -> None:
    """Register the end of superseded work."""
    app.add_part("failover", "term-work", lambda app: TermWork(app=app))
