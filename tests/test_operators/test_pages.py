"""The commands of the operators' pages, run as written against a fleet."""

import asyncio
import dataclasses
import os
import pathlib
import re
import sys

from greengageshunt.configuration import sheet, state
from greengageshunt.programs import ctl
from greengageshunt.standins import fleet as fleet_module

ROOT = pathlib.Path(__file__).parents[2]
PAGES = ROOT / "docs" / "operators"
EXAMPLE = ROOT / "examples" / "ppgm-sheet.csv"

SCHEMA = """CREATE TABLE IF NOT EXISTS bookings (
    id INTEGER PRIMARY KEY, item TEXT NOT NULL, account TEXT NOT NULL
)"""
READS = ("check", "diff", "status", "export")
VARYING = (
    (re.compile(r"\d+\.\d+ s"), "N s"),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"bintang-2\.\S+"), "bintang-2.SECRET"),
)


def commands(page: str) -> list[str]:
    """Return the greengageshuntctl commands of a page."""
    text = (PAGES / page).read_text()
    return re.findall(r"^ {4,}(greengageshuntctl .*)$", text, flags=re.MULTILINE)


def batches(written: list[str]) -> list[list[str]]:
    """Return distinct commands in order; neighbours that only read are in one batch."""
    found: list[list[str]] = []
    for each in dict.fromkeys(written):
        reads = each.split()[2] in READS
        if reads and found and found[-1][0].split()[2] in READS:
            found[-1].append(each)
        else:
            found.append([each])
    return found


def _write_files(directory: pathlib.Path, fleet: fleet_module.Fleet) -> None:
    blocks = re.findall(r"```toml\n(.*?)```", (PAGES / "install.md").read_text(), flags=re.DOTALL)
    for name, block in zip(("proxy", "failover", "ctl"), blocks, strict=True):
        text = block.replace("10.0.0.5:7100", fleet.layout.platform_address)
        (directory / f"{name}.toml").write_text(text)
    (directory / "morning.csv").write_text(
        EXAMPLE.read_text().replace("murni-pots,20", "murni-pots,30")
    )
    shim = directory / "greengageshuntctl"
    shim.write_text(f'#!/bin/sh\nexec {sys.executable} -m greengageshunt.programs.ctl "$@"\n')
    shim.chmod(0o755)


async def _run(command: str, directory: pathlib.Path, fleet: fleet_module.Fleet) -> list[str]:
    environment = {
        **os.environ,
        "PATH": f"{directory}:{os.environ['PATH']}",
        "PYTHONPATH": str(ROOT / "src"),
        ctl.SETTINGS_VARIABLE: "ctl.toml",
        "PROXY": fleet.layout.vms[0].http_address,
    }
    process = await asyncio.create_subprocess_exec(
        "sh",
        "-c",
        command,
        cwd=directory,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, progress = await process.communicate()
    assert process.returncode == 0, (command, output, progress)
    text = output.decode()
    for pattern, replacement in VARYING:
        text = pattern.sub(replacement, text)
    return [f"$ {command}", *text.splitlines()]


async def test_commands_of_the_pages(start_fleet, tmp_path, snapshot):
    """Guards against pages whose commands do not work."""
    content = sheet.parse(EXAMPLE.read_bytes()).unwrap()
    first = sheet.merge(content, state.EMPTY_CONFIGURATION).unwrap()
    first = dataclasses.replace(first, token_secret="5e" * 32)
    fleet = await start_fleet(first, schema=SCHEMA)
    _write_files(tmp_path, fleet)
    shown: list[str] = []
    pages = ("install", "sheet", "keys", "drain", "cut-off-domain", "upgrade")
    for batch in batches([each for page in pages for each in commands(f"{page}.md")]):
        for lines in await asyncio.gather(*(_run(each, tmp_path, fleet) for each in batch)):
            shown += lines
    status, sheet_status = commands("platform-outage.md")
    await fleet.set_platform_faults(down=True)
    shown += await _run(status, tmp_path, fleet)
    await fleet.set_platform_faults(down=False)
    shown += await _run(sheet_status, tmp_path, fleet)
    assert shown == snapshot
    exported = (tmp_path / "current.csv").read_bytes()
    assert "bintang-1" in {key.key_id for key in sheet.parse(exported).unwrap().keys}
