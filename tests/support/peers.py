"""Sends peer messages to a proxy."""

import asyncio
import contextlib
import itertools
from collections import abc
from typing import Any

from websockets.asyncio import client

from greengageshunt import model
from greengageshunt.peers import messages

Send = abc.Callable[[Any], abc.Awaitable[Any]]


def read(group: model.GroupRecord, target: str, *, valid_for: float) -> messages.Execute:
    """Return the request to run one read on a target."""
    return messages.Execute(
        group=group.group,
        target=target,
        work=model.Work(
            statement="SELECT 1", parameters={}, write=False, account="account-1", request_id="r"
        ),
        weight=1.0,
        priority=model.Priority.NORMAL,
        timeout=10.0,
        valid_for=valid_for,
        transaction="",
        trace="r",
    )


@contextlib.asynccontextmanager
async def connect(member: model.Member) -> abc.AsyncIterator[Send]:
    """Open a peer link to a proxy, and yield a function that sends a request on it.

    Requests may overlap; each response is matched by its correlation number.
    """
    correlations = itertools.count(1)
    pending: dict[int, asyncio.Future[Any]] = {}
    async with client.connect(
        f"ws://{member.peer_address}", compression=None, proxy=None
    ) as connection:

        async def receive() -> None:
            async for frame in connection:
                correlation, answer = messages.decode(frame)
                pending.pop(correlation).set_result(answer)

        async def send(message: Any) -> Any:
            correlation = next(correlations)
            pending[correlation] = asyncio.get_running_loop().create_future()
            await connection.send(messages.encode(message, correlation))
            return await pending[correlation]

        receiving = asyncio.create_task(receive())
        try:
            yield send
        finally:
            receiving.cancel()
