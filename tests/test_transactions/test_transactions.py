"""Transactions through several entry VMs, with real processes."""

import asyncio
import contextlib

from greengageshunt.requests import transaction_id
from support import callers, configurations, database, placement, relay

IDLE_LIMIT = 1.0  # seconds
SETTINGS = f"[transactions]\nidle_limit = {IDLE_LIMIT}\n"
PLACE = "booking.place"


async def _start(start_fleet, **options):
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration, extra_settings=SETTINGS, **options)
    await placement.wait_agreed(fleet, prepared.keys["account-1"])
    owner = placement.owner_of_primary(fleet)
    entries = [vm.http_address for vm in fleet.layout.vms if vm != owner]

    def caller(account="account-1"):
        return callers.Caller(session=fleet.session, key=prepared.keys[account])

    return fleet, owner, entries, caller


async def _begin(caller, address):
    begun = await caller.begin(address, configurations.GROUP)
    assert begun.status == 200, begun.document
    return begun.document["transaction"]


async def _place(caller, address, transaction, item):
    return await caller.call(address, PLACE, transaction=transaction, item=item)


def _refused(reply):
    return reply.document.get("code"), reply.document.get("outcome")


async def test_transaction_roams_and_is_bound_to_its_account(start_fleet):
    """Guards against a transaction that only one entry VM or that another account can use."""
    fleet, owner, entries, caller = await _start(start_fleet)
    own_caller, other_caller = caller(), caller("account-2")
    all_addresses = [*entries, owner.http_address]

    transaction = await _begin(own_caller, entries[0])
    for number, address in enumerate(all_addresses):
        assert (await _place(own_caller, address, transaction, f"item-{number}")).status == 200
    assert database.booked_items(fleet) == {}
    inside = await own_caller.call(entries[1], "booking.list", transaction=transaction)
    foreign = await _place(other_caller, entries[0], transaction, "foreign")
    stolen = await other_caller.end(entries[0], transaction, "commit")
    forged = await _place(own_caller, entries[0], transaction[:-2] + "AA", "forged")
    committed = await own_caller.end(entries[1], transaction, "commit", request_id="commit-1")
    again = await own_caller.end(entries[0], transaction, "commit", request_id="commit-1")
    late = await _place(own_caller, entries[0], transaction, "late")
    read = await own_caller.call(owner.http_address, "booking.list")

    assert [item for _, item in inside.rows] == ["item-0", "item-1", "item-2"]
    assert _refused(foreign) == _refused(stolen) == ("transaction_invalid", "not_run")
    assert _refused(forged) == ("transaction_invalid", "not_run")
    assert committed.status == 200 and committed.document["replicated"]
    assert again.status == 200 and again.document["repeated"]
    assert _refused(late) == ("transaction_ended", "not_run")
    assert [item for _, item in read.rows] == ["item-0", "item-1", "item-2"]

    # Rollback, a rejected statement, the idle limit and the number of open transactions.
    rolled = await _begin(own_caller, entries[0])
    await _place(own_caller, entries[1], rolled, "rolled back")
    assert (await own_caller.end(entries[0], rolled, "rollback")).status == 200
    assert _refused(await own_caller.end(entries[0], rolled, "commit")) == (
        "transaction_ended",
        "not_run",
    )
    rejected = await _begin(own_caller, entries[0])
    await _place(own_caller, entries[1], rejected, "rejected")
    assert _refused(await _place(own_caller, entries[1], rejected, None)) == (
        "statement_rejected",
        "not_run",
    )
    assert _refused(
        await own_caller.end(entries[0], rejected, "commit", request_id="commit-2")
    ) == (
        "transaction_ended",
        "not_run",
    )
    first, second = await _begin(own_caller, entries[0]), await _begin(other_caller, entries[1])
    full = await own_caller.begin(entries[0], configurations.GROUP, timeout_ms=300)
    assert _refused(full) == ("transactions_full", "not_run")
    await asyncio.sleep(IDLE_LIMIT + 0.3)
    assert _refused(await own_caller.end(entries[0], first, "commit"))[0] == "transaction_ended"
    assert _refused(await other_caller.end(entries[0], second, "commit"))[0] == "transaction_ended"
    assert (await own_caller.begin(entries[0], configurations.GROUP)).status == 200
    assert sum(database.booked_items(fleet).values()) == 3
    assert not database.violations(fleet)


async def test_work_of_transactions_is_never_mixed(start_fleet):
    """Guards against statements in the wrong transaction and two at once in one."""
    fleet, _, entries, caller = await _start(start_fleet)

    async def run(name, commit):
        own_caller = caller("account-1" if commit else "account-2")
        for round_number in range(4):
            transaction = await _begin(own_caller, entries[round_number % 2])
            items = [f"{name}-{round_number}-{number}" for number in range(4)]
            replies = await asyncio.gather(
                *(
                    _place(own_caller, entries[number % 2], transaction, item)
                    for number, item in enumerate(items)
                )
            )
            assert all(reply.status == 200 for reply in replies), replies
            verb = "commit" if commit else "rollback"
            ended = await own_caller.end(entries[0], transaction, verb)
            assert ended.status == 200, ended.document

    async def run_plain():
        own_caller = caller("account-2")
        for number in range(12):
            reply = await own_caller.call(entries[number % 2], PLACE, item=f"plain-{number}")
            assert reply.status == 200, reply.document

    await asyncio.gather(run("kept", True), run("dropped", False), run_plain())

    stored = database.booked_items(fleet)
    expected = {f"kept-{r}-{n}": 1 for r in range(4) for n in range(4)}
    expected.update({f"plain-{number}": 1 for number in range(12)})
    assert stored == expected
    assert not database.violations(fleet)


