"""Connections of the failover daemon to the targets of the groups that it watches."""

import asyncio
from collections import abc
from typing import Any, TypeVar

from greengageshunt import application, errors, model

_T = TypeVar("_T")


class TargetLink:
    """A connection to a target that is opened on first use and reopened after a failure."""

    def __init__(self, *, app: application.Application, target: model.Target) -> None:
        self._driver = app.selected("driver")
        self._target = target
        self._connection: Any = None
        self._lock = asyncio.Lock()

    @property
    def target(self) -> model.Target:
        """Target of the connection."""
        return self._target

    async def run(self, job: abc.Callable[[Any], abc.Awaitable[_T]]) -> _T:
        """Run a job on the connection; concurrent jobs run one after another.

        Raises:
            TargetError: The target did not answer, or rejected the request.
        """
        async with self._lock:
            if self._connection is None:
                self._connection = await self._driver.connect(self._target)
            try:
                return await job(self._connection)
            except BaseException as error:
                # Only an error with a code proves that the target's answer was read
                # completely, so that the connection can be used again.
                if not (isinstance(error, errors.TargetError) and error.code):
                    await self.close()
                raise

    async def close(self) -> None:
        """Close the connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()
