"""Tests of the command line against real entry VM processes."""

import asyncio
import os
import sys

from standins.proxy import Fault
from tests.fleets import BASE, SITE, run_with_fleet


def test_command_line():
    run_with_fleet(_scenario, with_proxies=True)


async def run_command(fleet, *args, expect=0):
    env = dict(
        os.environ,
        GALENARILL_ENDPOINTS=" ".join(
            vm.callers for vm in fleet.entry_vms.values()
        ),
        GALENARILL_OPERATOR_KEY_FILE=str(fleet.folder / "operator-key"),
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "galenarill",
        *args,
        env=env,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output = (await process.communicate())[0].decode()
    assert process.returncode == expect, output
    return output


async def _scenario(fleet):
    (fleet.folder / "operator-key").write_text(fleet.operator_key)
    await _settings(fleet)
    await _keys(fleet)
    output = await run_command(fleet, "status")
    assert "municipal" in output and "6 serving" in output
    fleet.platform.may_end_reboots.clear()
    output = await run_command(fleet, "vm", "drain", "render-a1")
    assert "drains" in output
    output = await run_command(fleet, "vm", "drain", "render-a2", expect=1)
    assert "1 of at most 1" in output
    fleet.platform.may_end_reboots.set()
    await run_command(fleet, "vm", "drain", "nothing", expect=1)
    output = await run_command(fleet, "config", "history")
    assert "StartDrain" in output


async def _settings(fleet):
    files = (str(BASE), "--site", str(SITE))
    assert "no difference" in await run_command(fleet, "config", "diff", *files)
    site = fleet.folder / "site.toml"
    site.write_text(SITE.read_text() + "\n[teams.batch]\nshare = 1.25\n")
    files = (str(BASE), "--site", str(site))
    output = await run_command(fleet, "config", "apply", *files)
    assert "teams.batch.share = 1.25" in output.replace('"', "")
    assert output.count("in force at 1 of 1") == 3
    output = await run_command(
        fleet, "config", "explain", "teams.batch.share", *files
    )
    assert "site.toml:" in output
    site.write_text(
        SITE.read_text()
        + "\n[teams.batch]\nshare = 1\nupper_limit = -3\nlimit = 2\n"
    )
    output = await run_command(fleet, "config", "check", *files, expect=2)
    lines = output.splitlines()
    assert any("restates the value 1" in line for line in lines), output
    assert any("teams.batch.limit: is not" in line for line in lines), output
    assert all("site.toml:" in line for line in lines), output


async def _keys(fleet):
    output = await run_command(fleet, "key", "give", "batch")
    key = output.splitlines()[0]
    fleet.keys["batch"] = key
    vms = list(fleet.entry_vms)
    status, _, _ = await fleet.submit(vms[0], "render", "batch")
    assert status == 200
    # The client connects to each entry VM itself, also in a partitioned zone.
    fleet.set_zone_fault("az-c", Fault.CUT)
    output = await run_command(fleet, "key", "withdraw", key.split("_")[1])
    assert output.count("in force at 1 of 1") == 3
    for vm in vms:
        status, _, _ = await fleet.submit(vm, "render", "batch")
        assert status in (401, 503)
    fleet.set_zone_fault("az-c", Fault.NONE)
    # The command reports which entry VM does not respond.
    await fleet.stop_entry_vm(vms[1])
    output = await run_command(
        fleet, "key", "withdraw", key.split("_")[1], expect=1
    )
    assert f"missing {vms[1]}" in output
    await fleet.start_entry_vm(vms[1])
    await fleet.wait_ready()
