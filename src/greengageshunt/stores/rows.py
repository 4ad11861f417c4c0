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
