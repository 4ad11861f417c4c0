"""Driver for targets that use the line protocol."""

import asyncio
import dataclasses
import logging
import socket
from collections import abc

from greengageshunt import application, errors, logs, model
from greengageshunt.coordination import records
from greengageshunt.platform import framing, session_setup, wire
from greengageshunt.pooling import answers, statements

logger = logging.getLogger(__name__)

# Id of statements that this system sends on its own behalf.
_INTERNAL_STATEMENT_ID = "-"

_NO_TRANSACTION = statements.TransactionState.NONE

# Statements that a target answers with a signature.
_SIGNED_STATEMENTS = frozenset({"READ", "WRITE", "EXECUTE", "COMMIT"})

_STATUS_STATEMENTS = frozenset({"STATUS", "STEPDOWN"})

# Milliseconds after which the kernel closes a connection whose sent data is not acknowledged.
TCP_USER_TIMEOUT_MS = 3000


# Answers after which a connection is replaced, since it keeps their signatures.
ANSWER_LIMIT = 4096


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


class _Exchange:
    """Statements that were sent together, and their answers so far.

    Attributes:
        received: Answers, in the order of the statements.
        done: Set once all answers have arrived or none can arrive any more.
        failure: Why the answers are incomplete, or an empty string.
        uncertain: Whether the last answer may belong to another statement.
    """

    def __init__(self, *, awaited: tuple[answers.Awaited, ...]) -> None:
        self._awaited = awaited
        self.received: list[statements.TargetAnswer] = []
        self.done = asyncio.Event()
        self.failure = ""
        self.uncertain = False

    @property
    def complete(self) -> bool:
        """Whether all answers have arrived, or an error, after which the others don't matter."""
        ended_early = bool(self.received) and bool(self.received[-1].code)
        return ended_early or len(self.received) == len(self._awaited)

    @property
    def next_awaited(self) -> answers.Awaited | None:
        """Statement whose answer is due next, or None if all have arrived."""
        return None if self.complete else self._awaited[len(self.received)]

    def add(self, answer: statements.TargetAnswer) -> None:
        """Add the answer that is due."""
        self.received.append(answer)
        if self.complete:
            self.done.set()

    def fail(self, failure: str) -> None:
        """End the wait for answers that can't arrive any more."""
        self.failure = failure
        self.done.set()


