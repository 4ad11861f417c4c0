"""What the balancer is told, and how often in a row it was refused."""

import types

from greengageshunt import application
from greengageshunt.frontends import readiness


def _decide(**fields):
    given = {
        "stopping": False,
        "configured": True,
        "registered": True,
        "isolated": False,
        "targets": 3,
        "age": 1.0,
    }
    return readiness.decide(**{**given, **fields})[0]


def test_each_lack_refuses_new_callers():
    """Guards against callers that are sent to an entry VM which cannot serve them."""
    assert _decide()
    assert not _decide(stopping=True)
    assert not _decide(configured=False)
    assert not _decide(registered=False)
    assert not _decide(isolated=True)
    assert not _decide(targets=0)
    assert not _decide(age=readiness.STALE_AFTER + 1)


def test_refusals_in_a_row_are_counted():
    """Guards against sessions that are closed before the balancer sends them elsewhere."""
    isolation = types.SimpleNamespace(isolated_seconds=lambda now: isolation.seconds, seconds=0.0)
    copy = types.SimpleNamespace(as_of=100.0, rows={"t": 1})
    app = application.Application(name="test", clock=lambda: 100.0)
    app.add_part(
        "coordination", "view", lambda app: types.SimpleNamespace(copy=lambda section: copy)
    )
    app.add_part("configuration", "state", lambda app: types.SimpleNamespace(version=1))
    app.add_part("coordination", "members", lambda app: types.SimpleNamespace(registered=True))
    app.add_part("coordination", "isolation", lambda app: isolation)
    page = readiness.Readiness(app=app)
    assert page._show().status == 200 and page.refusals == 0
    isolation.seconds = 0.5
    assert page._show().status == 503 and page.refusals == 1
    assert page._show().status == 503 and page.refusals == 2
    isolation.seconds = 0.0
    assert page._show().status == 200 and page.refusals == 0
