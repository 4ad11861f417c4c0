"""Targets that send an answer a second time, at once or later, and refuse statements."""

import asyncio
import contextlib
import pathlib
import random

import pytest

from soak import clients, ledger
from support import entry_fleet, line_target

KEYS = {"one": ["key-one"], "two": ["key-two"]}
RATE = 1000.0  # operations a second of each account
SECONDS = 3.0  # of traffic
CLIENTS = 6


@pytest.fixture
async def fleet(tmp_path: pathlib.Path):
    """One entry VM."""
    async with entry_fleet.Fleet(folder=tmp_path, size=1) as running:
        running.configure(1, keys=KEYS)
        await running.wait_ready()
        yield running


@pytest.fixture
def run_ledger() -> ledger.Ledger:
    """Records what callers sent and got."""
    return ledger.Ledger(rates=dict.fromkeys(KEYS, (RATE, RATE)))


def _client(fleet, run_ledger: ledger.Ledger, number: int, items: list[str]) -> clients.Client:
    return clients.Client(
        name=f"c{number}",
        account=sorted(KEYS)[number % len(KEYS)],
        rng=random.Random(number),
        run_ledger=run_ledger,
        vms=fleet.vms,
        items=items,
    )


@pytest.mark.parametrize(
    ("delay", "refuse_share"),
    [(0.0, 0.0), (0.015, 0.0), (0.2, 0.0), (1.0, 0.0), (0.0, 0.1), (0.015, 0.1), (0.2, 0.1)],
)
async def test_each_answer_belongs_to_its_statement(fleet, run_ledger, delay, refuse_share):
    """Guards against a repeated answer that is taken for the answer to another statement.

    All later answers of the connection would be one late, for all callers that use it.
    """
    for target in fleet.group.targets.values():
        target.seed(36)
        target.repeat_share, target.repeat_delay = 0.3, (delay, delay)
        target.refuse_share = refuse_share
    items: list[str] = []
    running = [
        asyncio.create_task(_client(fleet, run_ledger, number, items).run())
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(SECONDS)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    for target in fleet.group.targets.values():
        target.repeat_share = target.refuse_share = 0.0
    await asyncio.sleep(2 * line_target.REPLICATION_LAG)
    violations = run_ledger.violations(fleet.group, ())
    assert not violations, (len(violations), violations[:5])
    assert sum(target.repeated for target in fleet.group.targets.values()) > 20
    served, total = run_ledger.codes["ok"], run_ledger.codes.total()
    assert served > 100 and 2 * served > total + len(run_ledger.unanswered), run_ledger.codes


class _Script:
    """One session that sends given statements and records their answers.

    ``{}`` in a statement stands for a new value; the ledger records those that are written.
    """

    def __init__(self, *, fleet: entry_fleet.Fleet, run_ledger: ledger.Ledger) -> None:
        self._client = _client(fleet, run_ledger, 0, [])
        self._vm = fleet.vms[0]
        self._number = 0
        self._operation = ""
        self._values: list[str] = []
        self._session: entry_fleet.Caller

    async def open(self) -> None:
        """Open a session."""
        self._client.begin_session()
        self._session = await entry_fleet.Caller.open(self._vm, "db_primary", "key-one")

    async def run(self, *texts: str) -> None:
        """Run statements, after an error or a closed session in a new one."""
        for text in texts:
            if text == "BEGIN":
                self._operation, self._values = f"transaction-{self._number}", []
            self._number += 1
            value = f"c0-{self._number}"
            if text.startswith("WRITE "):
                self._values.append(value)
            _, state, code = await self._client.send(
                self._session, text.format(value), self._operation
            )
            if state == "I":
                self._client.conclude(self._values, "ABORTED" if text == "ROLLBACK" else code)
                self._operation, self._values = "", []


BEGIN_AND_COMMIT = ("BEGIN", "WRITE i {}", "COMMIT")
BEGIN_AND_ROLL_BACK = ("BEGIN", "WRITE i {}", "ROLLBACK")

# The statements before; the first word of those whose answers are repeated, and of those that are
# refused afterwards; the statements after.
CASES = {
    "set": (("SET a north", "READ i"), "SET", "SET", ("SET a south", "READ i", "WRITE i {}")),
    "reset": (
        ("SET a 1", "READ i", "SET b 1", "READ i"),
        "SET",
        "RESET",
        ("new session", "READ i", "WRITE i {}"),
    ),
    "prepare": (
        ("PREPARE s READ q1", "EXECUTE s i"),
        "PREPARE",
        "PREPARE",
        ("PREPARE s READ q2", "EXECUTE s i", "READ i"),
    ),
    "set-then-begin": (("SET a 1", "READ i"), "SET", "BEGIN", BEGIN_AND_ROLL_BACK),
    "begin": (BEGIN_AND_COMMIT, "BEGIN", "BEGIN", BEGIN_AND_ROLL_BACK),
    "begin-write": (BEGIN_AND_COMMIT, "BEGIN", "WRITE", BEGIN_AND_COMMIT),
    "rollback": (BEGIN_AND_ROLL_BACK, "ROLLBACK", "", ("WRITE i {}", *BEGIN_AND_COMMIT)),
    "rollback-then-begin": (BEGIN_AND_ROLL_BACK, "ROLLBACK", "BEGIN", BEGIN_AND_ROLL_BACK),
    "read": (("READ i",), "READ", "", ("WRITE i {}", "READ i")),
    "write": (("WRITE i {}",), "WRITE", "WRITE", ("WRITE i {}", "READ i")),
    "commit": (BEGIN_AND_COMMIT, "COMMIT", "", (*BEGIN_AND_COMMIT, "READ i")),
    "startup": (("READ i",), "READY", "", ("WRITE i {}", "READ i")),
}


@pytest.mark.parametrize("idle", [True, False], ids=["idle", "in-use"])
@pytest.mark.parametrize("case", CASES)
async def test_repeated_answer_in_front_of_another(fleet, run_ledger, case, idle):
    """Guards against one repeated answer that acknowledges what the target has refused.

    It arrives while the connection is idle in the pool, or while the next statement runs.
    """
    before, repeated, refused, after = CASES[case]
    target = fleet.group.targets["t-1"]
    target.repeat_words, target.repeat_share = (repeated,), 1.0
    target.repeat_delay = (0.1, 0.1)
    script = _Script(fleet=fleet, run_ledger=run_ledger)
    await script.open()
    await script.run(*before)
    target.repeat_share = 0.0
    target.refuse_words, target.refuse_share = (refused,), 1.0
    if idle:
        await asyncio.sleep(0.15)
    else:
        target.delay = 0.15
    if after[0] == "new session":
        await script.open()
        after = after[1:]
    with contextlib.suppress(ConnectionError):
        await script.run(*after)
    await asyncio.sleep(3 * target.delay)  # what has been sent may still run
    violations = run_ledger.violations(fleet.group, ())
    assert not violations, violations


async def test_refused_session_value_in_a_transaction(fleet, run_ledger):
    """Guards against later statements that run with a value whose SET got an error."""
    target = fleet.group.targets["t-1"]
    script = _Script(fleet=fleet, run_ledger=run_ledger)
    await script.open()
    await script.run("BEGIN", "READ i")
    target.refuse_words, target.refuse_share = ("SET",), 1.0
    await script.run("SET a 1", "READ i")
    target.refuse_share = 0.0
    await script.run("ROLLBACK", "READ i")
    violations = run_ledger.violations(fleet.group, ())
    assert not violations, violations


@pytest.mark.parametrize("delay", [0.0, 0.1])
async def test_repeated_refusal_in_front_of_a_write_that_runs(fleet, run_ledger, delay):
    """Guards against a write that runs, while a repeated error tells that it did not."""
    target = fleet.group.targets["t-1"]
    target.repeat_words = target.refuse_words = ("WRITE",)
    target.repeat_share = target.refuse_share = 1.0
    target.repeat_delay = (delay, delay)
    script = _Script(fleet=fleet, run_ledger=run_ledger)
    await script.open()
    running = asyncio.create_task(script.run("WRITE i {}"))
    while not target.refused:
        assert not running.done()
        await asyncio.sleep(0.001)
    target.repeat_share = target.refuse_share = 0.0
    target.delay = 1.5 * delay
    await running
    for _ in range(3):
        await script.run("WRITE i {}")
    violations = run_ledger.violations(fleet.group, ())
    assert not violations, violations


@pytest.mark.parametrize("repeated", ["STATUS", "READY"])
async def test_repeated_answer_during_a_change_of_primary(fleet, run_ledger, repeated):
    """Guards against an old status that lets a replica without the last commits lead.

    The answer to STARTUP must not be taken for a status without a position either.
    """
    targets = fleet.group.targets
    for target in targets.values():
        target.repeat_words, target.repeat_share = (repeated,), 1.0
    script = _Script(fleet=fleet, run_ledger=run_ledger)
    await script.open()
    await script.run(*["WRITE i {}"] * 10)
    await asyncio.sleep(1.0)
    targets["t-2"].replication_paused = True
    await script.run(*["WRITE i {}"] * 10)
    await asyncio.sleep(2 * line_target.REPLICATION_LAG)
    await targets["t-1"].stop()
    async with asyncio.timeout(15):
        while run_ledger.codes["ok"] < 21:
            with contextlib.suppress(ConnectionError):
                await script.run("WRITE i {}")
            await asyncio.sleep(0.05)
    assert fleet.group.primary == "t-3"
    log = {data for *_, data in targets["t-3"].log}
    assert {write.value for write in run_ledger.acknowledged} <= log
    assert not run_ledger.failures


SET_UPS = {
    "shapes": ("PREPARE s READ q{}", "EXECUTE s i"),
    "values": ("SET a v{}", "READ i"),
    "shapes-and-values": ("PREPARE s READ q{}", "SET a v{}", "EXECUTE s i", "READ i"),
    "values-in-a-transaction": ("BEGIN", *("READ i", "SET a v{}") * 5, "COMMIT"),
    "shapes-in-a-transaction": ("BEGIN", *("PREPARE s READ q{}", "EXECUTE s i") * 5, "COMMIT"),
    "transactions": ("PREPARE s READ q{}", "BEGIN", "EXECUTE s i", "SET a v{}", "READ i", "COMMIT"),
}


@pytest.mark.parametrize("texts", SET_UPS.values(), ids=SET_UPS)
async def test_session_that_is_set_up_often_is_served(fleet, run_ledger, texts):
    """Guards against a connection that refuses all statements, as it was set up often before."""
    script = _Script(fleet=fleet, run_ledger=run_ledger)
    await script.open()
    for _ in range(40):
        await script.run(*texts)
    violations = run_ledger.violations(fleet.group, ())
    assert not violations, violations
    assert run_ledger.codes == {"ok": 40 * len(texts)}
