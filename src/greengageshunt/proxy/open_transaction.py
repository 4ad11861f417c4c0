"""State of one open transaction at the owner of the primary."""

import asyncio
import dataclasses
from collections import abc
from typing import Any

from greengageshunt.peers import messages
from greengageshunt.proxy import connection as connection_module


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Command:
    """One request to run on the connection of an open transaction.

    Attributes:
        run: Coroutine function that takes the lease of the connection.
        ends: Whether the command ends the transaction, even if the command fails.
        future: Receives the result.
    """

    run: abc.Callable[[connection_module.Lease], abc.Awaitable[Any]]
    ends: bool
    future: asyncio.Future[Any]

    def fail(self, error: Exception) -> None:
        """Raise an error in the task that waits for the result."""
        if not self.future.done():
            self.future.set_exception(error)


class OpenTransaction:
    """Connection of an open transaction and the queue of its commands."""

    def __init__(self, *, begin: messages.TransactionBegin, number: str) -> None:
        self._begin = begin
        self._number = number
        self._commands: asyncio.Queue[Command] = asyncio.Queue()
        self._connection: Any = None
        self._has_written = False

    @property
    def begin(self) -> messages.TransactionBegin:
        """Request that opened the transaction."""
        return self._begin

    @property
    def number(self) -> str:
        """Random identifier of the transaction, unique at its owner."""
        return self._number

    @property
    def has_written(self) -> bool:
        """Whether a writing statement was sent, so that the transaction may hold locks."""
        return self._has_written

    def bind(self, connection: Any) -> None:
        """Record the connection on which the transaction was begun."""
        self._connection = connection

    def is_bound_to(self, connection: Any) -> bool:
        """Return whether the transaction was begun on a connection."""
        return connection is self._connection

    def record_statement(self, *, write: bool) -> None:
        """Record that a statement is about to be sent."""
        self._has_written = self._has_written or write

    def enqueue(self, command: Command) -> None:
        """Add a command to the queue."""
        self._commands.put_nowait(command)

    async def next_command(self) -> Command:
        """Wait for the next command."""
        return await self._commands.get()

    def fail_queued(self, error: Exception) -> None:
        """Fail all commands in the queue."""
        while not self._commands.empty():
            self._commands.get_nowait().fail(error)
