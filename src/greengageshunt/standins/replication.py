"""Asynchronous replication between target stand-ins: JSON lines over TCP.

A replica sends its name, offset and history. The primary answers with the
offset to which the replica must truncate its log, then sends entries. The
replica acknowledges each offset that it has applied.
"""

import asyncio
import json
import logging
from typing import TYPE_CHECKING, Any

from greengageshunt import codec, model
from greengageshunt.standins import storage

if TYPE_CHECKING:
    from greengageshunt.standins import target as target_module

logger = logging.getLogger(__name__)

BATCH = 200  # log entries
RECONNECT_DELAY = 0.05  # seconds


def _write_line(writer: asyncio.StreamWriter, value: Any) -> None:
    writer.write(json.dumps(value).encode() + b"\n")


async def _read_line(reader: asyncio.StreamReader) -> Any:
    line = await reader.readline()
    if not line:
        raise ConnectionResetError("replication connection closed")
    return json.loads(line)


class Follower:
    """Copies the log of a primary, in one task at most."""

    def __init__(self, *, target: "target_module.TargetStandin") -> None:
        self._target = target
        self._task: asyncio.Task[None] | None = None

    def start(self, address: str, term: int) -> None:
        """Copy from the primary of a term until stopped."""
        self.stop()
        self._task = asyncio.create_task(self._follow(address, term))

    def stop(self) -> None:
        """Stop copying."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _follow(self, address: str, term: int) -> None:
        while term >= self._target.term:
            try:
                await self._copy(address, term)
            except (OSError, ValueError) as error:
                logger.debug("replication interrupted", extra={"reason": str(error)})
            await asyncio.sleep(RECONNECT_DELAY)

    async def _copy(self, address: str, term: int) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=2**24)
        store = self._target.store
        try:
            history = codec.to_plain(store.history)
            hello = {
                "replica": self._target.name,
                "term": term,
                "offset": store.offset,
                "history": history,
            }
            _write_line(writer, hello)
            keep = (await _read_line(reader))["keep"]
            if keep < store.offset:
                logger.info("truncating log", extra={"offset": store.offset, "keep": keep})
                store.truncate(keep)
            while True:
                entry = codec.from_plain(await _read_line(reader), storage.LogEntry)
                await asyncio.sleep(self._target.faults.lag)
                await self._target.not_stalled.wait()
                # A raised term ends the copying of older terms before they are acknowledged.
                if term < self._target.term:
                    return
                store.apply(entry)
                _write_line(writer, {"applied": entry.offset})
        finally:
            writer.close()


async def serve_replica(
    target: "target_module.TargetStandin",
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send the log to one replica until either side closes."""
    try:
        hello = await _read_line(reader)
        if not target.writable or hello["term"] != target.term:
            return
        history = codec.from_plain(hello["history"], tuple[model.TermStart, ...])
        sent = target.store.common_offset(history, hello["offset"])
        _write_line(writer, {"keep": sent})
        async with asyncio.TaskGroup() as group:
            group.create_task(_read_acknowledgements(target, hello["replica"], reader))
            group.create_task(_send_entries(target, sent, writer))
    except* (OSError, ValueError, KeyError) as error:
        logger.debug("replica disconnected", extra={"reason": str(error.exceptions[0])})
    finally:
        writer.close()


async def _send_entries(
    target: "target_module.TargetStandin", sent: int, writer: asyncio.StreamWriter
) -> None:
    while True:
        async with target.log_changed:
            while target.store.offset <= sent:
                await target.log_changed.wait()
        for entry in target.store.entries_after(sent, BATCH):
            _write_line(writer, codec.to_plain(entry))
            sent = entry.offset
        await writer.drain()


async def _read_acknowledgements(
    target: "target_module.TargetStandin", replica: str, reader: asyncio.StreamReader
) -> None:
    target.replicas[replica] = 0
    try:
        while True:
            target.replicas[replica] = (await _read_line(reader))["applied"]
            await target.notify_log()
    finally:
        target.replicas.pop(replica, None)