class LineConnection:
    """One connection to a target; one task uses it at a time, and one reads the answers."""

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
        self._report = report
        self._history = answers.AnswerHistory()
        self._exchange = _Exchange(awaited=())
        self._state = _NO_TRANSACTION
        self._position: model.Position | None = None
        self._setup = session_setup.SessionSetup()
        self._saw_unexpected = False
        self._disputed: statements.TargetAnswer | None = None
        self._reading: asyncio.Task[None] | None = None
        self.used_at = 0.0

    @property
    def entry(self) -> records.TargetEntry:
        """Target to which the connection leads."""
        return self._entry

    @property
    def account(self) -> str:
        """Client account to which the connection belongs."""
        return self._account

    @property
    def session_values(self) -> abc.Mapping[str, str]:
        """Session values that the connection has."""
        return self._setup.values

    @property
    def closed(self) -> bool:
        """Whether either end has closed the connection."""
        ended = self._reading is not None and self._reading.done()
        return ended or self._reader.at_eof() or self._writer.is_closing()

    @property
    def idle(self) -> bool:
        """Whether another statement may use the connection.

        None may while a transaction is open or an answer is awaited, nor after an answer that no
        statement awaited.
        """
        return (
            self._state is _NO_TRANSACTION
            and self._exchange.complete
            and not self._saw_unexpected
            and self._history.size < ANSWER_LIMIT
        )

    def suits(
        self,
        values: abc.Mapping[str, str] | None,
        shapes: abc.Collection[str],
        *,
        transaction: bool,
    ) -> bool:
        """Return whether the answers to an operation can be attributed at less cost than elsewhere.

        ``pooling.answers`` says how they are.

        Args:
            values: Session values of the operation, or None if they don't matter yet.
            shapes: Shapes of the prepared statements that its first statement executes.
            transaction: Whether the operation is a transaction.
        """
        if self._history.outstanding > answers.REUSE_LIMIT:
            return False
        if transaction and not self._history.may_begin(self._position):
            return False
        if values is None:
            return True
        earlier = self._history.earlier
        planned = session_setup.plan(self._setup, values, shapes, earlier=earlier)
        return session_setup.is_cheap(planned, earlier=earlier)

    def prepared_name(self, shape: str) -> str:
        """Return the name under which the connection has prepared a shape."""
        return self._setup.names[shape]

    def forget_prepared(self) -> None:
        """Prepare each statement again before its next use, since the target lacks one."""
        self._setup = dataclasses.replace(self._setup, names={})

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
            UncertainAnswerError: The answer may belong to another statement; the connection is
                closed.
        """
        step = text.partition(" ")[0].lower()
        try:
            message = wire.encode_query(statement_id, text, after)
        except framing.WireError as error:
            raise self._error(str(error), step, sent=False) from error
        awaited = self._make_awaited(statement_id, text)
        received = await self._send(message, (awaited,), step, timeout)
        return received[0]

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
            TargetError: The target rejected a command, or its answers are incomplete or may
                belong to others; the connection is closed.
        """
        planned = session_setup.plan(
            self._setup,
            values,
            shapes,
            earlier=self._history.earlier,
            in_transaction=self._state is not _NO_TRANSACTION,
        )
        if not planned.commands:
            return
        texts = planned.commands + planned.padding
        messages = [wire.encode_query(_INTERNAL_STATEMENT_ID, text) for text in texts]
        awaited = tuple(self._make_awaited(_INTERNAL_STATEMENT_ID, text) for text in texts)
        received = await self._send(b"".join(messages), awaited, "set up", timeout)
        rejected = [answer for answer in received if answer.code]
        if rejected:
            self.abort()
            raise self._error(rejected[0].message, "set up", code=rejected[0].code)
        self._setup = planned.result

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
        if answer.code:
            raise self._error(answer.message, step, code=answer.code)
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

    async def start(self) -> asyncio.Task[None]:
        """Start the session at the target; return a task that reads the answers until it ends.

        Raises:
            TargetError: The target refused; ``code`` is the target's error code.
        """
        entry = self._entry
        self._writer.write(wire.encode_startup(entry.group, self._account, entry.target))
        line = await framing.read_line(self._reader)
        if line is None:
            raise self._error("the target closed the connection", "connect", sent=False)
        word, _, rest = framing.decode(line).partition(" ")
        if word == "ERROR":
            code, _, message = rest.partition(" ")
            raise self._error(f"refused: {message}", "connect", code=code, sent=False)
        if word != "READY":
            raise framing.WireError(f"unexpected message {word[:20]!r}")
        _, self._position = wire.decode_ready(rest)
        self._reading = asyncio.create_task(self._read_answers())
        return self._reading

    def _make_awaited(self, statement_id: str, text: str) -> answers.Awaited:
        """Return what the success of a statement looks like."""
        word = text.partition(" ")[0]
        state = self._state
        if word in _SIGNED_STATEMENTS:
            kind = answers.Kind.SIGNED
            state = _NO_TRANSACTION if word == "COMMIT" else state
        elif word == "BEGIN":
            kind, state = answers.Kind.BEGIN, statements.TransactionState.OPEN
        else:
            kind = answers.Kind.STATUS if word in _STATUS_STATEMENTS else answers.Kind.SETUP
        # In a transaction, all errors but that of COMMIT lead to a roll-back.
        settle_errors = kind is answers.Kind.SIGNED and self._state is _NO_TRANSACTION
        return answers.Awaited(
            statement_id=statement_id, kind=kind, state=state, settle_errors=settle_errors
        )

    async def _send(
        self, message: bytes, awaited: tuple[answers.Awaited, ...], step: str, timeout: float
    ) -> list[statements.TargetAnswer]:
        """Send statements and return their answers; see ``run`` for the errors."""
        if self.closed:
            raise self._failure(self._exchange, step, sent=False)
        self._exchange = exchange = _Exchange(awaited=awaited)
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(message)
                await exchange.done.wait()
        except TimeoutError as error:
            self.abort()
            raise self._error(f"no answer in {timeout:.3f} s", step, code="TIMEOUT") from error
        except asyncio.CancelledError:
            self.abort()
            raise
        if exchange.complete:
            return exchange.received
        raise self._failure(exchange, step, sent=True)

    def _failure(self, exchange: _Exchange, step: str, *, sent: bool) -> errors.TargetError:
        """Return the error for an exchange that ended the connection."""
        kind = errors.UncertainAnswerError if exchange.uncertain else errors.TargetError
        reason = exchange.failure or "the connection is closed"
        return kind(reason, step=step, peer=self._entry.target, sent=sent)

    async def _read_answers(self) -> None:
        """Read answers until the connection ends, and pass each to the statement it belongs to."""
        failure = "the target closed the connection"
        try:
            while (answer := await wire.read_answer(self._reader)) is not None:
                if not self._accept(answer):
                    failure = "an answer may belong to another statement"
                    break
        except (OSError, framing.WireError) as error:
            failure = str(error) or type(error).__name__
        finally:
            self.abort()
            self._exchange.fail(failure)

    def _accept(self, answer: statements.TargetAnswer) -> bool:
        """Take an answer; return whether the answers that follow can be attributed."""
        exchange = self._exchange
        awaited = exchange.next_awaited
        origin = self._history.judge(awaited, answer)
        if origin is answers.Origin.OWN:
            self._state, self._position = answer.state, answer.position
            # An own answer after a disputed error shows that the error was repeated or late.
            self._saw_unexpected |= self._disputed is not None
            exchange.add(answer)
            return True
        if origin is answers.Origin.DISPUTED:
            self._disputed = answer
            self._send_harmless(self._history.settling_answers)
        elif origin is answers.Origin.SETTLED:
            settled, self._disputed = self._disputed, None
            exchange.add(settled)
        elif origin is not answers.Origin.SETTLING:
            self._saw_unexpected = True
            self._log_unexpected(awaited, answer, origin)
            exchange.uncertain = origin is answers.Origin.UNCERTAIN
        return not exchange.uncertain

    def _send_harmless(self, count: int) -> None:
        """Send commands whose answers settle a disputed error."""
        commands = session_setup.harmless_commands(self._setup, count)
        used = self._setup.name_count + count
        self._setup = dataclasses.replace(self._setup, name_count=used)
        for text in commands:
            self._writer.write(wire.encode_query(_INTERNAL_STATEMENT_ID, text))

    def _log_unexpected(
        self,
        awaited: answers.Awaited | None,
        answer: statements.TargetAnswer,
        origin: answers.Origin,
    ) -> None:
        logs.log_decision(
            logger,
            "unexpected-answer",
            level=logging.WARNING,
            target=self._entry.target,
            account=self._account,
            awaited=awaited.kind.value if awaited else "",
            origin=origin.value,
            code=answer.code,
            signature=answer.signature,
            answers=self._history.size,
        )
        self._report(answers.UnexpectedAnswer(target=self._entry.target, origin=origin))

    def _error(
        self, message: str, step: str, *, code: str = "", sent: bool = True
    ) -> errors.TargetError:
        return errors.TargetError(message, step=step, peer=self._entry.target, sent=sent, code=code)


class LineDriver:
    """Opens connections to targets."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        # The event loop keeps only weak references to tasks.
        self._readings: set[asyncio.Task[None]] = set()

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
                reading = await connection.start()
                self._readings.add(reading)
                reading.add_done_callback(self._readings.discard)
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
