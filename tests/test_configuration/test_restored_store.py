"""Configurations of a store that was restored from an older copy."""

import dataclasses

from greengageshunt import application, model
from greengageshunt.configuration import state


def _adopted(*configurations: tuple[model.Configuration, int]) -> model.Configuration:
    """Return the configuration in force after some were read, each in an era of the store."""
    app = application.Application(name="vm-1")
    state.setup(app)
    current: state.ConfigurationState = app.part("configuration", "state")
    for configuration, era in configurations:
        current.adopt(configuration, "store", era)
    return current.current


FIRST = dataclasses.replace(state.EMPTY_CONFIGURATION, version=5)
LOST = dataclasses.replace(FIRST, version=7, token_secret="lost")
AGAIN = dataclasses.replace(LOST, token_secret="written again")


def test_older_configuration_of_a_restored_store_is_not_adopted():
    """Guards against a change that was in force and comes back older."""
    assert _adopted((FIRST, 1), (LOST, 1), (FIRST, 2)) is LOST


def test_version_that_is_written_again_with_another_content_is_adopted():
    """Guards against a route that was added after a restore and is never served."""
    assert _adopted((FIRST, 1), (LOST, 1), (FIRST, 2), (AGAIN, 2)) is AGAIN


def test_content_of_a_version_stays_within_an_era():
    """Guards against a late answer of the store that brings a lost content back."""
    assert _adopted((FIRST, 1), (LOST, 1), (AGAIN, 2), (LOST, 1)) is AGAIN
    assert _adopted((LOST, 1), (AGAIN, 1)) is LOST
