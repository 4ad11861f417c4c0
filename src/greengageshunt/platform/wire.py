"""Encoding of the line protocol between callers, this system and targets."""

import asyncio
import re

from greengageshunt import model
from greengageshunt.platform import framing
from greengageshunt.pooling import statements

_POSITION = re.compile(r"([0-9]{1,18})\.([0-9]{1,18})")

# Statements that may grow on their way to a target, by the position that its log must contain or by
# the target's name of a prepared statement, and the longest line of a caller that still fits then.
_GROWING_KINDS = (statements.Kind.READ, statements.Kind.PREPARE, statements.Kind.EXECUTE)
_GROWING_LINE_LIMIT = framing.LINE_LIMIT - 64

# State of the transaction in a READY line.
_STATES = {
    statements.TransactionState.NONE: "I",
    statements.TransactionState.OPEN: "T",
    statements.TransactionState.FAILED: "E",
}

_STATES_BY_LETTER = {letter: state for state, letter in _STATES.items()}

# Statements that have no fields.
_STATEMENTS_WITHOUT_FIELDS = {
    "BEGIN": statements.Kind.BEGIN,
    "BEGIN READ": statements.Kind.BEGIN_READ,
    "COMMIT": statements.Kind.COMMIT,
    "ROLLBACK": statements.Kind.ROLLBACK,
}


def decode_startup(line: bytes) -> tuple[str, str]:
    """Return the database and the key from a caller's first line.

    Raises:
        WireError: The line is not a ``STARTUP`` message with a database.
    """
    word, _, rest = framing.decode(line).partition(" ")
    database, _, key = rest.partition(" ")
    if word != "STARTUP" or not database:
        raise framing.WireError("expected STARTUP with a database")
    return database, key


def decode_query(line: bytes) -> statements.Statement | None:
    """Return a caller's statement, or None if the caller ends the session.

    Raises:
        WireError: The line is neither a ``QUERY`` with an id nor ``TERMINATE``.
    """
    word, _, rest = framing.decode(line).partition(" ")
    if word == "TERMINATE":
        return None
    statement_id, _, query = rest.partition(" ")
    if word != "QUERY" or not statement_id:
        raise framing.WireError(f"expected QUERY with an id, or TERMINATE, got {word[:20]!r}")
    statement = decode_statement(statement_id, query)
    if statement.kind in _GROWING_KINDS and len(line) > _GROWING_LINE_LIMIT:
        return statements.Statement(id=statement_id, kind=statements.Kind.MALFORMED, text=query)
    return statement


def decode_statement(statement_id: str, text: str) -> statements.Statement:
    """Parse the text of a statement; the result contains the text unchanged.

    A text that is no statement of callers has the kind ``MALFORMED``. Among these are the
    commands that only this system may send to targets.
    """
    words = text.split(" ", 3)
    kind, fields = _decode_words(words, text)
    return statements.Statement(id=statement_id, kind=kind, text=text, **fields)


def _decode_words(words: list[str], text: str) -> tuple[statements.Kind, dict[str, str]]:
    word, count = words[0], len(words)
    if word == "READ" and count >= 2:
        return statements.Kind.READ, {}
    if word == "WRITE" and count >= 3:
        return statements.Kind.WRITE, {}
    if word == "EXECUTE" and count >= 3:
        arguments = text.split(" ", 2)[2]
        return statements.Kind.EXECUTE, {"name": words[1], "arguments": arguments}
    if text in _STATEMENTS_WITHOUT_FIELDS:
        return _STATEMENTS_WITHOUT_FIELDS[text], {}
    return _decode_setup(words, text)


def _decode_setup(words: list[str], text: str) -> tuple[statements.Kind, dict[str, str]]:
    word, count = words[0], len(words)
    if word == "SET" and count >= 3:
        return statements.Kind.SET, {"name": words[1], "value": text.split(" ", 2)[2]}
    if word == "PREPARE" and count == 4 and words[2] in ("READ", "WRITE"):
        return statements.Kind.PREPARE, {"name": words[1], "shape": f"{words[2]} {words[3]}"}
    if word == "CLOSE" and count >= 2:
        return statements.Kind.CLOSE, {"name": text.split(" ", 1)[1]}
    return statements.Kind.MALFORMED, {}


