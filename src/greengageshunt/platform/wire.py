"""Encoding of the line protocol between callers, this system and targets."""

from greengageshunt import model
from greengageshunt.pooling import statements

LINE_LIMIT = 2**20  # bytes of one line, from a caller or a target

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


class WireError(Exception):
    """A line is not a valid message of the protocol."""


def decode_line(line: bytes) -> str:
    """Return the text of a line.

    Raises:
        WireError: The line is not terminated, or not UTF-8 text.
    """
    if not line.endswith(b"\n"):
        raise WireError("the line is not terminated")
    try:
        return line.rstrip(b"\r\n").decode()
    except UnicodeDecodeError as error:
        raise WireError("the line is not UTF-8 text") from error


def decode_startup(line: bytes) -> tuple[str, str]:
    """Return the database and the key from a caller's first line.

    Raises:
        WireError: The line is not a ``STARTUP`` message with a database.
    """
    word, _, rest = decode_line(line).partition(" ")
    if word != "STARTUP" or not rest:
        raise WireError("expected STARTUP with a database")
    database, _, key = rest.partition(" ")
    return database, key.strip()


def decode_query(line: bytes) -> statements.Statement | None:
    """Return a caller's statement, or None if the caller ends the session.

    Raises:
        WireError: The line is neither a complete ``QUERY`` nor ``TERMINATE``.
    """
    text = decode_line(line)
    word, _, rest = text.partition(" ")
    if word == "TERMINATE":
        return None
    statement_id, _, query = rest.partition(" ")
    if word != "QUERY" or not statement_id or not query:
        raise WireError(
            f"expected QUERY with an id and a statement, or TERMINATE, got {word[:20]!r}"
        )
    return decode_statement(statement_id, query)


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
    if word == "READ" and count == 2:
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
    if word == "CLOSE" and count == 2:
        return statements.Kind.CLOSE, {"name": words[1]}
    return statements.Kind.MALFORMED, {}


def encode_ready(state: statements.TransactionState) -> bytes:
    """Return a ``READY`` line for a caller; it never contains a position."""
    return f"READY {_STATES[state]} -\r\n".encode()


def decode_state(letter: str) -> statements.TransactionState:
    """Return the state of the transaction that a target's ``READY`` names.

    Raises:
        WireError: It names none.
    """
    state = _STATES_BY_LETTER.get(letter)
    if state is None:
        raise WireError(f"READY with an unknown state {letter[:20]!r}")
    return state


def encode_error(code: str, message: str) -> bytes:
    """Return an ``ERROR`` line for a caller; line breaks in the message become spaces."""
    text = message.replace("\r", " ").replace("\n", " ")
    return f"ERROR {code} {text or '-'}\r\n".encode()


def encode_answer(answer: statements.CallerAnswer) -> bytes:
    """Return all lines of the answer to a caller's statement."""
    if answer.refusal is not None:
        message = answer.refusal.message
        if answer.refusal.retry_after is not None:
            message = f"{message}; retry after {answer.refusal.retry_after * 1000:.0f} ms"
        return encode_error(answer.refusal.code, message) + encode_ready(answer.state)
    complete = f"COMPLETE {answer.signature}\r\n".encode()
    return b"".join((*answer.rows, complete, encode_ready(answer.state)))


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
    term, _, number = text.partition(".")
    if not (term.isdigit() and number.isdigit()):
        raise WireError(f"not a position: {text[:40]!r}")
    return model.Position(term=int(term), offset=int(number))


def encode_query(statement_id: str, text: str, after: model.Position | None = None) -> bytes:
    """Return a ``QUERY`` line for a target.

    Args:
        statement_id: Id of the statement.
        text: Text of the statement.
        after: Position that the target's log must have reached to run it, or None.
    """
    prefix = f"AFTER {encode_position(after)} " if after else ""
    return f"QUERY {statement_id} {prefix}{text}\r\n".encode()


def encode_startup(group: str, account: str, target: str) -> bytes:
    """Return the ``STARTUP`` line of a connection to a target."""
    return f"STARTUP {group} {account} {target}\r\n".encode()
