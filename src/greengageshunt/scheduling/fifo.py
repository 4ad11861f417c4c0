"""First-in, first-out queue: the baseline for measurements of the fair queue."""

import collections

from greengageshunt import application
from greengageshunt.scheduling import entry as entry_module


class FifoQueue:
    """Serves entries in order of arrival."""

    def __init__(self) -> None:
        self._entries: collections.deque[entry_module.QueueEntry] = collections.deque()

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: entry_module.QueueEntry) -> entry_module.QueueEntry | None:
        """Add an entry and return None; return the entry itself if the queue is full."""
        if len(self._entries) >= entry_module.MAX_QUEUE_LENGTH:
            return entry
        self._entries.append(entry)
        return None

    def pop(self) -> entry_module.QueueEntry | None:
        """Remove and return the next entry, or None."""
        return self._entries.popleft() if self._entries else None

    def discard(self, entry: entry_module.QueueEntry) -> None:
        """Remove an entry that no longer waits."""
        self._entries.remove(entry)

    def entries_ahead(self, entry: entry_module.QueueEntry) -> float:
        """Return the number of waiting entries that are served before a new one."""
        return len(self._entries)

    def charge(self, account: str, weight: float, seconds: float) -> None:
        """Ignore the slot time of a finished entry."""

    def refund(self, account: str, weight: float) -> None:
        """Ignore that a slot was not used."""


def setup(app: application.Application) -> None:
    """Register the FIFO queue."""
    app.add_part("scheduling", "fifo", lambda app: FifoQueue)
