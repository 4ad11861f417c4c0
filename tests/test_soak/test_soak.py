"""Short seeded runs of the soak, and the seeds that ever failed."""

import pytest

from soak import world

SECONDS = 8.0  # seconds of faults in a run

# Seed: what it found, and when it counted as fixed.
REGRESSIONS: dict[int, str] = {}


@pytest.mark.parametrize("seed", [1, 2, *REGRESSIONS])
async def test_promises_hold_under_faults(seed, tmp_path):
    """Guards against promises that hold for each fault alone and not for several at once."""
    report = await world.World(folder=tmp_path, seed=seed, size=4).run(SECONDS)
    assert not report.violations, report
    assert report.codes["ok"] > 100
