"""Announcement of a new primary to the proxies of all entry VMs."""

import asyncio
import logging

import websockets
from websockets.asyncio import client

from greengageshunt import model
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

ANNOUNCE_TIMEOUT = 0.5  # seconds
CORRELATION = 1


async def announce(
    sender: str, record: model.GroupRecord, members: tuple[model.Member, ...]
) -> None:
    """Tell the proxies of all members of a group's new record.

    A proxy that is not reached learns the record from its status checks, its
    peers' heartbeats or the platform.
    """
    message = messages.GroupChanged(sender=sender, record=record)
    await asyncio.gather(*(_tell(member, message) for member in members))


async def _tell(member: model.Member, message: messages.GroupChanged) -> None:
    try:
        async with (
            asyncio.timeout(ANNOUNCE_TIMEOUT),
            client.connect(
                f"ws://{member.peer_address}", ping_interval=None, compression=None, proxy=None
            ) as connection,
        ):
            await connection.send(messages.encode(message, CORRELATION))
            await connection.recv()
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        fields = {"peer": member.vm, "reason": str(error) or type(error).__name__}
        logger.info("proxy was not told of a new primary", extra=fields)
