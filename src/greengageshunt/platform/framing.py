"""Lines of the line protocol: where one ends, and how its text is decoded and encoded.

A line ends at CR LF and nowhere else; a CR or LF alone is part of its last field. Bytes that are
not UTF-8 are kept as surrogate escapes, so that each text is sent on with the bytes it arrived
with.
"""

import asyncio

LINE_LIMIT = 2**20  # bytes of one line without its end, from a caller or a target

LINE_END = b"\r\n"

# Maps bytes that are not UTF-8 to lone surrogates, and these back to the same bytes.
_BYTES_AS_SURROGATES = "surrogateescape"


class WireError(Exception):
    """What was read or is to be sent is not a valid message of the protocol."""


async def read_line(reader: asyncio.StreamReader) -> bytes | None:
    """Return the next line without its end, or None at the end of the connection.

    Args:
        reader: Reader with ``LINE_LIMIT`` as its limit.

    Raises:
        WireError: The line is longer than ``LINE_LIMIT``, or the connection ends inside it.
        OSError: The connection failed.
    """
    try:
        line = await reader.readuntil(LINE_END)
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise WireError("the connection ended inside a line") from error
    except asyncio.LimitOverrunError as error:
        raise WireError(f"the line is longer than {LINE_LIMIT} bytes") from error
    return line[: -len(LINE_END)]


def decode(line: bytes) -> str:
    """Return the text of a line; ``encode`` turns it into the same bytes."""
    return line.decode("utf-8", _BYTES_AS_SURROGATES)


def encode(*fields: str) -> bytes:
    """Return a line, with its end, of fields that are separated by blanks.

    Args:
        fields: Fields; only the last one may contain blanks.

    Raises:
        WireError: The fields do not fit into one line, or would be read as other fields.
    """
    if any(not field or " " in field for field in fields[:-1]):
        raise WireError(f"a field of {fields[0][:20]} is empty or contains a blank")
    line = " ".join(fields).encode("utf-8", _BYTES_AS_SURROGATES)
    if LINE_END in line:
        raise WireError(f"a field of {fields[0][:20]} contains the end of a line")
    if len(line) > LINE_LIMIT:
        raise WireError(f"the line {fields[0][:20]} is longer than {LINE_LIMIT} bytes")
    return line + LINE_END
