"""Validation of settings files against the declared settings."""

import pytest

from greengageshunt import config, errors
from greengageshunt.programs import common, proxy

VALID = """
[vm]
name = "vm-1"
failure_domain = "klang"
peer_address = "127.0.0.1:7001"
[http]
address = "127.0.0.1:7000"
[platform]
address = "127.0.0.1:7002"
"""


async def _parse(text: str) -> config.Settings:
    app = common.create("greengageshunt-proxy", proxy.EXTENSIONS)
    app.configure(config.parse(text, app.declared_settings, "proxy.toml"))
    common.check_parts(app)
    return app.settings


async def test_valid_settings_are_accepted():
    """Guards against a check that rejects a valid settings file."""
    settings = await _parse(VALID)
    assert settings["vm.name"] == "vm-1"
    assert settings["parts.driver"] == "postgresql"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (VALID + "[extra]\nkey = 1\n", "proxy.toml: extra.key: unknown setting"),
        (VALID.replace('"vm-1"', "1"), "proxy.toml: vm.name: expected a string, got 1"),
        (
            VALID.replace("127.0.0.1:7000", "localhost:7000"),
            'proxy.toml: http.address: expected an address such as "127.0.0.1:7000"',
        ),
        (VALID.replace("[http]", "").replace('address = "127.0.0.1:7000"\n', ""), "http.address"),
        (
            VALID + '[parts]\nrouting = "x"\n',
            "parts.routing: expected one of position, waiting, got 'x'",
        ),
        ("[vm", "proxy.toml: expected TOML"),
    ],
)
async def test_faulty_settings_name_file_key_and_expectation(text, expected):
    """Guards against a daemon that starts with invalid settings, and against vague errors."""
    with pytest.raises(errors.SettingsError) as raised:
        await _parse(text)
    assert expected in str(raised.value)
    assert "\n" not in str(raised.value)
