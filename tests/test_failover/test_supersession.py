"""Cancellation of jobs that wait for a primary of an ended term or of another owner."""

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


async def _run_at_once(job):
    return await job(None)


async def _wait_for_answer(connection):
    await asyncio.Event().wait()


@pytest.mark.parametrize(
    ("run", "outcome"),
    [
        (_wait_for_connection, errors.Outcome.NOT_RUN),
        (_run_at_once, errors.Outcome.UNKNOWN),
    ],
)
async def test_new_term_ends_waiting_work(run, outcome):
    """Guards against writes that wait for a failed primary until their deadline."""
    app, record, work = _prepare()
    waiting = asyncio.create_task(work.run(record, run, _wait_for_answer))
    await asyncio.sleep(0.01)
    newer = dataclasses.replace(record, term=2, primary="b")
    app.part("groups", "directory").apply_record(newer, "platform")
    with pytest.raises(errors.RefusedError) as raised:
        await waiting
    assert (raised.value.refusal.code, raised.value.refusal.outcome) == ("term_changed", outcome)


async def test_change_of_owner_ends_waiting_work():
    """Guards against requests that wait for a connection of a closed pool."""
    _, record, work = _prepare()
    waiting = asyncio.create_task(work.run(record, _wait_for_connection, _wait_for_answer))
    await asyncio.sleep(0.01)
    work.cancel_jobs_at(record.primary)
    with pytest.raises(errors.RefusedError) as raised:
        await waiting
    assert raised.value.refusal.code == "owner_changed"


async def test_cancelled_request_stays_cancelled():
    """Guards against a shutdown that is reported as a refusal instead of a cancellation."""
    _, record, work = _prepare()
    waiting = asyncio.create_task(work.run(record, _wait_for_connection, _wait_for_answer))
    await asyncio.sleep(0.01)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
