"""Listens on an address, and tries again while another program has it."""

import asyncio
import logging
from collections import abc
from typing import TypeVar

logger = logging.getLogger(__name__)

_Server = TypeVar("_Server")

# Seconds between two attempts. The former process of the same entry VM may hold the address until
# it has ended.
RETRY_INTERVAL = 0.5


async def listen(
    name: str, address: str, start: abc.Callable[[], abc.Awaitable[_Server]]
) -> _Server:
    """Start a server; wait as long as its address is not available.

    Args:
        name: What the server serves, for the log.
        address: ``host:port``, for the log.
        start: Starts the server; raises OSError while the address is not available.
    """
    failed = False
    while True:
        try:
            server = await start()
        except OSError as error:
            if not failed:
                fields = {"listener": name, "address": address, "reason": str(error)}
                logger.error("address not available", extra=fields)
            failed = True
            await asyncio.sleep(RETRY_INTERVAL)
            continue
        if failed:
            logger.warning("address available", extra={"listener": name, "address": address})
        return server
