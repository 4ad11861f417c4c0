"""End of work that waits for a primary of an ended term or of another owner."""

import asyncio
import dataclasses

import pytest

from greengageshunt import errors
from greengageshunt.failover import supersession
from support import fakes


def _prepare():
    world = fakes.build_world()
    app = fakes.build_application(world, lambda: 0.0)
    return app, world.record, supersession.TermWork(app=app)


async def _wait_for_connection(job):
    await asyncio.Event().wait()


async def _run_silent(job):
    return await job(None)


async def _silent(connection):
    await asyncio.Event().wait()


@pytest.mark.parametrize(
    ("run", "outcome"),
    [
        (_wait_for_connection, errors.Outcome.NOT_RUN),
        (_run_silent, errors.Outcome.UNKNOWN),
    ],
)
async def test_new_term_ends_waiting_work(run, outcome):
    """Guards against writes that wait at a failed primary until their deadline."""
    app, record, work = _prepare()
    waiting = asyncio.create_task(work.run(record, run, _silent))
    await asyncio.sleep(0.01)
    newer = dataclasses.replace(record, term=2, primary="b")
    app.part("groups", "directory").learn_record(newer, "platform")
    with pytest.raises(errors.RefusedError) as caught:
        await waiting
    assert (caught.value.refusal.code, caught.value.refusal.outcome) == ("term_changed", outcome)


async def test_change_of_owner_ends_waiting_work():
    """Guards against requests that wait for a pool that was closed."""
    _, record, work = _prepare()
    waiting = asyncio.create_task(work.run(record, _wait_for_connection, _silent))
    await asyncio.sleep(0.01)
    work.end_target(record.primary)
    with pytest.raises(errors.RefusedError) as caught:
        await waiting
    assert caught.value.refusal.code == "owner_changed"


async def test_cancelled_request_stays_cancelled():
    """Guards against turning the end of the program into a refusal."""
    _, record, work = _prepare()
    waiting = asyncio.create_task(work.run(record, _wait_for_connection, _silent))
    await asyncio.sleep(0.01)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
