"""Stand-in for a database group whose targets speak the line protocol."""

import asyncio
import contextlib
import dataclasses
import random
import time

REPLICATION_LAG = 0.02  # seconds from a commit to the copy of the log on the replicas

LINE_LIMIT = 2**20  # bytes of a line without its end

# Statements that ``refuse_share`` applies to.
_REFUSABLE_WORDS = ("SET", "PREPARE", "RESET", "BEGIN", "READ", "WRITE", "EXECUTE")


def encode(text: str) -> bytes:
    """Return the bytes of a text; surrogate escapes stand for bytes that are not UTF-8."""
    return text.encode("utf-8", "surrogateescape")


async def read_line(reader: asyncio.StreamReader) -> str | None:
    """Return the next line without its CR LF, or None at the end of the connection."""
    try:
        line = await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError:
        return None
    return line[:-2].decode("utf-8", "surrogateescape")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One statement that a target ran, at ``at`` monotonic seconds on a numbered connection.

    ``shape`` is the prepared shape that an ``EXECUTE`` ran, else empty. ``transaction`` is the
    number of the transaction that was open on the connection, or None.
    """

    statement_id: str
    account: str
    text: str
    values: tuple[tuple[str, str], ...]
    connection: int
    at: float
    shape: str
    transaction: int | None


class LineTarget:
    """One target: its log of (term, item, data) entries, its sessions and the statements it ran.

    Tests set the faults: ``delay`` seconds pass before each statement runs. The next
    ``lose_answers`` statements take effect, but the target drops their response and aborts the
    connection; with ``loses_silently`` it leaves the connection open. While
    ``replication_paused``, a replica receives no log entries.

    ``repeat_share`` of all answers are sent a second time, whole, after ``repeat_delay`` seconds,
    a range; 0 is directly behind the first. ``refuse_share`` of the statements are answered with
    ``BUSY`` and do not run. ``seed`` decides which ones; ``repeat_words`` and ``refuse_words``
    restrict both to statements with these first words, in which ``READY`` stands for the answer
    to STARTUP. ``error_text`` is the text of each error.
    """

    def __init__(self, *, group: "LineGroup", name: str) -> None:
        self.group = group
        self.name = name
        self.log: list[tuple[int, str, str]] = []
        self.runs: list[Run] = []
        self.sessions = 0
        self.peak_sessions = 0
        self.delay = 0.0
        self.lose_answers = 0
        self.loses_silently = False
        self.replication_paused = False
        self.partitioned = False
        self.repeat_share = 0.0
        self.repeat_delay = (0.0, 0.0)
        self.repeat_words: tuple[str, ...] = ()
        self.refuse_share = 0.0
        self.refuse_words: tuple[str, ...] = _REFUSABLE_WORDS
        self.error_text = name
        self.repeated = 0
        self.refused = 0
        self.port = 0
        self._rng = random.Random(name)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._connections = 0

    @property
    def primary(self) -> bool:
        """Whether the target acts as the primary, as a partitioned one does after a promotion."""
        return self.partitioned or self.group.primary == self.name

    def partition(self) -> None:
        """Cut a primary off from its group, so that it does not learn of a later promotion."""
        self.partitioned = self.group.primary == self.name

    def end_partition(self) -> None:
        """End the partition, and roll back writes that a newer primary does not have."""
        self.partitioned = False
        self.group.copy()

    def seed(self, seed: int | str) -> None:
        """Seed the choice of the answers that are repeated and of the statements refused."""
        self._rng = random.Random(f"{seed} {self.name}")

    def refuses(self, word: str) -> bool:
        """Return whether a statement is answered with ``BUSY``, without a run."""
        refused = word in self.refuse_words and self._rng.random() < self.refuse_share
        self.refused += refused
        return refused

    def send(self, writer: asyncio.StreamWriter, word: str, answer: str) -> None:
        """Send the answer to a statement, and at times send it again."""
        data = encode(answer)
        writer.write(data)
        if self.repeat_words and word not in self.repeat_words:
            return
        if self._rng.random() >= self.repeat_share:
            return
        self.repeated += 1
        delay = self._rng.uniform(*self.repeat_delay)
        if delay:
            asyncio.get_running_loop().call_later(delay, _send_again, writer, data)
        else:
            writer.write(data)

    @property
    def position(self) -> str:
        """Position of the last log entry, as ``TERM.LENGTH``."""
        return f"{self.log[-1][0] if self.log else 1}.{len(self.log)}"

    async def start(self, port: int) -> None:
        """Serve on a loopback port."""
        self.port = port
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=LINE_LIMIT)

    async def stop(self) -> None:
        """Crash: close the port and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.LimitOverrunError):
                await self._session(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _session(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fields = (await read_line(reader) or "").split(" ", 3)
        if len(fields) < 3 or fields[:2] != ["STARTUP", self.group.name]:
            self.send(writer, "READY", "ERROR MISROUTED -\r\n")
            return
        if len(fields) > 3 and fields[3] != self.name:
            self.send(writer, "READY", "ERROR MISROUTED -\r\n")
            return
        if self.sessions >= self.group.connection_limit:
            self.send(writer, "READY", "ERROR CONNLIMIT -\r\n")
            return
        self.sessions += 1
        self.peak_sessions = max(self.peak_sessions, self.sessions)
        self._connections += 1
        try:
            session = _Session(target=self, account=fields[2], number=self._connections)
            self.send(writer, "READY", f"READY I {self.position}\r\n")
            while (line := await read_line(reader)) is not None:
                word, statement_id, text = line.split(" ", 2)
                if word != "QUERY":
                    return
                answer = await session.answer(statement_id, text)
                if answer is None and self.loses_silently:
                    continue
                if answer is None:
                    writer.transport.abort()
                    return
                words = text.split(" ")
                self.send(writer, words[2] if words[0] == "AFTER" else words[0], answer)
        finally:
            self.sessions -= 1


def _send_again(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


class _Session:
    """Session values, prepared statements and transaction of one connection.

    The state is ``I`` outside a transaction, ``T`` in one and ``E`` in a failed one.
    """

    def __init__(self, *, target: LineTarget, account: str, number: int) -> None:
        self._target = target
        self._account = account
        self._number = number
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._state = "I"
        self._transactions = 0
        self._writes: list[tuple[str, str]] = []
        self._term = target.group.term

    def _ready(self) -> str:
        return f"READY {self._state} {self._target.position}\r\n"

    def _complete(self, rows: str = "", signature: str = "-") -> str:
        return f"{rows}COMPLETE {signature}\r\n{self._ready()}"

    def _error(self, code: str) -> str:
        if self._state == "T":
            self._state = "E"
        return f"ERROR {code} {self._target.error_text}\r\n{self._ready()}"

    async def answer(self, statement_id: str, text: str) -> str | None:
        target = self._target
        if target.delay:
            await asyncio.sleep(target.delay)
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if not target_has(target, position):
                return self._error("LAGGING")
        word, _, rest = text.partition(" ")
        if self._state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return self._error("MALFORMED")
        if target.refuses(word):
            return self._error("BUSY")
        if word in ("STATUS", "STEPDOWN"):
            return self._run_command(word)
        if word in ("SET", "PREPARE", "RESET", "CLOSE"):
            self._run_setup(word, rest)
            return self._complete()
        if word in ("BEGIN", "ROLLBACK"):
            return self._transaction(word, rest)
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return await self._run(statement_id, word, rest, text)
        return self._error("MALFORMED")

    def _run_command(self, word: str) -> str:
        target, group = self._target, self._target.group
        if word == "STATUS":
            role = "primary" if target.primary else "replica"
            row = f"ROW {role} {group.term} {target.position} 0 0 0 {target.sessions}\r\n"
            return self._complete(row)
        group.primary = "" if group.primary == target.name else group.primary
        row = f"ROW replica {group.term} {target.position} 0 0 0 {target.sessions}\r\n"
        return self._complete(row)

    def _run_setup(self, word: str, rest: str) -> None:
        name, _, value = rest.partition(" ")
        if word == "SET":
            self._values[name] = value
        elif word == "PREPARE":
            self._prepared[name] = value
        elif word == "CLOSE":
            self._prepared.pop(name, None)
        else:
            self._values, self._prepared = {}, {}

    def _transaction(self, word: str, rest: str) -> str:
        if word == "ROLLBACK":
            self._state, self._writes = "I", []
            return self._complete()
        if self._state == "T":
            return self._error("MALFORMED")
        if rest != "READ" and not self._target.primary:
            return self._error("READONLY")
        self._transactions += 1
        self._state, self._term = "T", self._target.group.term
        return self._complete()

    async def _run(self, statement_id: str, word: str, rest: str, text: str) -> str | None:
        target, shape = self._target, ""
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in self._prepared:
                return self._error("NOSTMT")
            shape = self._prepared[name]
            word, rest = shape.split(" ")[0], arguments
        run = Run(
            statement_id=statement_id,
            account=self._account,
            text=text,
            values=tuple(sorted(self._values.items())),
            connection=self._number,
            at=time.monotonic(),
            shape=shape,
            transaction=None if self._state == "I" else self._transactions,
        )
        signature = f"{target.name}.{statement_id}"
        if word == "WRITE":
            if not target.primary:
                return self._error("READONLY")
            item, _, data = rest.partition(" ")
            self._writes.append((item, data))
            target.runs.append(run)
            if self._state == "I":
                self._commit()
        elif word == "COMMIT":
            if self._state != "T" or (self._writes and not target.primary):
                self._state, self._writes = "I", []
                return self._error("ABORTED")
            target.runs.append(run)
            self._state = "I"
            self._commit()
        else:
            target.runs.append(run)
            data = next((d for _, i, d in reversed(target.log) if i == rest), "none")
            return self._apply_response_loss(self._complete(f"ROW {data}\r\n", signature))
        return self._apply_response_loss(self._complete("", signature))

    def _apply_response_loss(self, answer: str) -> str | None:
        if self._target.lose_answers:
            self._target.lose_answers -= 1
            return None
        return answer

    def _commit(self) -> None:
        group = self._target.group
        if group.primary != self._target.name:
            # The target is partitioned, and another one is the primary.
            group.outdated |= {data for _, data in self._writes}
        for item, data in self._writes:
            self._target.log.append((group.term, item, data))
            group.replicate()
        self._writes = []


def target_has(target: LineTarget, position: str) -> bool:
    """Return whether a target's log contains a position."""
    term, _, number = position.partition(".")
    own_term, _, own_number = target.position.partition(".")
    return (int(term), int(number)) <= (int(own_term), int(own_number))


class LineGroup:
    """A primary and its replicas.

    ``rolled_back`` holds the data that a promoted target had not received. ``outdated`` holds
    the data that a partitioned primary committed after another one was promoted.
    """

    def __init__(self, *, name: str, targets: tuple[str, ...], connection_limit: int) -> None:
        self.name = name
        self.connection_limit = connection_limit
        self.term = 1
        self.primary = targets[0]
        self.targets = {target: LineTarget(group=self, name=target) for target in targets}
        self.rolled_back: set[str] = set()
        self.outdated: set[str] = set()

    def replicate(self) -> None:
        """Schedule a copy of the primary's log to the replicas."""
        asyncio.get_running_loop().call_later(REPLICATION_LAG, self.copy)

    def copy(self) -> None:
        """Copy the primary's log to all replicas that it reaches."""
        source = self.targets.get(self.primary)
        if source is None or source.partitioned:
            return
        for target in self.targets.values():
            if target is not source and not target.replication_paused and not target.partitioned:
                target.log = list(source.log)

    def _record_rolled_back(self, name: str) -> None:
        """Record the data that a new primary has not received and that its promotion discards."""
        promoted_log = set(self.targets[name].log)
        for target in self.targets.values():
            self.rolled_back |= {data for *_, data in set(target.log) - promoted_log}

    async def promote(self, name: str) -> bool:
        """Make a target the primary of the next term."""
        if self.primary != name:
            await asyncio.sleep(REPLICATION_LAG)
            self._record_rolled_back(name)
            self.primary = name
            self.term += 1
        return True
