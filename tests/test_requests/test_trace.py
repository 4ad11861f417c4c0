"""Replay of recorded traces: each request must have its recorded outcome again."""

import json
import pathlib

import pytest

from support import callers, configurations, database, placement

TRACES = pathlib.Path(__file__).parent.parent / "traces"
PLACE = "booking.place"


class Replay:
    """Replays the lines of one trace against a fleet."""

    def __init__(self, *, fleet, key):
        self._fleet = fleet
        self._caller = callers.Caller(session=fleet.session, key=key)

    def _address(self, line):
        return self._fleet.layout.vms[line["proxy"]].http_address

    async def request(self, line):
        """Send the request of a line and compare its outcome."""
        reply = await self._caller.call(
            self._address(line),
            line["route"],
            request_id=line["id"],
            timeout_ms=line.get("timeout_ms", 5000),
            item=line["item"],
        )
        document = {"outcome": "committed", **reply.document}
        expected = {name: line[name] for name in ("outcome", "code", "repeated") if name in line}
        assert {name: document.get(name) for name in expected} == expected, (line, document)

    async def look_up(self, line):
        """Look up an outcome and compare it."""
        reply = await self._caller.look_up(self._address(line), PLACE, line["id"])
        assert reply.document["outcome"] == line["outcome"], (line, reply.document)

    async def transaction(self, line):
        """Run a whole transaction and compare its outcome."""
        address = self._address(line)
        begun = await self._caller.begin(address, configurations.GROUP)
        transaction = begun.document["transaction"]
        for item in line["items"]:
            placed = await self._caller.call(address, PLACE, transaction=transaction, item=item)
            assert placed.status == 200, (line, placed.document)
        ended = await self._caller.end(address, transaction, line["end"], request_id=line["id"])
        outcome = ended.document.get("outcome", "committed")
        assert outcome == line["outcome"], (line, ended.document)

    async def fault(self, line):
        """Inject faults into the primary."""
        assert line["target"] == "primary"
        primary = self._fleet.layout.groups[0].primary
        await self._fleet.set_target_faults(primary, **line["faults"])

    async def stored(self, line):
        """Compare the bookings that the primary stores."""
        assert database.booked_items(self._fleet) == line["items"]


@pytest.mark.parametrize("path", sorted(TRACES.glob("*.jsonl")), ids=lambda path: path.stem)
async def test_trace_gives_its_stated_outcomes(start_fleet, path):
    """Guards against a change that alters the outcome of a recorded request."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    key = prepared.keys["account-1"]
    await placement.wait_agreed(fleet, key)
    replay = Replay(fleet=fleet, key=key)
    steps = {
        "request": replay.request,
        "look-up": replay.look_up,
        "transaction": replay.transaction,
        "fault": replay.fault,
        "stored": replay.stored,
    }
    for text in path.read_text().splitlines():
        line = json.loads(text)
        await steps[line["at"]](line)
    assert not database.violations(fleet)
