"""Commands that set up a connection whose target may repeat answers."""

import itertools

import pytest

from greengageshunt.platform import session_setup


def _plan(values, shapes=(), current=None, *, earlier=0):
    setup = session_setup.SessionSetup(**(current or {}))
    return session_setup.plan(setup, values, shapes, earlier=earlier)


@pytest.mark.parametrize(
    ("values", "shapes", "current", "commands"),
    [
        ({}, (), {}, ()),
        ({"a": "1"}, (), {"values": {"a": "1"}}, ()),
        ({"a": "2"}, (), {"values": {"a": "1"}}, ("SET a 2",)),
        ({}, (), {"values": {"a": "1"}, "names": {"READ q": "p0"}}, ("RESET",)),
        ({"b": "1"}, (), {"values": {"a": "1"}}, ("RESET", "SET b 1")),
        ({}, ("READ q",), {"names": {"READ q": "p0"}, "name_count": 1}, ()),
        ({}, ("READ q",), {"name_count": 7}, ("PREPARE p7 READ q",)),
    ],
)
def test_commands_give_the_connection_what_it_lacks(values, shapes, current, commands):
    """Guards against values or statements of another session, and against a name used twice."""
    planned = _plan(values, shapes, current)
    assert planned.commands == commands
    assert planned.result.values == values


@pytest.mark.parametrize("earlier", [0, 1, 5])
@pytest.mark.parametrize("values", [{}, {"a": "1", "b": "22"}])
@pytest.mark.parametrize("shapes", [(), ("READ q",)])
def test_refused_command_shows_before_the_statement_is_sent(values, shapes, earlier):
    """Guards against a refusal that arrives after the statement, hidden by repeated answers.

    The target refuses one command. Each answer before it may be repeated in front of the error.
    """
    planned = _plan(values, shapes, {"values": {"old": "1"}}, earlier=earlier)
    sent = planned.commands + planned.padding
    for refused in range(len(planned.commands)):
        repeated = earlier + refused  # answers before the error that may arrive once more
        position_of_error = refused + repeated
        assert position_of_error < len(sent)
    names = [text.split(" ")[1] for text in sent if text.startswith("PREPARE")]
    assert len(names) == len(set(names))


def test_padding_is_short():
    """Guards against a large value that is sent many times."""
    planned = _plan({"large": "x" * 10**6, "small": "y"}, earlier=9)
    assert set(planned.padding) == {"SET small y"} and len(planned.padding) == 10


@pytest.mark.parametrize("in_transaction", [True, False])
def test_padding_of_large_values_is_limited(in_transaction):
    """Guards against a process whose memory fills with repeated values of 1 MiB."""
    planned = session_setup.plan(
        session_setup.SessionSetup(),
        {"a": "x" * 2**20, "b": "y" * 2**20},
        (),
        earlier=7,
        in_transaction=in_transaction,
    )
    assert len(planned.commands) == 2 and not planned.padding
    assert not session_setup.is_cheap(planned, earlier=7)


def test_connection_is_replaced_before_its_set_up_grows_without_limit():
    """Guards against padding that doubles with each new shape of a session."""
    current, earlier = session_setup.SessionSetup(), 0
    for number in itertools.count():
        planned = session_setup.plan(current, {}, (f"READ q{number}",), earlier=earlier)
        if not session_setup.is_cheap(planned, earlier=earlier):
            break
        current = planned.result
        earlier += len(planned.commands) + len(planned.padding)
    assert number > 3 and earlier <= 2 * session_setup.PADDING_LIMIT