def encode_ready(state: statements.TransactionState) -> bytes:
    """Return a ``READY`` line for a caller; it never contains a position."""
    return framing.encode("READY", _STATES[state], "-")


def decode_ready(
    fields: str,
) -> tuple[statements.TransactionState, model.Position | None]:
    """Return the state of the transaction and the log position of a target's ``READY``.

    Raises:
        WireError: The fields name no state, or an invalid position.
    """
    letter, _, position = fields.partition(" ")
    state = _STATES_BY_LETTER.get(letter)
    if state is None:
        raise framing.WireError(f"READY with an unknown state {letter[:20]!r}")
    return state, decode_position(position)


async def read_answer(reader: asyncio.StreamReader) -> statements.TargetAnswer | None:
    """Read an answer of a target, up to its ``READY``; return None at the end of the connection.

    A ``READY`` alone, as after ``STARTUP``, has neither a signature nor a code.

    Raises:
        WireError: The lines are no answer, or the connection ended inside one.
        OSError: The connection failed.
    """
    rows: list[bytes] = []
    signature, code, message = "", "", ""
    while (line := await framing.read_line(reader)) is not None:
        word, _, rest = framing.decode(line).partition(" ")
        complete = bool(signature or code)
        if word == "ROW" and not complete:
            rows.append(line)
        elif word == "COMPLETE" and not complete and rest and " " not in rest:
            signature = rest
        elif word == "ERROR" and not complete and rest.partition(" ")[0]:
            code, _, message = rest.partition(" ")
        elif word == "READY" and (complete or not rows):
            state, position = decode_ready(rest)
            return statements.TargetAnswer(
                rows=tuple(rows),
                signature=signature,
                code=code,
                message=message,
                state=state,
                position=position,
            )
        else:
            raise framing.WireError(f"unexpected message {word[:20]!r}")
    if rows or signature or code:
        raise framing.WireError("the connection ended inside an answer")
    return None


def encode_error(code: str, message: str) -> bytes:
    """Return an ``ERROR`` line for a caller; line breaks in the message become spaces."""
    text = message.replace("\r", " ").replace("\n", " ")
    return framing.encode("ERROR", code, text or "-")


def encode_answer(answer: statements.CallerAnswer) -> bytes:
    """Return all lines of the answer to a caller's statement."""
    if answer.refusal is not None:
        message = answer.refusal.message
        if answer.refusal.retry_after is not None:
            message = f"{message}; retry after {answer.refusal.retry_after * 1000:.0f} ms"
        return encode_error(answer.refusal.code, message) + encode_ready(answer.state)
    rows = b"".join(row + framing.LINE_END for row in answer.rows)
    return rows + framing.encode("COMPLETE", answer.signature) + encode_ready(answer.state)


def encode_position(position: model.Position) -> str:
    """Return a position as ``TERM.NUMBER``."""
    return f"{position.term}.{position.offset}"


def decode_position(text: str) -> model.Position | None:
    """Return the position of ``TERM.NUMBER``, or None for ``-``.

    Raises:
        WireError: The text is neither a position nor ``-``.
    """
    if text == "-":
        return None
    parts = _POSITION.fullmatch(text)
    if parts is None:
        raise framing.WireError(f"not a position: {text[:40]!r}")
    return model.Position(term=int(parts[1]), offset=int(parts[2]))


def encode_query(statement_id: str, text: str, after: model.Position | None = None) -> bytes:
    """Return a ``QUERY`` line for a target.

    Args:
        statement_id: Id of the statement.
        text: Text of the statement.
        after: Position that the target's log must have reached to run it, or None.

    Raises:
        WireError: The text contains the end of a line, or is too long for one.
    """
    if after is None:
        return framing.encode("QUERY", statement_id, text)
    return framing.encode("QUERY", statement_id, "AFTER", encode_position(after), text)


def encode_startup(group: str, account: str, target: str) -> bytes:
    """Return the ``STARTUP`` line of a connection to a target.

    Raises:
        WireError: A name contains a blank or the end of a line.
    """
    return framing.encode("STARTUP", group, account, target)
