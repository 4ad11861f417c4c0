"""Conditional writes of rows whose answer may be lost."""

import asyncio
import dataclasses
from typing import Any

from returns import result

from greengageshunt import errors

ATTEMPTS = 5
RETRY_DELAY = 0.2  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """Another writer changed the row first; nothing was written.

    Attributes:
        key: Key of the row.
    """

    key: str


async def write_row(
    platform: Any, key: str, value: Any, etag: str | None
) -> result.Result[Any, Conflict]:
    """Write a row if it still has the given version, and read it back if in doubt.

    The value must differ from what any other writer would write, or be as good
    as that one's, because an equal value that is read back counts as written.

    Args:
        platform: Platform client.
        key: Key of the row.
        value: JSON value.
        etag: Version that the row must have; None if it must not exist.

    Returns:
        The row, or a conflict.

    Raises:
        PlatformError: The platform gave no answer to the last attempt.
    """
    uncertain = False
    for attempt in range(1, ATTEMPTS + 1):
        try:
            if uncertain:
                row = await platform.get_row(key)
                if row is not None and row.value == value:
                    return result.Success(row)
                if (row.etag if row else None) != etag:
                    return result.Failure(Conflict(key=key))
            answer = await platform.put_row(key, value, etag)
        except errors.PlatformError as error:
            if attempt == ATTEMPTS:
                raise _unknown(error) from error
            await asyncio.sleep(RETRY_DELAY)
        else:
            if hasattr(answer, "etag"):
                return result.Success(answer)
        # The write may have taken effect, or may still do so. A conflict may be with
        # the own earlier attempt, also with one that the HTTP client repeated by
        # itself after the connection was lost.
        uncertain = True
    return result.Failure(Conflict(key=key))


def _unknown(error: errors.PlatformError) -> errors.PlatformError:
    return errors.PlatformError(str(error), step=error.step, peer=error.peer, effect_unknown=True)
