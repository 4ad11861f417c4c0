"""Notification of the proxies of all entry VMs about a new primary."""

import asyncio
import logging

import websockets
from websockets.asyncio import client

from greengageshunt import model
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

NOTIFICATION_TIMEOUT = 0.5  # seconds for each proxy
CORRELATION_ID = 1  # each connection carries one request only


async def notify_proxies(
    sender: str, record: model.GroupRecord, members: tuple[model.Member, ...]
) -> None:
    """Send a group's new record to the proxies of all members.

    A proxy that cannot be reached receives the record later, through its status
    checks, the heartbeats of its peers or the platform.
    """
    message = messages.GroupChanged(sender=sender, record=record)
    await asyncio.gather(*(_notify(member, message) for member in members))


async def _notify(member: model.Member, message: messages.GroupChanged) -> None:
    try:
        async with (
            asyncio.timeout(NOTIFICATION_TIMEOUT),
            client.connect(
                f"ws://{member.peer_address}", ping_interval=None, compression=None, proxy=None
            ) as connection,
        ):
            await connection.send(messages.encode(message, CORRELATION_ID))
            await connection.recv()
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        fields = {"peer": member.vm, "reason": str(error) or type(error).__name__}
        logger.info("proxy did not acknowledge the new group record", extra=fields)
