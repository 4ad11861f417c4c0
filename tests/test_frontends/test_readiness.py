"""The readiness page that the balancer requests."""

import types

from greengageshunt import application
from greengageshunt.frontends import readiness


def _decide(**fields):
    given = {
        "stopping": False,
        "listening": True,
        "configured": True,
        "registered": True,
        "isolated": False,
        "targets": 3,
        "target_list_age": 1.0,
    }
    return readiness.decide(**{**given, **fields})[0]


def test_not_ready_if_any_condition_fails():
    """Guards against new connections to an entry VM that cannot serve them."""
    assert _decide()
    assert not _decide(stopping=True)
    assert not _decide(listening=False)
    assert not _decide(configured=False)
    assert not _decide(registered=False)
    assert not _decide(isolated=True)
    assert not _decide(targets=0)
    assert not _decide(target_list_age=readiness.TARGET_LIST_AGE_LIMIT + 1)


def test_consecutive_unready_responses_are_counted():
    """Guards against closing sessions while the balancer still sends them to this entry VM.

    The line front end closes idle sessions once this count shows that the balancer has
    taken the entry VM out of rotation.
    """
    isolation = types.SimpleNamespace(isolated_seconds=lambda now: isolation.seconds, seconds=0.0)
    copy = types.SimpleNamespace(as_of=100.0, rows={"t": 1})
    app = application.Application(name="test", clock=lambda: 100.0)
    app.add_part(
        "coordination", "view", lambda app: types.SimpleNamespace(copy=lambda section: copy)
    )
    app.add_part("configuration", "state", lambda app: types.SimpleNamespace(version=1))
    app.add_part("coordination", "members", lambda app: types.SimpleNamespace(registered=True))
    app.add_part("coordination", "isolation", lambda app: isolation)
    listening = types.SimpleNamespace(listening=True)
    app.add_part("peers", "server", lambda app: listening)
    app.add_part("frontend", "lines", lambda app: listening)
    page = readiness.Readiness(app=app)
    assert page._respond().status == 200 and page.consecutive_unready_responses == 0
    isolation.seconds = 0.5
    assert page._respond().status == 503 and page.consecutive_unready_responses == 1
    assert page._respond().status == 503 and page.consecutive_unready_responses == 2
    isolation.seconds = 0.0
    assert page._respond().status == 200 and page.consecutive_unready_responses == 0
