"""TCP relay that adds the one-way latency between failure domains."""

import asyncio
import contextlib
import dataclasses
import functools
import selectors
from collections import abc

CHUNK_SIZE = 64 * 1024  # highest number of bytes in one read


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forward:
    """One relayed address.

    Attributes:
        listen: ``host:port`` on which the relay accepts connections.
        target: ``host:port`` to which the relay forwards them.
    """

    listen: str
    target: str


def parse_forward(text: str) -> Forward:
    """Return the forward that ``host:port=host:port`` describes.

    Raises:
        ValueError: The text has another form.
    """
    listen, separator, target = text.partition("=")
    if not (separator and ":" in listen and ":" in target):
        raise ValueError(f"expected host:port=host:port, got {text!r}")
    return Forward(listen=listen, target=target)


def create_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose timers have a resolution of microseconds.

    The default selector rounds its time-outs up to whole milliseconds, which would
    turn a latency of 1.5 ms into 2 ms.
    """
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, delay: float) -> None:
    """Copy a stream; write each chunk ``delay`` seconds after its receipt."""
    loop = asyncio.get_running_loop()
    pending: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

    async def send() -> None:
        while True:
            due, chunk = await pending.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            if not chunk:
                return
            writer.write(chunk)
            await writer.drain()

    async with asyncio.TaskGroup() as group:
        group.create_task(send())
        chunk = b"-"
        while chunk:
            chunk = await reader.read(CHUNK_SIZE)
            pending.put_nowait((loop.time() + delay, chunk))


async def _serve(
    target: str, delay: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    host, _, port = target.rpartition(":")
    with contextlib.closing(writer):
        try:
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        with contextlib.closing(upstream):
            directions = [
                asyncio.ensure_future(_copy(reader, upstream, delay)),
                asyncio.ensure_future(_copy(upstream_reader, writer, delay)),
            ]
            # When one direction ends, both close, as after a failure of the peer.
            _, running = await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            for direction in running:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)


async def run(forwards: abc.Iterable[Forward], delay: float) -> None:
    """Relay connections until cancelled.

    Args:
        forwards: Addresses to accept on and to forward to.
        delay: Latency in seconds that the relay adds in each direction.
    """
    for forward in forwards:
        host, _, port = forward.listen.rpartition(":")
        serve = functools.partial(_serve, forward.target, delay)
        await asyncio.start_server(serve, host, int(port))
    await asyncio.Event().wait()
