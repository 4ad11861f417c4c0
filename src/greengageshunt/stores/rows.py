"""Types of rows that the clients of the platform's store return."""

import dataclasses
from typing import Any

# Era of a store that was never restored from an older copy, and of one that reports no era.
FIRST_ERA = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """One row of the platform's store.

    Attributes:
        key: Key of the row.
        value: JSON value.
        etag: Version of the row, as the condition of a later write.
        era: Era in which the store returned the row. It rises each time that the store is
            restored from an older copy; versions of different eras are unrelated.
    """

    key: str
    value: Any
    etag: str
    era: int = FIRST_ERA


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """Another version of the row exists, so a conditional write had no effect."""

    key: str
