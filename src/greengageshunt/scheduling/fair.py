"""Start-time fair queueing by account weight, charged in slot seconds.

A slot second is the use of one slot for one second. Each account has a virtual
time: its slot seconds divided by its weight. The account with the lowest virtual
time is served next. An account that was idle starts at the queue's virtual time,
so that it cannot accumulate service.
"""

import bisect
import collections
import dataclasses

from greengageshunt import application, model
from greengageshunt.scheduling import entry as entry_module

# Reduction of an account's virtual time, in slot seconds by weight, while the next entry of
# the account has this priority. It is added and not multiplied, so no account or priority
# class starves.
PRIORITY_CREDIT = {
    model.Priority.BOOKING: 0.04,
    model.Priority.NORMAL: 0.02,
    model.Priority.BROWSE: 0.0,
}

# Seconds by which an entry counts as older than a browse entry of the same account.
PRIORITY_AGE_CREDIT = {
    model.Priority.BOOKING: 1.0,
    model.Priority.NORMAL: 0.5,
    model.Priority.BROWSE: 0.0,
}

# Weight of the newest slot time in an account's exponential moving average.
_NEWEST_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class AccountState:
    """Slot time that one account used.

    Attributes:
        virtual_time: Slot seconds divided by weight; includes the estimates of
            running entries.
        mean_slot_time: Mean seconds for which the account's entries hold a slot.
        estimates: Slot seconds charged in advance for each running entry.
    """

    virtual_time: float = 0.0
    mean_slot_time: float = 0.0
    estimates: tuple[float, ...] = ()


def after_start(state: AccountState, weight: float) -> AccountState:
    """Return the state after an entry acquired a slot, charged by estimate."""
    estimate = state.mean_slot_time
    return dataclasses.replace(
        state,
        virtual_time=state.virtual_time + estimate / weight,
        estimates=(*state.estimates, estimate),
    )


def after_finish(state: AccountState, weight: float, seconds: float) -> AccountState:
    """Return the state after an entry released its slot, with the estimate corrected.

    The oldest estimate is removed, even if a newer entry finished. The total is exact
    once all running entries have finished.
    """
    estimate = state.estimates[0] if state.estimates else 0.0
    mean = state.mean_slot_time or seconds
    return AccountState(
        virtual_time=state.virtual_time + (seconds - estimate) / weight,
        mean_slot_time=mean + _NEWEST_WEIGHT * (seconds - mean),
        estimates=state.estimates[1:],
    )


def after_unused_slot(state: AccountState, weight: float) -> AccountState:
    """Return the state after an entry released its slot unused."""
    estimate = state.estimates[-1] if state.estimates else 0.0
    return dataclasses.replace(
        state,
        virtual_time=state.virtual_time - estimate / weight,
        estimates=state.estimates[:-1],
    )


def effective_age(entry: entry_module.QueueEntry) -> float:
    """Return the monotonic seconds at which an entry counts as queued within its account."""
    return entry.queued_at - PRIORITY_AGE_CREDIT[entry.priority]


class AccountQueue:
    """Waiting entries of one account, in one queue for each priority class."""

    def __init__(self, *, weight: float) -> None:
        self._weight = weight
        self._queues: dict[model.Priority, collections.deque[entry_module.QueueEntry]] = {
            priority: collections.deque() for priority in model.Priority
        }

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    @property
    def weight(self) -> float:
        """Weight of the account."""
        return self._weight

    @property
    def next_entry(self) -> entry_module.QueueEntry:
        """Entry that is served next."""
        return min((queue[0] for queue in self._queues.values() if queue), key=effective_age)

    @property
    def newest_entry(self) -> entry_module.QueueEntry:
        """Newest entry of the lowest waiting priority class, which is displaced first."""
        return next(queue[-1] for queue in reversed(self._queues.values()) if queue)

    def append(self, entry: entry_module.QueueEntry) -> None:
        """Add an entry."""
        self._queues[entry.priority].append(entry)

    def remove(self, entry: entry_module.QueueEntry) -> None:
        """Remove an entry."""
        self._queues[entry.priority].remove(entry)

    def entries_before(self, entry: entry_module.QueueEntry) -> int:
        """Return the number of waiting entries that are served before a new one."""
        age = effective_age(entry)
        return sum(
            bisect.bisect_right(queue, age, key=effective_age) for queue in self._queues.values()
        )


