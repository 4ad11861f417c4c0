"""Entries of the queues in front of a target's slots."""

import dataclasses

from greengageshunt import model

MAX_QUEUE_LENGTH = 1000  # entries that wait for the slots of one target


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class QueueEntry:
    """A request that waits for a slot.

    Attributes:
        account: Client account, or an empty string on open routes.
        weight: Weight of the client account.
        priority: Priority class.
        deadline: Monotonic seconds after which the caller no longer waits.
        queued_at: Monotonic seconds at which the request was queued.
    """

    account: str
    weight: float
    priority: model.Priority
    deadline: float
    queued_at: float
