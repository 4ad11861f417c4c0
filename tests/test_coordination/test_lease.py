"""Permission to use a primary."""

import dataclasses

import pytest

from greengageshunt.coordination import lease, records

RECORD = records.LeadRecord(group="g", primary="t-1", token=3, holder="vm-1", changing=False)


def _decide(**fields):
    given = {"version": 7, "registered": True, "as_of": 100.0, "now": 101.0, **fields}
    return lease.decide(given.pop("record", RECORD), **given)


def test_confirmed_record_permits_until_the_lease_ends():
    """Guards against use of a primary after another may have been ordered."""
    assert _decide(now=100.0 + lease.LEASE - 0.001).granted
    assert not _decide(now=100.0 + lease.LEASE).granted


@pytest.mark.parametrize(
    "fields",
    [
        {"record": None},
        {"record": dataclasses.replace(RECORD, changing=True)},
        {"registered": False},
    ],
)
def test_unknown_changing_or_unregistered_permits_nothing(fields):
    """Guards against use of a primary that a change does not wait for."""
    assert not _decide(**fields).granted


def test_who_changes_the_primary_waits_longer_than_any_permission_lasts():
    """Guards against clocks that differ by up to 2% in speed."""
    assert lease.LEASE * 1.02 <= lease.LEASE + lease.DRIFT
