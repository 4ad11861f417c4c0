"""Promotion with in-memory targets and an in-memory platform."""

import asyncio
import dataclasses

import pytest

from greengageshunt import codec, model
from greengageshunt.failover import detection, election, promotion, rows, targets
from greengageshunt.stores import rows as store_rows
from support import fakes

ROW = "groups/group"
FAILED = detection.Plan(
    term=2, reason=detection.Reason.FAILED, preferred="", planned=False, promoter="vm#1"
)


@pytest.fixture
def world(monkeypatch):
    """Return a group, with a short wait for write grants."""
    monkeypatch.setattr(election.grants, "GRANT_DURATION", 0.05)
    world = fakes.build_world()
    world.platform.rows[ROW] = store_rows.Row(key=ROW, value=codec.to_plain(world.record), etag="0")
    return world


def _promoter(world):
    loop = asyncio.get_running_loop()
    app = fakes.build_application(world, loop.time)
    links = {
        target.name: targets.TargetLink(app=app, target=target) for target in world.record.targets
    }
    return promotion.Promoter(app=app), links


async def _promote(world, plan=FAILED):
    promoter, links = _promoter(world)
    return await promoter.promote(plan, world.record, links)


def _stored(world):
    return codec.from_plain(world.platform.rows[ROW].value, model.GroupRecord)


async def test_longest_log_is_promoted(world):
    """Guards against the loss of a write that only one replica had."""
    world.targets["a"].alive = False
    world.targets["b"].log.append((1, "acknowledged"))
    promoted = await _promote(world)
    assert (promoted.primary, promoted.term) == ("b", 2)
    assert _stored(world).intent == model.Intent(term=2, promoter="vm#1")


@pytest.mark.parametrize("platform_down", [False, True])
async def test_two_promoters_never_open_two_targets_in_one_term(world, platform_down):
    """Guards against two primaries of one term, also while the platform is down."""
    world.targets["a"].alive = False
    world.platform.down = platform_down
    for term in range(2, 12):
        plans = [
            dataclasses.replace(FAILED, term=term, promoter=detection.new_promoter_name(vm))
            for vm in ("vm-1", "vm-2", "vm-3")
        ]
        await asyncio.gather(*(_promote(world, plan) for plan in plans))
    opened = [term for target in world.targets.values() for term, _ in target.promotions]
    assert opened
    assert len(opened) == len(set(opened))


async def test_lost_answer_of_the_promoted_target(world):
    """Guards against a promotion that took effect but is reported as failed, or runs twice."""
    world.targets["a"].alive = False
    world.targets["c"].log.append((1, "acknowledged"))
    promoter, links = _promoter(world)
    for name in "bc":
        await links[name].run(lambda connection: connection.raise_term(2, "vm#1", 0.0))
    world.targets["c"].lose_answers = 1
    promoted = await promoter._open_target(FAILED, world.record, links["c"])
    assert promoted.primary == "c"
    assert world.targets["c"].promotions == [(2, "vm#1")]


async def test_second_attempt_at_a_term_opens_no_second_target(world):
    """Guards against a second primary of one term, opened by the same entry VM.

    The answer to its first attempt is lost, so the entry VM tries the term again.
    """
    world.targets["a"].alive = False
    view = detection.GroupView(
        record=world.record,
        statuses=(),
        vm="vm",
        rank=0,
        served_at=0.0,
        unrecorded_since=None,
        change_due_since=None,
        back_off_until=0.0,
    )
    for opened in "bc":
        first = detection._plan(view, detection.Reason.FAILED, opened)
        await _promote(world, first)
        # The platform has not stored the promotion, and the opened target is unreachable.
        world.platform.rows[ROW] = store_rows.Row(
            key=ROW, value=codec.to_plain(world.record), etag="0"
        )
        world.targets["a"].alive, world.targets[opened].alive = True, False
    opened = [term for target in world.targets.values() for term, _ in target.promotions]
    assert opened == [2]


async def test_row_is_read_back_after_a_lost_answer(world):
    """Guards against a second write of a row whose first write took effect."""
    record = dataclasses.replace(world.record, term=2, primary="b")
    world.platform.lose_answers = 1
    await rows.store_promotion(world.platform, record)
    assert world.platform.writes == 1
    assert (_stored(world).term, _stored(world).primary) == (2, "b")


async def test_row_is_completed_when_the_platform_returns(world, monkeypatch):
    """Guards against a promotion during a platform outage that is never stored."""
    monkeypatch.setattr(rows, "RETRY_DELAY", 0.01)
    world.platform.down = True
    storing = asyncio.create_task(
        rows.store_promotion(world.platform, dataclasses.replace(world.record, term=2, primary="b"))
    )
    await asyncio.sleep(0.05)
    world.platform.down = False
    await asyncio.wait_for(storing, 5.0)
    assert _stored(world).primary == "b"


async def test_older_promotion_does_not_overwrite_a_newer_row(world):
    """Guards against a group row that reverts to a term that has ended."""
    await rows.store_promotion(
        world.platform, dataclasses.replace(world.record, term=3, primary="c")
    )
    await rows.store_promotion(
        world.platform, dataclasses.replace(world.record, term=2, primary="b")
    )
    assert (_stored(world).term, _stored(world).primary) == (3, "c")


async def test_newer_intent_of_another_promoter_is_respected(world):
    """Guards against promoters that fence each other's targets although the platform is up."""
    stored = dataclasses.replace(world.record, intent=model.Intent(term=5, promoter="other"))
    world.platform.rows[ROW] = store_rows.Row(key=ROW, value=codec.to_plain(stored), etag="0")
    outcome = await _promote(world)
    assert outcome == promotion.Contested(stored=stored)
    assert world.targets["b"].term == 1


async def test_planned_change_hands_over_the_whole_log(world):
    """Guards against a planned change that loses the last commits of the old primary."""
    for number in range(5):
        world.targets["a"].write(f"item {number}")

    async def replicate():
        while True:
            world.targets["b"].copy_from(world.targets["a"])
            await asyncio.sleep(0.02)

    copying = asyncio.create_task(replicate())
    plan = dataclasses.replace(
        FAILED, reason=detection.Reason.REQUESTED, preferred="b", planned=True
    )
    promoted = await _promote(world, plan)
    copying.cancel()
    assert promoted.primary == "b"
    assert world.targets["b"].log[:6] == world.targets["a"].log


async def test_planned_change_without_catching_up_keeps_the_primary(world, monkeypatch):
    """Guards against the promotion of a requested target that lacks the last commits."""
    monkeypatch.setattr(promotion, "HAND_OVER_TIMEOUT", 0.05)
    world.targets["a"].write("not copied")
    plan = dataclasses.replace(
        FAILED, reason=detection.Reason.REQUESTED, preferred="b", planned=True
    )
    promoted = await _promote(world, plan)
    assert (promoted.primary, promoted.term) == ("a", 2)
