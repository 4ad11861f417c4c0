"""Stand-in of a service: a primary and replicas that speak the line protocol."""

import asyncio
import contextlib
import json
from collections import abc

from standins import store as store_module

HANDSHAKE_SECONDS = 0.012  # time that a new connection takes
REPLICA_LAG = 0.02  # time from a commit until the replicas have it
PROMOTE_SECONDS = 1.0  # time from an order until the named instance leads
HEARTBEAT_SECONDS = 1.2


class Instance:
    """One instance: its log, its connections and its entry in the store."""

    def __init__(self, *, service: "Service", name: str, zone: str) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.address = ""
        self.stopped = False
        self.deaf = False
        self.log: list[tuple[int, str, str]] = []
        self.connections = 0
        self.slots = asyncio.Semaphore(service.slots)
        self.signatures = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._beats: asyncio.Task[None] | None = None

    @property
    def primary(self) -> bool:
        """Whether the instance leads the service."""
        return self.service.primary is self

    @property
    def position(self) -> str:
        """Position of the log, as TERM.NUMBER."""
        return f"{self.log[-1][0] if self.log else 1}.{len(self.log)}"

    async def start(self) -> None:
        """Serve on a free loopback port, and register in the store."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Close the port and all connections, and remove the entry."""
        self.stopped = True
        if self._server is not None:
            self._server.close()
        for task in (*self._tasks, *([self._beats] if self._beats else [])):
            task.cancel()
        self.service.store.delete("servers", self.name)

    def crash(self) -> None:
        """Close the port and all connections; the entry stays until it lapses."""
        self.stopped = True
        if self._server is not None:
            self._server.close()
        for task in (*self._tasks, *([self._beats] if self._beats else [])):
            task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_SECONDS, self.service.store.delete, "servers", self.name)

    def register(self) -> None:
        """Write the entry to the store."""
        if self.stopped:
            return
        self._sequence += 1
        entry = {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.service.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "db-role": "primary" if self.primary else "replica",
            "sequence": self._sequence,
        }
        self.service.store.put("servers", self.name, json.dumps(entry).encode())

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._session(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _session(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fields = (await reader.readline()).decode().rstrip("\r\n").split(" ")
        if fields[:2] != ["STARTUP", self.service.name] or fields[3:] not in ([], [self.name]):
            writer.write(b"ERROR MISROUTED -\r\n")
            return
        if self.connections >= self.service.max_connections:
            writer.write(b"ERROR CONNLIMIT -\r\n")
            return
        self.connections += 1
        try:
            async with self.slots:
                await asyncio.sleep(HANDSHAKE_SECONDS)
            writer.write(f"READY I {self.position}\r\n".encode())
            session = _Session(instance=self, account=fields[2])
            while line := await reader.readline():
                writer.write(await session.answer(line.decode().rstrip("\r\n")))
                await writer.drain()
        finally:
            self.connections -= 1


class _Session:
    """State of one connection to an instance; a connection that closes rolls back."""

    def __init__(self, *, instance: Instance, account: str) -> None:
        self._instance = instance
        self._account = account
        self._state = "I"
        self._term = 0
        self._writes: list[tuple[str, str]] = []
        self._prepared: dict[str, str] = {}

    def _complete(self, signature: str = "-", rows: str = "") -> bytes:
        ready = f"READY {self._state} {self._instance.position}\r\n"
        return f"{rows}COMPLETE {signature}\r\n{ready}".encode()

    def _error(self, code: str) -> bytes:
        self._state = "E" if self._state in "TE" else "I"
        ready = f"READY {self._state} {self._instance.position}\r\n"
        return f"ERROR {code} {self._instance.name}\r\n{ready}".encode()

    async def answer(self, line: str) -> bytes:
        """Run one message and return its answer."""
        instance = self._instance
        _, statement_id, text = line.split(" ", 2)
        instance.service.arrived.add(statement_id)
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if _order(position) > _order(instance.position):
                return self._error("LAGGING")
        word, _, rest = text.partition(" ")
        if word == "STATUS":
            return self._status()
        if word == "STEPDOWN":
            instance.service.step_down(instance)
            return self._status()
        if word in ("SET", "PREPARE", "RESET", "CLOSE"):
            return self._set_up(word, rest)
        if self._state == "T" and self._term != instance.service.term:
            return self._error("READONLY")
        if word in ("BEGIN", "ROLLBACK"):
            return self._bound(statement_id, word, rest, text)
        return await self._run(statement_id, word, rest, text)

    def _status(self) -> bytes:
        instance = self._instance
        role = "primary" if instance.primary else "replica"
        fields = f"{role} {instance.service.term} {instance.position} 0 0 0 {instance.connections}"
        return self._complete(rows=f"ROW {fields}\r\n")

    def _set_up(self, word: str, rest: str) -> bytes:
        name, _, value = rest.partition(" ")
        if word == "PREPARE":
            self._prepared[name] = value
        elif word == "CLOSE":
            self._prepared.pop(name, None)
        elif word == "RESET":
            self._prepared = {}
        return self._complete()

    def _bound(self, statement_id: str, word: str, rest: str, text: str) -> bytes:
        if word == "ROLLBACK":
            self._state, self._writes = "I", []
            return self._complete()
        if rest != "READ" and not self._instance.primary:
            return self._error("READONLY")
        self._instance.service.note_run(self._instance, statement_id, text, self._account)
        self._state = "T"
        self._term = self._instance.service.term
        return self._complete()

    async def _run(self, statement_id: str, word: str, rest: str, text: str) -> bytes:
        instance = self._instance
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in self._prepared:
                return self._error("NOSTMT")
            word, rest = self._prepared[name].split(" ")[0], arguments
        async with instance.slots:
            await asyncio.sleep(instance.service.work_seconds)
        if word == "WRITE" and not instance.primary:
            return self._error("READONLY")
        instance.service.note_run(instance, statement_id, text, self._account)
        instance.signatures += 1
        signature = f"{instance.name}.{instance.signatures}.{statement_id}"
        if word == "READ":
            data = next((d for _, item, d in reversed(instance.log) if item == rest), "none")
            return self._complete(signature, f"ROW {data}\r\n")
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            self._writes.append((item, data))
            if self._state == "T":
                return self._complete(signature)
        self._state = "I"
        writes, self._writes = self._writes, []
        await instance.service.commit(instance, writes, statement_id)
        return self._complete(signature)


def _order(position: str) -> tuple[int, int]:
    term, _, number = position.partition(".")
    return int(term), int(number)


class Service:
    """A primary, its replicas, and the orders that change which instance leads.

    Args:
        store: Store in which the instances register.
        name: Name of the service.
        zones: Zone of each instance; the first one leads.
        record: Receives the fields of each event.
    """

    def __init__(
        self,
        *,
        store: store_module.Store,
        name: str,
        zones: abc.Sequence[str],
        record: abc.Callable[..., None],
        slots: int = 2,
        max_connections: int = 16,
        work_seconds: float = 0.003,
        sync_replicas: int = 0,
    ) -> None:
        self.store = store
        self.name = name
        self.record = record
        self.slots = slots
        self.max_connections = max_connections
        self.work_seconds = work_seconds
        self.sync_replicas = sync_replicas
        self._received = asyncio.Event()
        self.term = 1
        self.instances = [
            Instance(service=self, name=f"i-{name}{index}", zone=zone)
            for index, zone in enumerate(zones)
        ]
        self.primary: Instance | None = self.instances[0]
        self.arrived: set[str] = set()  # ids of the statements that reached an instance

    async def start(self) -> None:
        """Start all instances."""
        for instance in self.instances:
            await instance.start()

    async def stop(self) -> None:
        """Stop all instances."""
        for instance in self.instances:
            with contextlib.suppress(OSError):
                await instance.stop()

    def note_run(self, instance: Instance, statement_id: str, text: str, account: str) -> None:
        """Record that an instance ran a statement."""
        self.record("run", id=statement_id, instance=instance.name, text=text, account=account)

    async def commit(
        self, instance: Instance, writes: list[tuple[str, str]], statement_id: str
    ) -> None:
        """Append a commit to the log; with ``sync_replicas``, wait until a replica has it."""
        for item, data in writes:
            instance.log.append((self.term, item, data))
        if not writes or instance is not self.primary:
            return
        length = len(instance.log)
        loop = asyncio.get_running_loop()
        loop.call_later(REPLICA_LAG, self._replicate, length)
        while self.sync_replicas and not any(
            len(entry.log) >= length for entry in self._replicas if not entry.stopped
        ):
            await self._received.wait()
        self.record("instance", what="commit", id=statement_id, position=f"{self.term}.{length}")

    @property
    def _replicas(self) -> list[Instance]:
        return [entry for entry in self.instances if entry is not self.primary]

    def _replicate(self, length: int) -> None:
        """Copy the primary's log up to a length to the replicas that receive."""
        if self.primary is None or self.primary.stopped:
            return
        for entry in self._replicas:
            if not entry.deaf and len(entry.log) < length:
                entry.log = self.primary.log[:length]
        self._received.set()
        self._received = asyncio.Event()

    def step_down(self, instance: Instance) -> None:
        """Make a primary a replica."""
        if instance is self.primary:
            self._replicate(len(instance.log))
            self.primary = None
            instance.register()

    async def promote(self, service: str, name: str) -> bool:
        """Carry out an order: make an instance the primary of the next term."""
        instance = next((entry for entry in self.instances if entry.name == name), None)
        if service != self.name or instance is None:
            return False
        if instance is not self.primary:
            asyncio.get_running_loop().call_later(PROMOTE_SECONDS, self._lead, instance)
        return True

    def _lead(self, instance: Instance) -> None:
        self.term += 1
        self.primary = instance
        for entry in self._replicas:
            if not entry.stopped:
                entry.log = list(instance.log)
        self.record("instance", what="leads", id=instance.name, term=self.term)
        for entry in self.instances:
            entry.register()
