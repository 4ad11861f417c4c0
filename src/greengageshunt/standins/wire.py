"""Messages of the PostgreSQL protocol, version 3, that the target stand-in supports.

Source: PostgreSQL documentation, "Frontend/Backend Protocol", simple query flow.
"""

import asyncio
import dataclasses
import re
import struct

from greengageshunt import model

PROTOCOL_VERSION = 196608  # 3.0, with the major version in the upper 16 bits
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104

# An escape string literal with its content as group 1, or a standard literal. Standard
# literals match too, so that no escape literal is found inside of one.
_LITERAL = re.compile(r"\bE'((?:[^'\\]|''|\\.)*)'|'(?:[^']|'')*'", re.DOTALL)

_TYPE_OIDS = {bool: 16, int: 20, float: 701, str: 25}


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResultSet:
    """Result of one statement.

    Attributes:
        columns: Column names; empty without a result set.
        rows: Rows of column values.
        tag: Command tag, such as ``SELECT 1``.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[model.Value, ...], ...]
    tag: str


class StatementError(Exception):
    """A statement failed; ``code`` is the SQLSTATE."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


def to_standard_literals(text: str) -> str:
    """Replace escape string literals by standard ones.

    psycopg sends text with backslashes as escape literals, which SQLite lacks.
    """

    def replace(match: re.Match[str]) -> str:
        if match.group(1) is None:
            return match.group(0)
        return "'" + re.sub(r"\\(.)", r"\1", match.group(1), flags=re.DOTALL) + "'"

    return _LITERAL.sub(replace, text)


def message(kind: bytes, payload: bytes) -> bytes:
    """Return a backend message with its kind and length."""
    return kind + struct.pack("!i", len(payload) + 4) + payload


def error(code: str, text: str) -> bytes:
    """Return an ErrorResponse."""
    fields = f"SERROR\0VERROR\0C{code}\0M{text}\0\0"
    return message(b"E", fields.encode())


def ready(in_transaction: bool) -> bytes:
    """Return a ReadyForQuery."""
    return message(b"Z", b"T" if in_transaction else b"I")


def startup_response() -> bytes:
    """Return the messages that a client receives after its password was accepted."""
    parameters = {
        "server_version": "16.0",
        "client_encoding": "UTF8",
        "standard_conforming_strings": "on",
        "DateStyle": "ISO, MDY",
        "integer_datetimes": "on",
    }
    frames = [message(b"R", struct.pack("!i", 0))]
    for name, value in parameters.items():
        frames.append(message(b"S", f"{name}\0{value}\0".encode()))
    frames.append(message(b"K", struct.pack("!ii", 0, 0)))
    frames.append(ready(in_transaction=False))
    return b"".join(frames)


def _text(value: model.Value) -> bytes:
    if isinstance(value, bool):
        return b"t" if value else b"f"
    return str(value).encode()


def _column_oid(rows: tuple[tuple[model.Value, ...], ...], index: int) -> int:
    values = (row[index] for row in rows)
    first = next((value for value in values if value is not None), "")
    return _TYPE_OIDS[type(first)]


def _data_row(row: tuple[model.Value, ...]) -> bytes:
    payload = struct.pack("!h", len(row))
    for value in row:
        if value is None:
            payload += struct.pack("!i", -1)
        else:
            encoded = _text(value)
            payload += struct.pack("!i", len(encoded)) + encoded
    return message(b"D", payload)


def result(result_set: ResultSet) -> bytes:
    """Return the RowDescription, DataRow and CommandComplete messages of a result."""
    frames = []
    if result_set.columns:
        description = struct.pack("!h", len(result_set.columns))
        for index, name in enumerate(result_set.columns):
            oid = _column_oid(result_set.rows, index)
            description += name.encode() + b"\0"
            description += struct.pack("!ihihih", 0, 0, oid, -1, -1, 0)
        frames.append(message(b"T", description))
        frames.extend(_data_row(row) for row in result_set.rows)
    frames.append(message(b"C", result_set.tag.encode() + b"\0"))
    return b"".join(frames)


async def read_startup(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> dict[str, str] | None:
    """Return the startup parameters, or None for a cancel request or another protocol.

    Declines encryption, which loopback connections do not need.
    """
    while True:
        (length,) = struct.unpack("!i", await reader.readexactly(4))
        payload = await reader.readexactly(length - 4)
        (code,) = struct.unpack("!i", payload[:4])
        if code in (SSL_REQUEST, GSS_REQUEST):
            writer.write(b"N")
            continue
        if code != PROTOCOL_VERSION:
            return None
        parts = payload[4:].split(b"\0")
        return {
            parts[i].decode(): parts[i + 1].decode()
            for i in range(0, len(parts) - 2, 2)
            if parts[i]
        }


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return the kind and the payload of a frontend message."""
    header = await reader.readexactly(5)
    (length,) = struct.unpack("!i", header[1:])
    return header[:1], await reader.readexactly(length - 4)


async def request_password(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str:
    """Request the password in clear text, and return the client's response."""
    writer.write(message(b"R", struct.pack("!i", 3)))
    _, payload = await read_message(reader)
    return payload.rstrip(b"\0").decode()
