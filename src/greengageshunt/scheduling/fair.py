"""Start-time fair queueing by account weight, charged in slot seconds.

Each account has a virtual time: its slot seconds divided by its weight. The
account that is furthest behind is served next. An account that was idle starts
at the queue's virtual time, so that it cannot save up service.
"""

import bisect
import collections
import dataclasses

from greengageshunt import application, model
from greengageshunt.scheduling import entry as entry_module

# Lead of a priority class over other accounts, in slot seconds by weight. It is
# a constant and not a multiple, so no account or class waits forever.
CLASS_LEAD = {
    model.Priority.BOOKING: 0.04,
    model.Priority.NORMAL: 0.02,
    model.Priority.BROWSE: 0.0,
}

# Seconds by which an entry counts as older than a browse entry of its account.
CLASS_AGE = {
    model.Priority.BOOKING: 1.0,
    model.Priority.NORMAL: 0.5,
    model.Priority.BROWSE: 0.0,
}

# Share of the newest slot time in an account's moving average.
_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class AccountState:
    """Service that one account received.

    Attributes:
        virtual_time: Slot seconds by weight, running entries by estimate.
        mean_slot_time: Mean seconds for which its entries hold a slot.
        estimates: Slot seconds charged in advance for each running entry.
    """

    virtual_time: float = 0.0
    mean_slot_time: float = 0.0
    estimates: tuple[float, ...] = ()


def started(state: AccountState, weight: float) -> AccountState:
    """Return the state after a slot was given, charged by estimate."""
    estimate = state.mean_slot_time
    return dataclasses.replace(
        state,
        virtual_time=state.virtual_time + estimate / weight,
        estimates=(*state.estimates, estimate),
    )


def finished(state: AccountState, weight: float, seconds: float) -> AccountState:
    """Return the state after a slot was returned, with the estimate corrected."""
    estimate = state.estimates[0] if state.estimates else 0.0
    mean = state.mean_slot_time or seconds
    return AccountState(
        virtual_time=state.virtual_time + (seconds - estimate) / weight,
        mean_slot_time=mean + _SMOOTHING * (seconds - mean),
        estimates=state.estimates[1:],
    )


def returned(state: AccountState, weight: float) -> AccountState:
    """Return the state after a slot was returned unused."""
    estimate = state.estimates[-1] if state.estimates else 0.0
    return dataclasses.replace(
        state,
        virtual_time=state.virtual_time - estimate / weight,
        estimates=state.estimates[:-1],
    )


def effective_age(entry: entry_module.Entry) -> float:
    """Return the time at which an entry counts as queued within its account."""
    return entry.queued_at - CLASS_AGE[entry.priority]


class AccountQueue:
    """Waiting entries of one account, in one line for each priority class."""

    def __init__(self, *, weight: float) -> None:
        self._weight = weight
        self._lines: dict[model.Priority, collections.deque[entry_module.Entry]] = {
            priority: collections.deque() for priority in model.Priority
        }

    def __len__(self) -> int:
        return sum(len(line) for line in self._lines.values())

    @property
    def weight(self) -> float:
        """Weight of the account."""
        return self._weight

    @property
    def head(self) -> entry_module.Entry:
        """Entry that is served first."""
        return min((line[0] for line in self._lines.values() if line), key=effective_age)

    @property
    def last(self) -> entry_module.Entry:
        """Entry that is displaced first: the newest of the lowest class."""
        return next(line[-1] for line in reversed(self._lines.values()) if line)

    def append(self, entry: entry_module.Entry) -> None:
        """Add an entry."""
        self._lines[entry.priority].append(entry)

    def remove(self, entry: entry_module.Entry) -> None:
        """Remove an entry."""
        self._lines[entry.priority].remove(entry)

    def before(self, entry: entry_module.Entry) -> int:
        """Return the number of waiting entries that are served before a new one."""
        age = effective_age(entry)
        return sum(
            bisect.bisect_right(line, age, key=effective_age) for line in self._lines.values()
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
    def tracked(self) -> int:
        """Number of accounts whose service is remembered."""
        return len(self._states)

    def push(self, entry: entry_module.Entry) -> entry_module.Entry | None:
        """Add an entry; return the one that is displaced from a full queue.

        A full queue displaces an entry of the account that has the most waiting
        entries by weight.
        """
        if entry.account not in self._waiting:
            self._waiting[entry.account] = AccountQueue(weight=entry.weight)
            state = self._states.get(entry.account, AccountState())
            virtual_time = max(state.virtual_time, self._virtual_time)
            self._states[entry.account] = dataclasses.replace(state, virtual_time=virtual_time)
        self._waiting[entry.account].append(entry)
        self._size += 1
        return self._displace() if self._size > entry_module.QUEUE_LIMIT else None

    def pop(self) -> entry_module.Entry | None:
        """Remove and return the next entry, or None."""
        if not self._waiting:
            return None
        behind = min(self._states[account].virtual_time for account in self._waiting)
        self._virtual_time = max(self._virtual_time, behind)
        entry = min((waiting.head for waiting in self._waiting.values()), key=self._order)
        self._states[entry.account] = started(self._states[entry.account], entry.weight)
        self.discard(entry)
        return entry

    def discard(self, entry: entry_module.Entry) -> None:
        """Remove an entry that no longer waits."""
        waiting = self._waiting[entry.account]
        waiting.remove(entry)
        if not waiting:
            del self._waiting[entry.account]
        self._size -= 1

    def ahead(self, entry: entry_module.Entry) -> float:
        """Return the number of waiting entries that are served before a new one."""
        own = self._waiting.get(entry.account)
        before = own.before(entry) if own else 0
        others = 0.0
        for account, waiting in self._waiting.items():
            if account != entry.account:
                turns = (before + 1) * waiting.weight / entry.weight
                others += min(len(waiting), turns)
        return before + others

    def charge(self, account: str, weight: float, seconds: float) -> None:
        """Account for the slot time of a finished entry."""
        self._update(account, finished(self._states[account], weight, seconds))

    def give_back(self, account: str, weight: float) -> None:
        """Undo the charge of an entry that got a slot and did not use it."""
        self._update(account, returned(self._states[account], weight))

    def _update(self, account: str, state: AccountState) -> None:
        self._states[account] = state
        idle = account not in self._waiting and not state.estimates
        if idle and state.virtual_time <= self._virtual_time:
            # It would start at the queue's virtual time anyway.
            del self._states[account]

    def _order(self, entry: entry_module.Entry) -> tuple[float, float]:
        virtual_time = self._states[entry.account].virtual_time
        return virtual_time - CLASS_LEAD[entry.priority], entry.queued_at

    def _displace(self) -> entry_module.Entry:
        longest = max(self._waiting.values(), key=lambda waiting: len(waiting) / waiting.weight)
        entry = longest.last
        self.discard(entry)
        return entry


def setup(app: application.Application) -> None:
    """Register the fair queue."""
    app.add_part("scheduling", "fair", lambda app: FairQueue)
