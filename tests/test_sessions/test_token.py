"""Tests of session tokens."""

import hypothesis
from hypothesis import strategies
from returns import pipeline

from greengageshunt import model
from greengageshunt.sessions import token

SECRET = "5e" * 32

POSITIONS = strategies.builds(
    model.Position,
    term=strategies.integers(1, 2**31),
    offset=strategies.integers(0, 2**53),
)


def _session(account: str = "account-1") -> token.Session:
    return token.Session(account=account, positions={"g": model.Position(term=1, offset=7)})


@hypothesis.given(strategies.dictionaries(strategies.text(max_size=20), POSITIONS, max_size=5))
@hypothesis.settings(derandomize=True, deadline=None)
def test_token_keeps_its_content(positions):
    """Guards against an encoding that loses or changes the position of a group."""
    session = token.Session(account="account-1", positions=positions)
    decoded = token.decode(token.encode(session, SECRET), "account-1", SECRET)
    assert decoded.unwrap() == session


def test_token_of_another_account_is_refused():
    """Guards against a client account that uses the session token of another one."""
    decoded = token.decode(token.encode(_session("account-2"), SECRET), "account-1", SECRET)
    assert decoded.failure().code == "token_invalid"


def test_changed_token_is_refused():
    """Guards against callers that change the positions in a token."""
    text = token.encode(_session(), SECRET)
    for index in range(len(text)):
        changed = text[:index] + ("A" if text[index] != "A" else "B") + text[index + 1 :]
        decoded = token.decode(changed, "account-1", SECRET)
        # The last character has unused bits, so a change there may not alter the content.
        assert not pipeline.is_successful(decoded) or decoded.unwrap() == _session()


@hypothesis.given(POSITIONS, POSITIONS)
@hypothesis.settings(derandomize=True, deadline=None)
def test_merge_never_lowers_a_position(first, second):
    """Guards against a session that returns to an older position and reads older data."""
    session = token.Session(account="account-1", positions={"g": first})
    merged = token.merge(session, "g", second)
    assert merged.positions["g"] == max(first, second)
