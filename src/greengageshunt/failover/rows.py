"""Updates of group rows at the platform: intents of promoters and completed promotions."""

import asyncio
import logging
from typing import Any

from greengageshunt import codec, errors, logs, model
from greengageshunt.stores import polling, rows

logger = logging.getLogger(__name__)

RETRY_DELAY = 0.25  # seconds between attempts while the platform does not answer


def _key(group: str) -> str:
    return f"{polling.GROUP_ROW_PREFIX}{group}"


async def store_intent(
    platform: Any, record: model.GroupRecord, intent: model.Intent
) -> model.GroupRecord | None:
    """Write a promoter's intent to the group's row with a conditional write.

    Args:
        platform: Platform client.
        record: Record on which the promotion is based.
        intent: Intent of the promoter.

    Returns:
        The stored record if it conflicts with the intent: it has a newer term, or
        an intent of another promoter for the same or a newer term. None if the
        intent was written or the group has no row.

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
        updated = codec.to_plain(stored.changed(intent=intent))
        if isinstance(await platform.put_row(row.key, updated, row.etag), rows.Row):
            return None


async def store_promotion(platform: Any, record: model.GroupRecord) -> None:
    """Store a promotion in the group's row; retry until the platform answers.

    Each attempt reads the row first. So a write whose answer was lost is not
    repeated, and a newer promotion is never overwritten.
    """
    while True:
        try:
            if await _try_store(platform, record):
                return
        except (errors.PlatformError, ValueError) as error:
            fields = {"group": record.group, "term": record.term, "reason": str(error)}
            logger.warning("group row not completed yet", extra=fields)
            await asyncio.sleep(RETRY_DELAY)


async def _try_store(platform: Any, record: model.GroupRecord) -> bool:
    """Try to store a promotion once; return whether it is known to be stored."""
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
    completed = stored.changed(
        term=record.term,
        primary=record.primary,
        history=record.history,
        intent=None,
        requested_primary="",
    )
    # The next attempt reads the row to find out whether this conditional write succeeded.
    await platform.put_row(row.key, codec.to_plain(completed), row.etag)
    return False
