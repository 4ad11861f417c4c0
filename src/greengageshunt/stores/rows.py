"""Rows of a platform's store, as its clients return them."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """One row of the platform's table.

    Attributes:
        key: Key of the row.
        value: JSON value.
        etag: Version for a conditional write.
    """

    key: str
    value: Any
    etag: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """A conditional write found another version; nothing was written."""

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reading:
    """What a store said of one row.

    Attributes:
        row: The row, or None if it does not exist.
        as_of: Monotonic seconds at or after which the store was in this state.
    """

    row: Row | None
    as_of: float
