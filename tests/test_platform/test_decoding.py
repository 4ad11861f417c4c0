"""Names in the platform's documents that the line protocol cannot send to targets."""

import pytest

from greengageshunt.platform import decoding

TARGET = {
    "service": "ledger",
    "address": "127.0.0.1:7000",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "db-role": "replica",
}

# Names that would end their field or line, or have no encoding.
UNSENDABLE = ["", "a b", " a", "a\r\nQUERY q WRITE i x", "a\r\n", "\ud800"]

# Names of which all bytes belong to the field.
SENDABLE = ["a\r", "a\n", "a\u2028b", "a\x0b", "\u00e9", "a\t"]


@pytest.mark.parametrize("name", UNSENDABLE)
def test_target_whose_name_cannot_be_sent_is_no_target(name):
    """Guards against a name that becomes a message to a target, or fails each connection to it."""
    with pytest.raises(decoding.DecodeError):
        decoding.decode_target(name, TARGET)
    with pytest.raises(decoding.DecodeError):
        decoding.decode_target("t-1", {**TARGET, "service": name})


@pytest.mark.parametrize("name", SENDABLE)
def test_names_of_a_target_are_kept_unchanged(name):
    """Guards against targets that are refused, or change their name, for unusual characters."""
    decoded = decoding.decode_target(name, {**TARGET, "service": name})
    assert (decoded.target, decoded.group) == (name, name)


@pytest.mark.parametrize("name", UNSENDABLE)
def test_tenant_whose_name_cannot_be_sent_does_not_make_targets_look_unreachable(name, caplog):
    """Guards against a tenant whose connections all fail, which count as failures of the target."""
    tenants = [
        {"name": tenant, "rate-per-s": 1, "burst": 1, "api-keys": [f"key-{number}"]}
        for number, tenant in enumerate((name, *SENDABLE))
    ]
    configuration = decoding.decode_configuration({"version": 1, "routes": [], "tenants": tenants})
    assert [account.name for account in configuration.accounts] == SENDABLE
    assert [key.account for key in configuration.keys] == SENDABLE
    assert [line.tenant for line in caplog.records if line.message == "tenant left out"] == [name]


def test_key_with_a_lone_surrogate_leaves_the_configuration_readable():
    """Guards against one key without an encoding that keeps a whole configuration out of force."""
    tenants = [{"name": "one", "rate-per-s": 1, "burst": 1, "api-keys": ["\ud800", "key"]}]
    configuration = decoding.decode_configuration({"version": 1, "routes": [], "tenants": tenants})
    assert len({key.digest for key in configuration.keys}) == 2
