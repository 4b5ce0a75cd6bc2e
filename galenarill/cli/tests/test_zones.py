"""Tests of the `zone` commands."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from galenarill.cli import zones
from galenarill.errors import CommandRefusedError


@pytest.fixture
def evacuate(tmp_path, monkeypatch):
    """Return a function that runs the command; it returns what it called."""
    key_file = tmp_path / "key"
    key_file.write_text("secret")
    monkeypatch.setenv("GALENARILL_OPERATOR_KEY_FILE", str(key_file))
    monkeypatch.delenv("GALENARILL_CA_FILE", raising=False)
    called = []

    async def serve(request):
        change = request.path.rpartition("/")[2]
        called.append((request.match_info["zone"], change))
        return web.json_response(
            {"version": 1, "detail": "", "unconfirmed": []}
        )

    async def run(zone):
        app = web.Application()
        app.router.add_post("/v1/admin/zones/{zone}/evacuation", serve)
        app.router.add_post("/v1/admin/zones/{zone}/restoration", serve)
        async with TestServer(app) as server:
            monkeypatch.setenv(
                "GALENARILL_ENDPOINTS", f"{server.host}:{server.port}"
            )
            await asyncio.to_thread(zones.evacuate, zone)
        return called

    return lambda zone: asyncio.run(run(zone))


@pytest.mark.parametrize("zone", ["az-a", "a/restoration#", "a?b", "a/b"])
def test_a_zone_is_named_to_the_entry_vm_as_it_was_typed(evacuate, zone):
    """Guards against an odd name that turns the order into another one."""
    assert evacuate(zone) == [(zone, "evacuation")]


@pytest.mark.parametrize("zone", ["", ".."])
def test_an_answer_that_is_not_json_is_a_refusal(evacuate, zone):
    """Guards against a traceback, also with VMs of an earlier release."""
    with pytest.raises(CommandRefusedError, match="404"):
        evacuate(zone)
