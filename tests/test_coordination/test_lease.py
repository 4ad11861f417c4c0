"""Lease of an entry VM on a primary."""

import dataclasses

import pytest

from greengageshunt.coordination import lease, records

RECORD = records.PrimaryRecord(group="g", primary="t-1", token=3, holder="vm-1", changing=False)


def _evaluate(**fields):
    given = {"version": 7, "registered": True, "as_of": 100.0, "now": 101.0, **fields}
    return lease.evaluate(given.pop("record", RECORD), **given)


def test_lease_on_a_confirmed_record_expires():
    """Guards against use of a primary after its successor may have been promoted."""
    assert _evaluate(now=100.0 + lease.LEASE_SECONDS - 0.001).valid
    assert not _evaluate(now=100.0 + lease.LEASE_SECONDS).valid


@pytest.mark.parametrize(
    "fields",
    [
        {"record": None},
        {"record": dataclasses.replace(RECORD, changing=True)},
        {"registered": False},
    ],
)
def test_no_lease_without_a_stable_record_and_a_registration(fields):
    """Guards against use of a primary by a process for which a change of it does not wait."""
    assert not _evaluate(**fields).valid


def test_change_of_primary_outlasts_leases_on_slower_clocks():
    """Guards against two primaries in use at once when clocks differ by up to 2% in speed."""
    assert lease.LEASE_SECONDS * 1.02 <= lease.LEASE_SECONDS + lease.CLOCK_DRIFT_MARGIN_SECONDS
