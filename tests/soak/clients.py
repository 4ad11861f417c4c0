"""Clients of a run, which keep their sessions open until the connection fails."""

import asyncio
import random
import time
from collections import abc

from soak import ledger
from support import entry_fleet, texts

DATABASES = ("db_primary", "db_bounded_staleness", "db_read_your_writes")

OPEN_TIMEOUT = 2.0  # seconds to open a session
# Seconds from sending a statement to its response. The proxy's own statement time-out is 2 s.
RESPONSE_TIMEOUT = 8.0
MAX_PAUSE = 0.15  # seconds between operations
PLACES = ("north", "south")
UNUSUAL_SHARE = 0.2  # of items, values and shapes, which end with or contain unusual characters


class Client:
    """One client: writes to its own items and reads the items of all clients."""

    def __init__(
        self,
        *,
        name: str,
        account: str,
        rng: random.Random,
        run_ledger: ledger.Ledger,
        vms: abc.Sequence[entry_fleet.EntryVm],
        items: list[str],
    ) -> None:
        self._name, self._account, self._rng, self._run_ledger = name, account, rng, run_ledger
        self._vms, self._items = vms, items
        self._number = 0
        self._item = ""
        self._new_item()
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._sessions = 0
        self.vm = ""
        self.waiting_since: float | None = None

    def _new_item(self) -> None:
        """Use a new item, since a late write of unknown outcome could reorder the old one."""
        tail = self._tail()
        self._item = f"{self._name}.{self._number}{'' if ' ' in tail else tail}"
        self._items.append(self._item)

    def _tail(self) -> str:
        """Return unusual characters for the end of a field, or at times for its middle."""
        if self._rng.random() >= UNUSUAL_SHARE:
            return ""
        return self._rng.choice(texts.PIECES) + self._rng.choice(("", "y"))

    async def run(self) -> None:
        """Open sessions and use them until cancelled."""
        while True:
            vm = self._rng.choice(self._vms)
            database = self._rng.choice(DATABASES)
            try:
                async with asyncio.timeout(OPEN_TIMEOUT):
                    session = await entry_fleet.Caller.open(vm, database, f"key-{self._account}")
            except (OSError, TimeoutError, AssertionError):
                await asyncio.sleep(0.1)
                continue
            self.vm = vm.name
            self.begin_session()
            try:
                while True:
                    await self._operate(session, database)
                    await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE))
            except (OSError, TimeoutError):
                self.waiting_since = None
            finally:
                session.close()

    def begin_session(self) -> None:
        """Forget the values and prepared statements of the last session."""
        self._values, self._prepared = {}, {}
        self._sessions += 1

    async def _operate(self, session: entry_fleet.Caller, database: str) -> None:
        draw = self._rng.random()
        if draw < 0.1:
            await self._set_up(session)
        elif draw < 0.3:
            await self._transact(session, database)
        elif draw < 0.6:
            await self._write(session)
        else:
            await self._read(session, database, "", time.monotonic())

    async def send(
        self, session: entry_fleet.Caller, text: str, operation: str = ""
    ) -> tuple[list[str], str, str]:
        """Run a statement; return response lines, transaction state, and error code or ``""``."""
        statement_id = session.next_id()
        word, name, *rest = f"{text} ".split(" ", 2)
        self._run_ledger.sent[statement_id] = ledger.SentStatement(
            text=text,
            operation=operation or statement_id,
            account=self._account,
            values=tuple(sorted(self._values.items())),
            shape=self._prepared.get(name, "") if word == "EXECUTE" else "",
        )
        self.waiting_since = time.monotonic()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT):
                lines, state = await session.run(text, statement_id)
        except (OSError, TimeoutError):
            self._run_ledger.unanswered.add(statement_id)
            raise
        self.waiting_since = None
        words = lines[-1].split(" ")
        code = words[1] if words[0] == "ERROR" else ""
        self._run_ledger.codes[code or "ok"] += 1
        if not code:
            self._check_success(statement_id, lines)
        if not code and word in ("SET", "PREPARE"):
            state_of = self._values if word == "SET" else self._prepared
            state_of[name] = rest[0][:-1]
        return lines, state, code

    def _check_success(self, statement_id: str, lines: list[str]) -> None:
        """Record a violation unless a success has the signature and the rows of its statement."""
        sent = self._run_ledger.sent[statement_id]
        word = (sent.shape or sent.text).split(" ")[0]
        signed = word in ("READ", "WRITE", "COMMIT")
        _, _, signature = lines[-1].partition(" ")
        own = signature.endswith(f".{statement_id}") if signed else signature == "-"
        if not own or len(lines) != 1 + (word == "READ"):
            self._run_ledger.failures.append(
                f"MIXED: {sent.text!r} got the response of another statement: {lines}"
            )

    async def _set_up(self, session: entry_fleet.Caller) -> None:
        place = self._rng.choice(PLACES) + self._tail()
        _, _, code = await self.send(session, f"SET place {place}")
        if code:
            raise ConnectionError(code)
        name = f"s{self._rng.randrange(3)}"
        shape = f"WRITE q{self._rng.randrange(4)}{self._tail()}"
        _, _, code = await self.send(session, f"PREPARE {name} {shape}")
        if code:
            raise ConnectionError(code)

    def _next_value(self) -> str:
        self._number += 1
        value = f"{self._name}-{self._number}{self._tail()}"
        self._run_ledger.written[value] = self._item
        return value

    def _write_text(self, value: str) -> str:
        if self._prepared and self._rng.random() < 0.5:
            return f"EXECUTE {self._rng.choice(sorted(self._prepared))} {self._item} {value}"
        return f"WRITE {self._item} {value}"

    async def _write(self, session: entry_fleet.Caller) -> None:
        value = self._next_value()
        try:
            _, _, code = await self.send(session, self._write_text(value))
        except (OSError, TimeoutError):
            self._new_item()
            raise
        self.conclude([value], code)

    def conclude(self, values: abc.Iterable[str], code: str) -> None:
        """Record writes as acknowledged or as without effect, by the code of the last response."""
        if code and code not in ledger.NO_EFFECT_CODES:
            self._new_item()
        for value in values:
            if code in ledger.NO_EFFECT_CODES:
                self._run_ledger.rejected[value] = code
            elif not code:
                self._run_ledger.acknowledged.append(
                    ledger.AcknowledgedWrite(
                        item=self._item,
                        number=ledger.value_number(value),
                        value=value,
                        at=time.monotonic(),
                        session=f"{self._name}/{self._sessions}",
                    )
                )

    async def _read(
        self, session: entry_fleet.Caller, database: str, operation: str, began_at: float
    ) -> str:
        item = self._rng.choice([self._item, self._rng.choice(self._items)])
        lines, _, code = await self.send(session, f"READ {item}", operation)
        if not code:
            value = lines[0].removeprefix("ROW ")
            if value != "none" and self._run_ledger.written.get(value) != item:
                self._run_ledger.failures.append(f"MIXED: READ {item!r} got {value!r}")
            self._run_ledger.reads.append(
                ledger.SuccessfulRead(
                    item=item,
                    number=ledger.value_number(value),
                    began_at=began_at,
                    database="db_primary" if operation else database,
                    session=f"{self._name}/{self._sessions}",
                )
            )
        return code

    async def _transact(self, session: entry_fleet.Caller, database: str) -> None:
        began_at = time.monotonic()
        operation = f"{self._name}:{began_at}"
        values: list[str] = []
        try:
            _, _, code = await self.send(session, "BEGIN", operation)
            if code:
                return
            for _ in range(self._rng.randrange(1, 4)):
                if code:
                    break
                if self._rng.random() < 0.5:
                    values.append(self._next_value())
                    text = self._write_text(values[-1])
                    _, _, code = await self.send(session, text, operation)
                elif not values:
                    code = await self._read(session, database, operation, began_at)
                await asyncio.sleep(self._rng.uniform(0, 0.05))
            word = "ROLLBACK" if code or self._rng.random() < 0.2 else "COMMIT"
            _, _, ended = await self.send(session, word, operation)
        except (OSError, TimeoutError):
            self._new_item()
            raise
        if word == "ROLLBACK":
            self.conclude(values, "ABORTED")
        else:
            self.conclude(values, ended)
