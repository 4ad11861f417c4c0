"""Types of rows that the clients of the platform's store return."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """One row of the platform's store.

    Attributes:
        key: Key of the row.
        value: JSON value.
        etag: Version of the row, as the condition of a later write.
    """

    key: str
    value: Any
    etag: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """Another version of the row exists, so a conditional write had no effect."""

    key: str
