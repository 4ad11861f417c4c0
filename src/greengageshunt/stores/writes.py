"""Conditional writes of rows that are repeated safely after a lost response."""

import asyncio
import dataclasses
from typing import Any

from returns import result

from greengageshunt import errors

ATTEMPTS = 5
RETRY_DELAY = 0.2  # seconds between a failed attempt and the next one


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteConflict:
    """Another writer changed the row first, so the write had no effect.

    Attributes:
        key: Key of the row.
    """

    key: str


async def write_row(
    platform: Any, key: str, value: Any, etag: str | None
) -> result.Result[Any, WriteConflict]:
    """Write a row if its version is still ``etag``; read it back if the outcome is unknown.

    A row that is read back with an equal value counts as written. The value must therefore
    differ from that of any other writer, or it must not matter which of them wrote it.

    Args:
        platform: Platform client.
        key: Key of the row.
        value: JSON value.
        etag: Version that the row must have; None if it must not exist.

    Returns:
        The row, or a conflict.

    Raises:
        PlatformError: The platform did not respond to the last attempt; the write may have
            taken effect.
    """
    outcome_unknown = False
    for attempt in range(1, ATTEMPTS + 1):
        try:
            if outcome_unknown:
                row = await platform.get_row(key)
                if row is not None and row.value == value:
                    return result.Success(row)
                if (row.etag if row else None) != etag:
                    return result.Failure(WriteConflict(key=key))
            answer = await platform.put_row(key, value, etag)
        except errors.PlatformError as error:
            if attempt == ATTEMPTS:
                raise _unknown(error) from error
            await asyncio.sleep(RETRY_DELAY)
        else:
            if hasattr(answer, "etag"):
                return result.Success(answer)
        # After an error, the write may have taken effect, or may still do so. A conflict may
        # come from an earlier attempt of this call, or from a request that arrived twice.
        outcome_unknown = True
    return result.Failure(WriteConflict(key=key))


def _unknown(error: errors.PlatformError) -> errors.PlatformError:
    return errors.PlatformError(str(error), step=error.step, peer=error.peer, effect_unknown=True)
