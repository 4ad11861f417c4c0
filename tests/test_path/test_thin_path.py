"""Single requests from a caller through real processes to a target and back."""

import asyncio

from greengageshunt.standins import fleet as fleet_module
from support import callers, configurations, database

RETRY_INTERVAL = 0.05  # seconds
DEADLINE = 10.0  # seconds


async def _statements(fleet: fleet_module.Fleet) -> list[str]:
    seen = []
    for target in fleet.layout.control_addresses:
        seen += (await fleet.target_state(target))["seen_statements"]
    return seen


async def test_write_is_seen_through_another_proxy(start_fleet):
    """Guards against a session that does not see its own write through another entry VM."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    first, second, _ = fleet.layout.vms
    caller = callers.Caller(session=fleet.session, key=prepared.keys["account-1"])

    written = await caller.call(first.http_address, "booking.place", item="pot")
    read = await caller.call(second.http_address, "booking.list")

    assert written.status == 200, written.document
    assert read.rows == [[written.rows[0][0], "pot"]]


async def test_stale_read_is_served_by_a_replica(start_fleet):
    """Guards against sending all reads to the primary although replicas could serve them."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    address = fleet.layout.vms[0].http_address
    caller = callers.Caller(session=fleet.session, key=prepared.keys["account-1"])
    primary = fleet.layout.groups[0].primary

    async with asyncio.timeout(DEADLINE):
        read = await caller.call(address, "booking.browse")
        while read.document["target"] == primary:
            await asyncio.sleep(RETRY_INTERVAL)
            read = await caller.call(address, "booking.browse")

    assert read.status == 200


async def test_wrong_key_reaches_no_target(start_fleet):
    """Guards against running a statement for a caller without a valid key."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    key = prepared.keys["account-1"]
    caller = callers.Caller(session=fleet.session, key=f"{key}x")

    refused = await caller.call(fleet.layout.vms[0].http_address, "booking.place", item="refused")

    assert refused.status == 401
    assert refused.document["code"] == "key_unknown"
    assert refused.document["outcome"] == "not_run"
    assert not any("refused" in statement for statement in await _statements(fleet))


async def test_each_routing_decision_has_a_log_line(start_fleet):
    """Guards against routing decisions without a log line that names their reason."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    vm = fleet.layout.vms[0]
    caller = callers.Caller(session=fleet.session, key=prepared.keys["account-1"])

    await caller.call(vm.http_address, "booking.place", request_id="request-7", item="pot")

    line = await database.route_line(fleet, vm.member.vm, "request-7")
    assert line["account"] == "account-1"
    assert line["group"] == configurations.GROUP
    assert line["target"] == fleet.layout.groups[0].primary
    assert line["term"] == 1
    assert {"position", "reason", "owner"} <= set(line)


async def test_no_key_in_logs_or_at_targets(start_fleet):
    """Guards against the secret part of a key in a log or in a statement to a target."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    key = prepared.keys["account-1"]
    secret = key.partition(".")[2]
    caller = callers.Caller(session=fleet.session, key=key)

    for vm in fleet.layout.vms:
        await caller.call(vm.http_address, "booking.place", item="pot")

    logs = "".join(fleet.log_path(name).read_text() for name in fleet.processes)
    assert secret not in logs
    assert not any(secret in statement for statement in await _statements(fleet))
