"""Driver for targets that use the line protocol."""

import asyncio
import dataclasses
import logging
import socket
from collections import abc

from greengageshunt import application, errors, logs, model
from greengageshunt.coordination import records
from greengageshunt.platform import framing, wire
from greengageshunt.pooling import answers, statements

logger = logging.getLogger(__name__)

# Id of statements that this system sends on its own behalf.
_INTERNAL_STATEMENT_ID = "-"

_NO_TRANSACTION = statements.TransactionState.NONE
_OPEN_TRANSACTION = statements.TransactionState.OPEN

# Statements that a target answers with a signature.
_SIGNED_STATEMENTS = frozenset({"READ", "WRITE", "EXECUTE", "COMMIT"})

# Milliseconds after which the kernel closes a connection whose sent data is not acknowledged.
TCP_USER_TIMEOUT_MS = 3000


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetStatus:
    """Status that a target reports.

    Attributes:
        primary: Whether the target is the primary of its group.
        term: Term in which the target is primary or replica.
        position: Last log position that the target has received.
    """

    primary: bool
    term: int
    position: model.Position | None


class LineConnection:
    """One connection to a target; one task uses it at a time."""

    def __init__(
        self,
        *,
        entry: records.TargetEntry,
        account: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        report: abc.Callable[[answers.UnexpectedAnswer], None],
    ) -> None:
        self._entry = entry
        self._account = account
        self._reader = reader
        self._writer = writer
        self.session_values: dict[str, str] = {}
        self.prepared_statements: dict[str, str] = {}
        self.position: model.Position | None = None
        self.used_at = 0.0
        self._idle = True
        self._report = report
        self._history = answers.AnswerHistory()

    @property
    def entry(self) -> records.TargetEntry:
        """Target to which the connection leads."""
        return self._entry

    @property
    def account(self) -> str:
        """Client account to which the connection belongs."""
        return self._account

    @property
    def closed(self) -> bool:
        """Whether either end has closed the connection."""
        return self._reader.at_eof() or self._writer.is_closing()

    @property
    def idle(self) -> bool:
        """Whether no transaction is open and no answer is awaited."""
        return self._idle

    async def run(
        self,
        statement_id: str,
        text: str,
        *,
        timeout: float,
        after: model.Position | None = None,
    ) -> statements.TargetAnswer:
        """Run one statement and return the complete answer.

        Args:
            statement_id: Id of the statement.
            text: Text of the statement.
            timeout: Seconds to wait for the complete answer.
            after: Position that the target's log must have reached, or None.

        Raises:
            TargetError: The answer is missing or incomplete; the connection is closed. Its
                ``code`` is ``TIMEOUT`` after a time-out.
        """
        step = text.partition(" ")[0].lower()
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(wire.encode_query(statement_id, text, after))
                return await self._read_answer(text)
        except TimeoutError as error:
            self.abort()
            raise self._error(f"no answer in {timeout:.3f} s", step, code="TIMEOUT") from error
        except (OSError, framing.WireError) as error:
            self.abort()
            raise self._error(str(error) or type(error).__name__, step) from error
        except asyncio.CancelledError:
            self.abort()
            raise

    async def apply_session_state(
        self, values: abc.Mapping[str, str], shapes: abc.Collection[str], timeout: float
    ) -> None:
        """Set exactly these session values on the connection, and prepare statements.

        If the connection has a value that the session lacks, a ``RESET`` comes first, which
        also drops the prepared statements.

        Args:
            values: Values of the session.
            shapes: Shapes of the statements that must be prepared.
            timeout: Seconds to wait for all answers.

        Raises:
            TargetError: The target rejected a command, or its answers are incomplete; the
                connection is closed.
        """
        commands = []
        if not self.session_values.keys() <= values.keys():
            commands.append("RESET")
            self.session_values, self.prepared_statements = {}, {}
        for name, value in values.items():
            if self.session_values.get(name) != value:
                commands.append(f"SET {name} {value}")
        names = {
            shape: f"p{len(self.prepared_statements) + i}"
            for i, shape in enumerate(
                shape for shape in shapes if shape not in self.prepared_statements
            )
        }
        commands.extend(f"PREPARE {name} {shape}" for shape, name in names.items())
        if not commands:
            return
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(
                    b"".join(wire.encode_query(_INTERNAL_STATEMENT_ID, text) for text in commands)
                )
                received = [await self._read_answer(text) for text in commands]
        except (OSError, framing.WireError, TimeoutError) as error:
            self.abort()
            raise self._error(str(error) or type(error).__name__, "set up") from error
        except asyncio.CancelledError:
            self.abort()
            raise
        rejected = [answer for answer in received if answer.code]
        if rejected:
            self.abort()
            raise self._error(f"{rejected[0].code} {rejected[0].message}", "set up")
        self.session_values = dict(values)
        self.prepared_statements.update(names)

    async def status(self, timeout: float) -> TargetStatus:
        """Request the target's status.

        Raises:
            TargetError: The target did not answer, or refused.
        """
        return await self._run_command("STATUS", timeout)

    async def step_down(self, term: int, timeout: float) -> TargetStatus:
        """Demote the target to a replica if it is a primary of a term below ``term``.

        Raises:
            TargetError: The target did not answer, or refused.
        """
        return await self._run_command(f"STEPDOWN {term}", timeout)

    async def _run_command(self, text: str, timeout: float) -> TargetStatus:
        answer = await self.run(_INTERNAL_STATEMENT_ID, text, timeout=timeout)
        step = text.partition(" ")[0].lower()
        if answer.code or not answer.rows:
            raise self._error(answer.message or "answer has no row", step, code=answer.code)
        try:
            fields = framing.decode(answer.rows[0]).split(" ")
            role, term, position = fields[1], int(fields[2]), wire.decode_position(fields[3])
        except (IndexError, ValueError, framing.WireError) as error:
            raise self._error(f"row of the answer cannot be decoded: {error}", step) from error
        return TargetStatus(primary=role == "primary", term=term, position=position)

    def abort(self) -> None:
        """Close the connection at once; the target rolls back its open transaction."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection once all written data has been sent."""
        self._writer.close()

    def _awaited(self, text: str) -> answers.Awaited:
        """Return what the success of a statement looks like."""
        word = text.partition(" ")[0]
        state = _NO_TRANSACTION if self._idle else _OPEN_TRANSACTION
        if word in _SIGNED_STATEMENTS:
            after = _NO_TRANSACTION if word == "COMMIT" else state
            return answers.Awaited(kind=answers.Kind.SIGNED, state=after)
        if word == "BEGIN":
            return answers.Awaited(kind=answers.Kind.BEGIN, state=_OPEN_TRANSACTION)
        if word in ("STATUS", "STEPDOWN"):
            return answers.Awaited(kind=answers.Kind.STATUS, state=state)
        return answers.Awaited(
            kind=answers.Kind.SETUP, state=_NO_TRANSACTION if word == "ROLLBACK" else state
        )

    def _check_origin(
        self, text: str, awaited: answers.Awaited, answer: statements.TargetAnswer
    ) -> None:
        """Log and count an answer that may not belong to the statement."""
        origin = self._history.judge(awaited, answer)
        if origin is answers.Origin.OWN:
            return
        logs.log_decision(
            logger,
            "unexpected-answer",
            level=logging.WARNING,
            target=self._entry.target,
            account=self._account,
            statement=text.partition(" ")[0],
            origin=origin.value,
            code=answer.code,
            signature=answer.signature,
            answers=self._history.size,
        )
        self._report(answers.UnexpectedAnswer(target=self._entry.target, origin=origin))

    async def _read_answer(self, text: str) -> statements.TargetAnswer:
        awaited = self._awaited(text)
        self._idle = False
        answer = await wire.read_answer(self._reader)
        if answer is None:
            raise framing.WireError("the target closed the connection")
        if not answer.signature and not answer.code:
            raise framing.WireError("answer without COMPLETE or ERROR")
        self._idle = answer.state is _NO_TRANSACTION
        self.position = answer.position or self.position
        self._check_origin(text, awaited, answer)
        return answer

    async def start(self) -> None:
        """Start the session at the target.

        Raises:
            TargetError: The target refused; ``code`` is the target's error code.
        """
        entry = self._entry
        self._writer.write(wire.encode_startup(entry.group, self._account, entry.target))
        line = await framing.read_line(self._reader)
        if line is None:
            raise framing.WireError("the target closed the connection")
        word, _, rest = framing.decode(line).partition(" ")
        if word == "ERROR":
            code, _, message = rest.partition(" ")
            raise self._error(f"refused: {message}", "connect", code=code, sent=False)
        if word != "READY":
            raise framing.WireError(f"unexpected message {word[:20]!r}")
        _, self.position = wire.decode_ready(rest)

    def _error(
        self, message: str, step: str, *, code: str = "", sent: bool = True
    ) -> errors.TargetError:
        return errors.TargetError(message, step=step, peer=self._entry.target, sent=sent, code=code)


class LineDriver:
    """Opens connections to targets."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app

    async def connect(
        self, entry: records.TargetEntry, account: str, timeout: float
    ) -> LineConnection:
        """Open a connection that belongs to a client account.

        Raises:
            TargetError: The target refused, or did not answer in time.
        """
        host, _, port = entry.address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    host, int(port), limit=framing.LINE_LIMIT
                )
                tcp_socket = writer.get_extra_info("socket")
                tcp_socket.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
                )
                connection = LineConnection(
                    entry=entry,
                    account=account,
                    reader=reader,
                    writer=writer,
                    report=lambda answer: self._app.events.emit("answer-unexpected", answer),
                )
                await connection.start()
                return connection
        except BaseException as error:
            if writer is not None:
                writer.transport.abort()
            if isinstance(error, (OSError, ValueError, TimeoutError, framing.WireError)):
                raise errors.TargetError(
                    str(error) or type(error).__name__,
                    step="connect",
                    peer=entry.target,
                    sent=False,
                ) from error
            raise


def setup(app: application.Application) -> None:
    """Register the driver."""
    app.add_event("answer-unexpected")
    app.add_part("driver", "lines", lambda app: LineDriver(app=app))
