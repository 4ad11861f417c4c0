"""Writes run at most once and reported outcomes are true, with real processes."""

import asyncio
import contextlib
import signal

from support import callers, configurations, database, placement, relay

BURST_WRITES = 12
WRITE_INTERVAL = 0.004  # seconds between the starts of the writes of a burst

# Seconds to wait after the owner resumes, longer than each deadline that detects a pause.
RESUME_WAIT = 1.5

REPLICA_LAG_MS = 150.0
COMMIT_SQL = b"COMMIT;"


async def _write(fleet, key, vm, number, timeout_ms=4000):
    caller = callers.Caller(session=fleet.session, key=key)
    reply = await caller.call(
        vm.http_address,
        "booking.place",
        request_id=f"request-{number}",
        timeout_ms=timeout_ms,
        item=f"item-{number}",
    )
    return number, reply


async def _burst(fleet, key, entries, fault, timeout_ms):
    """Start concurrent writes through two entry VMs and inject a fault after half of them."""
    writes = []
    for number in range(BURST_WRITES):
        writes.append(
            asyncio.create_task(_write(fleet, key, entries[number % 2], number, timeout_ms))
        )
        await asyncio.sleep(WRITE_INTERVAL)
        if number == BURST_WRITES // 2:
            fault()
    return await asyncio.gather(*writes)


async def _check_outcomes(fleet, key, vm, replies):
    """Check each reported outcome against the database of the primary.

    An unknown outcome is looked up by its request id first.
    """
    caller = callers.Caller(session=fleet.session, key=key)
    stored = database.booked_items(fleet)
    for number, reply in replies:
        outcome = reply.document.get("outcome", "committed")
        if outcome == "unknown":
            looked_up = await caller.look_up(vm.http_address, "booking.place", f"request-{number}")
            outcome = looked_up.document["outcome"]
        expected = {"committed": {1}, "not_run": {0}, "unknown": {0, 1}}[outcome]
        assert stored[f"item-{number}"] in expected, (number, reply, stored)
    assert not database.violations(fleet)


async def test_answer_lost_after_its_effect(start_fleet):
    """Guards against a second booking or a false refusal when a commit's answer is lost."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    key = prepared.keys["account-1"]
    vm = fleet.layout.vms[0]
    await fleet.set_target_faults(fleet.layout.groups[0].primary, drop_answers=1)

    _, reply = await _write(fleet, key, vm, 1)

    assert reply.status == 200, reply.document
    assert reply.document["repeated"]
    assert reply.rows == [[1]]
    assert database.booked_items(fleet) == {"item-1": 1}


async def test_repeated_and_reused_request_ids(start_fleet):
    """Guards against a second run through another VM and the answer of another request."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    first, second, third = fleet.layout.vms
    caller = callers.Caller(session=fleet.session, key=prepared.keys["account-1"])
    other = callers.Caller(session=fleet.session, key=prepared.keys["account-2"])

    written = await caller.call(
        first.http_address, "booking.place", request_id="request-1", item="pot"
    )
    repeated = await caller.call(
        second.http_address, "booking.place", request_id="request-1", item="pot"
    )
    reused = await caller.call(
        third.http_address, "booking.place", request_id="request-1", item="lid"
    )
    other_account = await other.call(
        third.http_address, "booking.place", request_id="request-1", item="lid"
    )
    looked_up = await caller.look_up(third.http_address, "booking.place", "request-1")
    missing = await caller.look_up(third.http_address, "booking.place", "request-2")

    assert written.status == repeated.status == other_account.status == 200
    assert repeated.rows == written.rows
    assert repeated.document["repeated"] and not written.document["repeated"]
    assert (reused.status, reused.document["code"]) == (409, "request_id_reused")
    assert reused.document["outcome"] == "not_run"
    assert looked_up.document["outcome"] == "committed"
    assert looked_up.document["answer"]["rows"] == written.rows
    assert (missing.status, missing.document["code"]) == (404, "request_unknown")
    assert database.booked_items(fleet) == {"pot": 1, "lid": 1}


async def test_refusal_is_stored_before_not_run_is_said(start_fleet):
    """Guards against "not run" for a write whose commit the primary may still receive."""
    prepared = configurations.prepare()
    async with contextlib.AsyncExitStack() as stack:
        fleet, primary = await relay.start_before_primary(start_fleet, prepared, stack)
        key = prepared.keys["account-1"]
        vm = fleet.layout.vms[0]
        # Cuts the first attempt, the uncharged retry that settles it, and the only charged
        # retry that the budget of a new account allows.
        primary.cut_at(COMMIT_SQL, 3)

        _, refused = await _write(fleet, key, vm, 1, timeout_ms=2000)
        caller = callers.Caller(session=fleet.session, key=key)
        looked_up = await caller.look_up(vm.http_address, "booking.place", "request-1")
        _, repeated = await _write(fleet, key, vm, 1)

        assert primary.cuts == 3
        assert refused.document["outcome"] == "not_run", refused.document
        assert looked_up.document["outcome"] == "not_run"
        assert (repeated.status, repeated.document["code"]) == (409, "request_refused")
        assert database.booked_items(fleet) == {}


async def test_outcome_is_unknown_while_the_primary_is_silent(start_fleet):
    """Guards against a definite outcome while the primary does not answer the commit."""
    prepared = configurations.prepare()
    async with contextlib.AsyncExitStack() as stack:
        fleet, primary = await relay.start_before_primary(start_fleet, prepared, stack)
        key = prepared.keys["account-1"]
        vm = fleet.layout.vms[0]
        primary.silence_at(COMMIT_SQL, 1000)

        _, reply = await _write(fleet, key, vm, 1, timeout_ms=1500)
        primary.silence_at(COMMIT_SQL, 0)
        _, repeated = await _write(fleet, key, vm, 1)

        assert reply.document["outcome"] == "unknown", reply.document
        assert repeated.status == 200, repeated.document
        assert database.booked_items(fleet) == {"item-1": 1}


async def test_owner_killed_with_writes_in_flight(start_fleet):
    """Guards against lost or duplicate bookings when the owner of the primary is killed."""
    prepared = configurations.prepare()
    # Commits wait for a lagging replica, so some are unanswered when the fault occurs.
    fleet = await start_fleet(prepared.configuration, lag_ms=REPLICA_LAG_MS)
    owner = placement.owner_of_primary(fleet)
    entries = [vm for vm in fleet.layout.vms if vm != owner]
    key = prepared.keys["account-1"]
    await placement.wait_agreed(fleet, key)

    replies = await _burst(fleet, key, entries, lambda: fleet.kill(owner.member.vm), 4000)

    await _check_outcomes(fleet, key, entries[0], replies)


async def test_owner_paused_with_writes_in_flight(start_fleet):
    """Guards against writes of a paused owner that commit after they were refused."""
    prepared = configurations.prepare()
    # Commits wait for a lagging replica, so some are unanswered when the fault occurs.
    fleet = await start_fleet(prepared.configuration, lag_ms=REPLICA_LAG_MS)
    owner = placement.owner_of_primary(fleet)
    entries = [vm for vm in fleet.layout.vms if vm != owner]
    key = prepared.keys["account-1"]
    await placement.wait_agreed(fleet, key)

    def pause():
        fleet.signal(owner.member.vm, signal.SIGSTOP)

    replies = await _burst(fleet, key, entries, pause, 2000)
    fleet.signal(owner.member.vm, signal.SIGCONT)
    # The resumed owner sends the statements in its queues.
    await asyncio.sleep(RESUME_WAIT)

    await _check_outcomes(fleet, key, entries[0], replies)
