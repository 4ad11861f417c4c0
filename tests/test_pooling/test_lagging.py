"""Replicas that refused statements as they lack a log position."""

import pytest

from greengageshunt import model
from greengageshunt.pooling import lagging


def _position(offset):
    return model.Position(term=1, offset=offset)


@pytest.mark.parametrize(
    ("after", "seconds", "lacks"),
    [
        (_position(6), 0.0, True),
        (_position(6), lagging.REFUSAL_PERIOD, True),
        (_position(6), 2 * lagging.REFUSAL_PERIOD, False),
        (_position(5), 0.0, False),
        (None, 0.0, False),
    ],
)
def test_replica_that_lacks_a_position_is_avoided_for_a_while(after, seconds, lacks):
    """Guards against statements that all go to a replica that is behind, one refusal each."""
    replicas = lagging.LaggingReplicas()
    replicas.note_refusal("t-2", _position(5), 10.0)
    assert replicas.lacks("t-2", after, 10.0 + seconds) is lacks
    assert not replicas.lacks("t-3", after, 10.0 + seconds)
