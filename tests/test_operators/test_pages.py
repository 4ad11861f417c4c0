"""Runs the commands of the operators' pages, as written there, against a fleet."""

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
READ_ONLY_ACTIONS = ("check", "diff", "status", "export")
VARYING_OUTPUT = (
    (re.compile(r"\d+\.\d+ s"), "N s"),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"bintang-2\.\S+"), "bintang-2.SECRET"),
)


def commands(page: str) -> list[str]:
    """Return the greengageshuntctl commands of a page."""
    text = (PAGES / page).read_text()
    return re.findall(r"^ {4,}(greengageshuntctl .*)$", text, flags=re.MULTILINE)


def batches(written: list[str]) -> list[list[str]]:
    """Return distinct commands in order, with adjacent read-only commands in one batch."""
    grouped: list[list[str]] = []
    for command in dict.fromkeys(written):
        read_only = command.split()[2] in READ_ONLY_ACTIONS
        if read_only and grouped and grouped[-1][0].split()[2] in READ_ONLY_ACTIONS:
            grouped[-1].append(command)
        else:
            grouped.append([command])
    return grouped


def _write_files(directory: pathlib.Path, fleet: fleet_module.Fleet) -> None:
    blocks = re.findall(r"```toml\n(.*?)```", (PAGES / "install.md").read_text(), flags=re.DOTALL)
    for name, block in zip(("proxy", "failover", "ctl"), blocks, strict=True):
        text = block.replace("10.0.0.5:7100", fleet.layout.platform_address)
        (directory / f"{name}.toml").write_text(text)
    (directory / "morning.csv").write_text(
        EXAMPLE.read_text().replace("murni-pots,20", "murni-pots,30")
    )
    script = directory / "greengageshuntctl"
    script.write_text(f'#!/bin/sh\nexec {sys.executable} -m greengageshunt.programs.ctl "$@"\n')
    script.chmod(0o755)


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
    for pattern, replacement in VARYING_OUTPUT:
        text = pattern.sub(replacement, text)
    return [f"$ {command}", *text.splitlines()]


async def test_commands_of_the_pages(start_fleet, tmp_path, snapshot):
    """Guards against pages whose commands fail or print something else."""
    content = sheet.parse(EXAMPLE.read_bytes()).unwrap()
    first = sheet.merge(content, state.EMPTY_CONFIGURATION).unwrap()
    first = dataclasses.replace(first, token_secret="5e" * 32)
    fleet = await start_fleet(first, schema=SCHEMA)
    _write_files(tmp_path, fleet)
    output_lines: list[str] = []
    pages = ("install", "sheet", "keys", "drain", "cut-off-domain", "upgrade")
    for batch in batches([command for page in pages for command in commands(f"{page}.md")]):
        for lines in await asyncio.gather(*(_run(command, tmp_path, fleet) for command in batch)):
            output_lines += lines
    status, sheet_status = commands("platform-outage.md")
    await fleet.set_platform_faults(down=True)
    output_lines += await _run(status, tmp_path, fleet)
    await fleet.set_platform_faults(down=False)
    output_lines += await _run(sheet_status, tmp_path, fleet)
    assert output_lines == snapshot
    exported = (tmp_path / "current.csv").read_bytes()
    assert "bintang-1" in {key.key_id for key in sheet.parse(exported).unwrap().keys}
