"""Rows of the control table as parts of the product read and write them."""

import json
from typing import Any

from greengageshunt import application, errors
from greengageshunt.coordination import lease, records, view
from greengageshunt.stores import rows


class ControlRows:
    """Reads from the copy of the store, and writes to the store."""

    def __init__(self, *, app: application.Application) -> None:
        self._store = app.selected("platform")
        self._view: view.StoreView = app.part("coordination", "view")

    async def read_row(self, key: str) -> rows.Reading:
        """Return a row with the time as of which the store held nothing newer.

        Raises:
            PlatformError: The store was not read yet.
        """
        copy = self._view.copy(records.Section.CONTROL)
        if not copy.version:
            raise errors.PlatformError(
                "the store was not read yet", step="read row", peer=key, effect_unknown=False
            )
        row = self._view.row(key)
        if row is None:
            return rows.Reading(row=None, as_of=copy.as_of)
        found = rows.Row(key=key, value=json.loads(row.value), etag=str(row.version))
        return rows.Reading(row=found, as_of=copy.as_of)

    async def put_row(self, key: str, value: Any, etag: str | None) -> rows.Row | rows.Conflict:
        """Write a row if it still has the given version.

        Raises:
            PlatformError: The store did not answer; the write may have taken effect.
        """
        written = await self._store.put_row(key, value, etag)
        if isinstance(written, rows.Row):
            self._view.note_row(lease.control_row(written))
        return written


def setup(app: application.Application) -> None:
    """Register the rows of the control table."""
    app.add_part("rows", "control", lambda app: ControlRows(app=app))