async def test_entry_proxy_dies_with_an_open_transaction(start_fleet):
    """Guards against losing a transaction with the entry VM through which it was begun."""
    fleet, _, entries, caller = await _start(start_fleet)
    own_caller = caller()
    entry = next(vm for vm in fleet.layout.vms if vm.http_address == entries[0])

    transaction = await _begin(own_caller, entries[0])
    await _place(own_caller, entries[0], transaction, "kept")
    fleet.kill(entry.member.vm)
    committed = await own_caller.end(entries[1], transaction, "commit")

    assert committed.status == 200, committed.document
    assert database.booked_items(fleet) == {"kept": 1}


async def test_owner_dies_with_an_open_transaction(start_fleet):
    """Guards against a false outcome of a commit whose owner was killed before it."""
    fleet, owner, entries, caller = await _start(start_fleet)
    own_caller = caller()

    transaction = await _begin(own_caller, entries[0])
    await _place(own_caller, entries[0], transaction, "lost")
    fleet.kill(owner.member.vm)
    statement = await _place(own_caller, entries[1], transaction, "lost too")
    committed = await own_caller.end(
        entries[0], transaction, "commit", request_id="commit-1", timeout_ms=2500
    )
    looked_up = await own_caller.look_up(entries[1], PLACE, "commit-1")

    assert statement.document["outcome"] in {"not_run", "unknown"}
    assert committed.document["outcome"] == "not_run", committed.document
    # The commit was not sent, so the ledger has a refusal or no entry.
    assert looked_up.document["outcome"] in {"not_run", "unknown"}
    assert database.booked_items(fleet) == {}
    assert not database.violations(fleet)


async def test_owner_dies_after_a_commit(start_fleet):
    """Guards against "not run" for a commit whose owner was killed before it answered."""
    # The acknowledgement waits for a lagging replica.
    fleet, owner, entries, caller = await _start(start_fleet, lag_ms=400.0)
    own_caller = caller()

    transaction = await _begin(own_caller, entries[0])
    await _place(own_caller, entries[0], transaction, "kept")
    committing = asyncio.create_task(
        own_caller.end(entries[0], transaction, "commit", request_id="commit-1")
    )
    async with asyncio.timeout(5):
        while not database.booked_items(fleet):  # noqa: ASYNC110 - a file has no event
            await asyncio.sleep(0.005)
    fleet.kill(owner.member.vm)
    committed = await committing

    assert committed.status == 200, committed.document
    assert committed.document["repeated"]
    assert database.booked_items(fleet) == {"kept": 1}
    assert not database.violations(fleet)


async def test_lost_answer_of_a_commit(start_fleet):
    """Guards against a second commit or a false refusal when a commit's answer is lost."""
    fleet, _, entries, caller = await _start(start_fleet)
    own_caller = caller()
    primary = fleet.layout.groups[0].primary

    transaction = await _begin(own_caller, entries[0])
    await _place(own_caller, entries[0], transaction, "kept")
    await fleet.set_target_faults(primary, drop_answers=1)
    committed = await own_caller.end(entries[1], transaction, "commit", request_id="commit-1")
    looked_up = await own_caller.look_up(entries[0], PLACE, "commit-1")

    assert committed.status == 200, committed.document
    assert looked_up.document["outcome"] == "committed"
    assert database.booked_items(fleet) == {"kept": 1}
    assert not database.violations(fleet)


async def test_primary_is_silent_during_a_commit(start_fleet):
    """Guards against a definite outcome while the primary does not answer the commit."""
    async with contextlib.AsyncExitStack() as stack:
        prepared = configurations.prepare()
        fleet, primary = await relay.start_before_primary(start_fleet, prepared, stack)
        key = prepared.keys["account-1"]
        await placement.wait_agreed(fleet, key)
        own_caller = callers.Caller(session=fleet.session, key=key)
        entries = [vm.http_address for vm in fleet.layout.vms]

        transaction = await _begin(own_caller, entries[0])
        await _place(own_caller, entries[0], transaction, "uncertain")
        primary.silence_at(b"COMMIT;", 1000)
        committed = await own_caller.end(
            entries[1], transaction, "commit", request_id="commit-1", timeout_ms=1500
        )
        primary.silence_at(b"COMMIT;", 0)
        again = await own_caller.end(entries[2], transaction, "commit", request_id="commit-1")

        assert committed.document["outcome"] == "unknown", committed.document
        assert again.document["outcome"] == "not_run", again.document
        assert database.booked_items(fleet) == {}
        assert not database.violations(fleet)


def test_transaction_id_of_another_account_or_domain_is_refused():
    """Guards against accepting a forged or malformed id, or an id of another account."""
    secret = "5e" * 32
    content = transaction_id.TransactionId(
        number="1", vm="vm-1", group="g", target="t", term=1, account="account-1"
    )
    text = transaction_id.encode(content, secret)
    assert transaction_id.decode(text, "account-1", secret).unwrap() == content
    assert transaction_id.decode(text, "account-2", secret).failure().code == "transaction_invalid"
    assert transaction_id.decode(text, "account-1", "5f" * 32).failure()
    assert transaction_id.decode("\u00e9", "account-1", secret).failure()
