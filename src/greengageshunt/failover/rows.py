"""Group rows at the platform: intents of promoters and completed promotions."""

import asyncio
import logging
from typing import Any

from greengageshunt import codec, errors, logs, model
from greengageshunt.stores import polling, rows

logger = logging.getLogger(__name__)

RETRY_DELAY = 0.25  # seconds between tries while the platform does not answer


def _key(group: str) -> str:
    return f"{polling.GROUP_PREFIX}{group}"


async def announce(
    platform: Any, record: model.GroupRecord, intent: model.Intent
) -> model.GroupRecord | None:
    """Write a promoter's intent to the group's row with a conditional write.

    Args:
        platform: Platform client.
        record: Record that the promoter goes by.
        intent: Its intent.

    Returns:
        The stored record that contradicts the intent: it has a newer term, or a
        newer intent of another promoter. None if the intent was written.

    Raises:
        PlatformError: The platform did not answer.
    """
    while True:
        row = await platform.get_row(_key(record.group))
        if row is None:
            return None
        stored = codec.from_plain(row.value, model.GroupRecord)
        if stored.term > record.term:
            return stored
        if stored.intent and stored.intent.term >= intent.term and stored.intent != intent:
            return stored
        wanted = codec.to_plain(stored.changed(intent=intent))
        if isinstance(await platform.put_row(row.key, wanted, row.etag), rows.Row):
            return None


async def complete(platform: Any, record: model.GroupRecord) -> None:
    """Store a promotion in the group's row, however long the platform does not answer.

    The row is read before each try, so a write whose answer was lost is not
    repeated, and a newer promotion is never overwritten.
    """
    while True:
        try:
            if await _store(platform, record):
                return
        except (errors.PlatformError, ValueError) as error:
            fields = {"group": record.group, "term": record.term, "reason": str(error)}
            logger.warning("group row not completed yet", extra=fields)
            await asyncio.sleep(RETRY_DELAY)


async def _store(platform: Any, record: model.GroupRecord) -> bool:
    row = await platform.get_row(_key(record.group))
    if row is None:
        answer = await platform.put_row(_key(record.group), codec.to_plain(record), None)
        return isinstance(answer, rows.Row)
    stored = codec.from_plain(row.value, model.GroupRecord)
    if stored.term >= record.term:
        logs.log_decision(
            logger,
            "group-row-complete",
            group=record.group,
            term=record.term,
            stored_term=stored.term,
        )
        return True
    wanted = stored.changed(
        term=record.term,
        primary=record.primary,
        history=record.history,
        intent=None,
        requested_primary="",
    )
    # The next round reads the row back and ends there.
    await platform.put_row(row.key, codec.to_plain(wanted), row.etag)
    return False
