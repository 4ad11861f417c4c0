"""Order of service and shares of accounts in the fair queue."""

import collections
import heapq

import pytest

from greengageshunt import model
from greengageshunt.scheduling import entry as entry_module
from greengageshunt.scheduling import fair, fifo


def _entry(
    account: str,
    *,
    weight: float = 1.0,
    priority: model.Priority = model.Priority.NORMAL,
    queued_at: float = 0.0,
) -> entry_module.QueueEntry:
    return entry_module.QueueEntry(
        account=account,
        weight=weight,
        priority=priority,
        deadline=queued_at + 1000.0,
        queued_at=queued_at,
    )


def _serve(queue, backlog, *, slots=2, seconds=10.0):
    """Serve accounts that always have waiting entries; return the slot seconds of each.

    ``backlog`` maps an account to (weight, seconds for which an entry holds a slot).
    """
    served: collections.Counter[str] = collections.Counter()
    for account, (weight, _) in backlog.items():
        for _ in range(slots + 1):
            queue.push(_entry(account, weight=weight))
    running: list[tuple[float, int, entry_module.QueueEntry]] = []
    now, number = 0.0, 0
    while now < seconds:
        while len(running) < slots:
            entry = queue.pop()
            number += 1
            duration = backlog[entry.account][1]
            heapq.heappush(running, (now + duration, number, entry))
            queue.push(_entry(entry.account, weight=entry.weight, queued_at=now))
        now, _, entry = heapq.heappop(running)
        duration = backlog[entry.account][1]
        served[entry.account] += duration
        queue.charge(entry.account, entry.weight, duration)
    return served


def test_slot_seconds_follow_weights():
    """Guards against charges by request, with which long statements exceed their share."""
    served = _serve(
        fair.FairQueue(), {"short": (1.0, 0.002), "long": (1.0, 0.02), "heavy": (2.0, 0.005)}
    )

    total = sum(served.values())
    assert served["short"] / total == pytest.approx(0.25, rel=0.03)
    assert served["long"] / total == pytest.approx(0.25, rel=0.03)
    assert served["heavy"] / total == pytest.approx(0.5, rel=0.03)


def test_fifo_gives_long_statements_more():
    """Guards against a baseline that is fair itself, so that measurements show no difference."""
    served = _serve(fifo.FifoQueue(), {"short": (1.0, 0.002), "long": (1.0, 0.02)})

    assert served["long"] > 5 * served["short"]


def test_idle_account_does_not_accumulate_service():
    """Guards against an account that starves other accounts after it was idle."""
    queue = fair.FairQueue()
    for _ in range(100):
        queue.push(_entry("busy"))
        queue.push(_entry("busy"))
        entry = queue.pop()
        queue.charge(entry.account, entry.weight, 0.01)
    for _ in range(50):
        queue.push(_entry("idle"))

    served_accounts = []
    for _ in range(20):
        entry = queue.pop()
        queue.charge(entry.account, entry.weight, 0.01)
        served_accounts.append(entry.account)

    assert 8 <= served_accounts.count("busy") <= 12


def test_booking_goes_before_normal_before_browse():
    """Guards against bookings that wait behind catalogue reads."""
    queue = fair.FairQueue()
    for number, priority in enumerate(reversed(model.Priority)):
        queue.push(_entry("same", priority=priority, queued_at=number * 0.01))
        queue.push(_entry(f"other-{number}", priority=priority, queued_at=number * 0.01))

    order = [queue.pop().priority for _ in range(6)]

    assert order == sorted(order)


def test_browse_is_served_although_bookings_keep_coming():
    """Guards against starvation of a priority class by a higher one of the same account."""
    queue = fair.FairQueue()
    browse = _entry("same", priority=model.Priority.BROWSE, queued_at=0.0)
    queue.push(browse)
    now = 0.0
    while True:
        now += 0.01
        queue.push(_entry("same", priority=model.Priority.BOOKING, queued_at=now))
        if queue.pop() is browse:
            break
        queue.charge("same", 1.0, 0.01)
        assert now < 2.0


def test_account_with_bookings_gets_no_more_than_its_share():
    """Guards against an account that exceeds its share by giving all requests top priority."""
    queue = fair.FairQueue()
    served: collections.Counter[str] = collections.Counter()
    classes = {"bookings": model.Priority.BOOKING, "browsing": model.Priority.BROWSE}
    for account, priority in classes.items():
        queue.push(_entry(account, priority=priority))
        queue.push(_entry(account, priority=priority))
    for number in range(1000):
        entry = queue.pop()
        served[entry.account] += 1
        queue.charge(entry.account, entry.weight, 0.01)
        queue.push(_entry(entry.account, priority=entry.priority, queued_at=number * 0.01))

    assert served["browsing"] == pytest.approx(500, abs=10)


def test_full_queue_displaces_the_account_with_most_entries():
    """Guards against refusals for all accounts when one account fills the queue."""
    queue = fair.FairQueue()
    for _ in range(entry_module.MAX_QUEUE_LENGTH):
        assert queue.push(_entry("flood")) is None

    displaced = queue.push(_entry("small"))

    assert displaced.account == "flood"
    assert len(queue) == entry_module.MAX_QUEUE_LENGTH


def test_small_account_expects_a_short_wait():
    """Guards against an early refusal because of another account's waiting entries."""
    queue = fair.FairQueue()
    for _ in range(500):
        queue.push(_entry("flood"))

    assert queue.entries_ahead(_entry("small")) <= 1
    assert queue.entries_ahead(_entry("flood", queued_at=1.0)) == 500


def test_states_of_idle_accounts_are_dropped():
    """Guards against a memory leak for accounts that no longer send requests."""
    queue = fair.FairQueue()
    for number in range(100):
        queue.push(_entry(f"account-{number}"))
    while entry := queue.pop():
        queue.charge(entry.account, entry.weight, 0.0)

    assert queue.tracked_accounts == 0
