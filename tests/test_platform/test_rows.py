"""Keys of rows in the paths of the platform client over HTTP."""

import pytest
from aiohttp import web

from greengageshunt.standins import platform
from greengageshunt.stores import http, rows
from support import entry_fleet


@pytest.mark.parametrize(
    "name",
    ["a?b", "a#b", "a%2Fb", "a%b", "a&prefix=", "a+b", "a b\r", "a/../b", "a/./b", "\u00e9"],
)
async def test_key_is_kept_whole_in_the_path(name):
    """Guards against a read or write of the row whose key is a part of the key that was given."""
    runner = web.AppRunner(platform.PlatformStandin().application())
    await runner.setup()
    port = entry_fleet.free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    client = http.HttpPlatform(address=f"127.0.0.1:{port}", vm="vm-1")
    key = f"groups/{name}"
    assert isinstance(await client.put_row("groups/a", "another row", None), rows.Row)
    assert isinstance(await client.put_row(key, "the row", None), rows.Row)
    listed = await client.list_rows(key)
    read = await client.get_row(key)
    await client.put_object(name, b"object")
    stored = await client.get_object(name)
    await client.close()
    await runner.cleanup()
    assert [(row.key, row.value) for row in listed] == [(key, "the row")]
    assert read.value == "the row"
    assert stored == b"object"