class FairQueue:
    """Serves the accounts by their virtual times and priority classes."""

    def __init__(self) -> None:
        self._waiting: dict[str, AccountQueue] = {}
        self._states: dict[str, AccountState] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def tracked_accounts(self) -> int:
        """Number of accounts with a stored state."""
        return len(self._states)

    def push(self, entry: entry_module.QueueEntry) -> entry_module.QueueEntry | None:
        """Add an entry; return the entry that a full queue displaces, or None.

        A full queue displaces an entry of the account that has the most waiting
        entries in proportion to its weight.
        """
        if entry.account not in self._waiting:
            self._waiting[entry.account] = AccountQueue(weight=entry.weight)
            state = self._states.get(entry.account, AccountState())
            virtual_time = max(state.virtual_time, self._virtual_time)
            self._states[entry.account] = dataclasses.replace(state, virtual_time=virtual_time)
        self._waiting[entry.account].append(entry)
        self._size += 1
        return self._displace() if self._size > entry_module.MAX_QUEUE_LENGTH else None

    def pop(self) -> entry_module.QueueEntry | None:
        """Remove and return the next entry, or None."""
        if not self._waiting:
            return None
        lowest = min(self._states[account].virtual_time for account in self._waiting)
        self._virtual_time = max(self._virtual_time, lowest)
        entry = min((waiting.next_entry for waiting in self._waiting.values()), key=self._order)
        self._states[entry.account] = after_start(self._states[entry.account], entry.weight)
        self.discard(entry)
        return entry

    def discard(self, entry: entry_module.QueueEntry) -> None:
        """Remove an entry that no longer waits."""
        waiting = self._waiting[entry.account]
        waiting.remove(entry)
        if not waiting:
            del self._waiting[entry.account]
        self._size -= 1

    def entries_ahead(self, entry: entry_module.QueueEntry) -> float:
        """Estimate the number of waiting entries that are served before a new one."""
        own = self._waiting.get(entry.account)
        entries_before = own.entries_before(entry) if own else 0
        others = 0.0
        for account, waiting in self._waiting.items():
            if account != entry.account:
                turns = (entries_before + 1) * waiting.weight / entry.weight
                others += min(len(waiting), turns)
        return entries_before + others

    def charge(self, account: str, weight: float, seconds: float) -> None:
        """Charge an account for the slot time of a finished entry, in seconds."""
        self._update(account, after_finish(self._states[account], weight, seconds))

    def refund(self, account: str, weight: float) -> None:
        """Cancel the estimated charge of an entry that did not use its slot."""
        self._update(account, after_unused_slot(self._states[account], weight))

    def _update(self, account: str, state: AccountState) -> None:
        self._states[account] = state
        idle = account not in self._waiting and not state.estimates
        if idle and state.virtual_time <= self._virtual_time:
            # With or without this state, the account's next entry starts at the queue's
            # virtual time.
            del self._states[account]

    def _order(self, entry: entry_module.QueueEntry) -> tuple[float, float]:
        virtual_time = self._states[entry.account].virtual_time
        return virtual_time - PRIORITY_CREDIT[entry.priority], entry.queued_at

    def _displace(self) -> entry_module.QueueEntry:
        longest = max(self._waiting.values(), key=lambda waiting: len(waiting) / waiting.weight)
        entry = longest.newest_entry
        self.discard(entry)
        return entry


def setup(app: application.Application) -> None:
    """Register the fair queue."""
    app.add_part("scheduling", "fair", lambda app: FairQueue)
