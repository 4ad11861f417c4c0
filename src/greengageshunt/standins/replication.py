"""Asynchronous replication between target stand-ins: JSON lines over TCP.

A replica sends its name, the term of its upstream, and the offset and history of
its log. The primary responds with the offset to which the replica must truncate
its log. It then sends log entries, and a heartbeat line (``alive``) before each
batch and at least every ``REPLICATION_HEARTBEAT_INTERVAL`` seconds. The replica
acknowledges each offset that it has applied.
"""

import asyncio
import contextlib
import json
import logging
import time
from typing import TYPE_CHECKING, Any

from greengageshunt import codec, model
from greengageshunt.standins import storage

if TYPE_CHECKING:
    from greengageshunt.standins import target as target_module

logger = logging.getLogger(__name__)

MAX_ENTRIES_PER_BATCH = 200  # log entries that are sent between two heartbeat lines
RECONNECT_DELAY = 0.05  # seconds until a replica connects to its upstream again

# Seconds. ``upstream_age_ms`` of a replica reaches this value while no entries arrive.
REPLICATION_HEARTBEAT_INTERVAL = 0.1


def _write_line(writer: asyncio.StreamWriter, value: Any) -> None:
    writer.write(json.dumps(value).encode() + b"\n")


async def _read_line(reader: asyncio.StreamReader) -> Any:
    line = await reader.readline()
    if not line:
        raise ConnectionResetError("replication connection closed")
    return json.loads(line)


class Follower:
    """Replicates the log of a primary, in at most one task."""

    def __init__(self, *, target: "target_module.TargetStandin") -> None:
        self._target = target
        self._task: asyncio.Task[None] | None = None
        self._address = ""
        self._term = 0
        self._last_line_at: float | None = None

    def upstream(self, term: int) -> tuple[str, int | None]:
        """Return the address of the upstream, and the age of its last line.

        The age is in milliseconds on the monotonic clock, and None before the first
        line. The address is empty if the target does not replicate in this term.
        """
        if self._task is None or self._term != term:
            return "", None
        if self._last_line_at is None:
            return self._address, None
        return self._address, int((time.monotonic() - self._last_line_at) * 1000)

    def start(self, address: str, term: int) -> None:
        """Replicate from the primary of a term until stopped or until a higher term."""
        self.stop()
        self._address = address
        self._term = term
        self._last_line_at = None
        self._task = asyncio.create_task(self._follow(address, term))

    def stop(self) -> None:
        """Stop the replication, if any."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _follow(self, address: str, term: int) -> None:
        while term >= self._target.term:
            try:
                await self._copy(address, term)
            except OSError as error:
                logger.debug("could not connect to the upstream", extra={"reason": str(error)})
            await asyncio.sleep(RECONNECT_DELAY)

    async def _copy(self, address: str, term: int) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=2**24)
        store = self._target.store
        try:
            history = codec.to_plain(store.history)
            handshake = {
                "replica": self._target.name,
                "term": term,
                "offset": store.offset,
                "history": history,
            }
            _write_line(writer, handshake)
            keep_offset = (await _read_line(reader))["keep"]
            if term < self._target.term:
                # A higher term was accepted meanwhile, and its promoter may count on all
                # entries of this log. So the log must not be truncated.
                return
            if keep_offset < store.offset:
                logger.info("truncating log", extra={"offset": store.offset, "keep": keep_offset})
                store.truncate(keep_offset)
            _write_line(writer, {"applied": keep_offset})
            entries: asyncio.Queue[tuple[float, storage.LogEntry]] = asyncio.Queue()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive(reader, entries))
                group.create_task(self._apply(entries, term, writer))
        except* (OSError, ValueError, KeyError) as error:
            logger.debug("replication interrupted", extra={"reason": str(error.exceptions[0])})
        finally:
            writer.close()

    async def _receive(
        self, reader: asyncio.StreamReader, entries: asyncio.Queue[tuple[float, storage.LogEntry]]
    ) -> None:
        while True:
            line = await _read_line(reader)
            self._last_line_at = time.monotonic()
            if "alive" not in line:
                entry = codec.from_plain(line, storage.LogEntry)
                entries.put_nowait((self._last_line_at, entry))

    async def _apply(
        self,
        entries: asyncio.Queue[tuple[float, storage.LogEntry]],
        term: int,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            received_at, entry = await entries.get()
            due = received_at + self._target.faults.lag
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self._target.wait_not_stalled()
            # After a higher term was accepted, entries of the upstream's term must be
            # neither applied nor acknowledged.
            if term < self._target.term:
                raise ConnectionAbortedError("a higher term was accepted")
            if entry.term > term:
                raise ValueError(f"entry of term {entry.term} came from the primary of {term}")
            self._target.store.apply(entry)
            _write_line(writer, {"applied": entry.offset})
            await self._target.notify_log_changed()


async def serve_replica(
    target: "target_module.TargetStandin",
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send the log to one replica until the connection closes or the term ends.

    Closes the connection without a response unless this target is the writable
    primary of the replica's term.
    """
    try:
        handshake = await _read_line(reader)
        if not target.writable or handshake["term"] != target.term:
            return
        history = codec.from_plain(handshake["history"], tuple[model.TermStart, ...])
        sent = target.store.common_offset(history, handshake["offset"])
        _write_line(writer, {"keep": sent})
        async with asyncio.TaskGroup() as group:
            group.create_task(
                _read_acknowledgements(target, handshake["replica"], reader, handshake["term"])
            )
            group.create_task(_send_entries(target, sent, writer, handshake["term"]))
    except* (OSError, ValueError, KeyError) as error:
        logger.debug("replica disconnected", extra={"reason": str(error.exceptions[0])})
    finally:
        writer.close()


def _is_primary_of(target: "target_module.TargetStandin", term: int) -> bool:
    """Return whether this target is the primary of a term, also if a higher term fences it."""
    return target.role is model.Role.PRIMARY and target.store.history[-1].term == term


async def _wait_entries(target: "target_module.TargetStandin", sent: int) -> None:
    async with target.log_changed:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLICATION_HEARTBEAT_INTERVAL):
                await target.log_changed.wait_for(lambda: target.store.offset > sent)


async def _send_entries(
    target: "target_module.TargetStandin", sent: int, writer: asyncio.StreamWriter, term: int
) -> None:
    while _is_primary_of(target, term):
        _write_line(writer, {"alive": True})
        for entry in target.store.entries_after(sent, MAX_ENTRIES_PER_BATCH):
            _write_line(writer, codec.to_plain(entry))
            sent = entry.offset
        await writer.drain()
        await _wait_entries(target, sent)
    raise ConnectionAbortedError("the target is no longer the primary of this term")


async def _read_acknowledgements(
    target: "target_module.TargetStandin", replica: str, reader: asyncio.StreamReader, term: int
) -> None:
    key = (replica, id(reader))
    try:
        while True:
            applied = (await _read_line(reader))["applied"]
            if not _is_primary_of(target, term):
                return
            target.acknowledge(key, applied)
            await target.notify_log_changed()
    finally:
        target.remove_replica_connection(key)
