"""Tests of the authentication of keys while the log is being applied."""

import asyncio
import types

import pytest

from galenarill.common import new_key
from galenarill.entry.keyring import CATCH_UP_GRACE_SECONDS, KeyRing, KeyVerdict
from galenarill.state import KeyRecord
from standins.virtual_time import run_in_virtual_time


class _Scene:
    """A key ring of a single entry VM and its replicated state."""

    def __init__(self):
        key_id, self.key, digest = new_key()
        self.is_caught_up = False
        self.state = types.SimpleNamespace(
            version=1, keys={key_id: KeyRecord(key_id, "team", digest)}
        )
        settings = types.SimpleNamespace(vm="e1", zones={"e1": "az-a"})
        self.ring = KeyRing(
            settings,
            lambda *_: False,
            lambda: self.state,
            lambda: self.is_caught_up,
        )

    def verdict(self):
        return self.ring.authenticate(f"Bearer {self.key}")[0]


@pytest.fixture
def run():
    def run(scenario):
        async def start():
            await scenario(_Scene(), asyncio.sleep)

        run_in_virtual_time(start)

    return run


def test_keys_are_not_fresh_before_the_first_catch_up(run):
    async def scenario(scene, sleep):
        assert scene.verdict() is KeyVerdict.STALE
        scene.is_caught_up = True
        assert scene.verdict() is KeyVerdict.VALID

    run(scenario)


def test_keys_stay_fresh_while_a_newer_entry_is_being_applied(run):
    async def scenario(scene, sleep):
        scene.is_caught_up = True
        scene.ring.state_changed()
        # A newer read index has arrived and is applied a turn later.
        scene.is_caught_up = False
        await sleep(0.1)
        assert scene.verdict() is KeyVerdict.VALID
        scene.is_caught_up = True
        scene.ring.state_changed()
        assert scene.verdict() is KeyVerdict.VALID

    run(scenario)


def test_keys_are_not_fresh_if_the_log_stays_behind(run):
    async def scenario(scene, sleep):
        scene.is_caught_up = True
        scene.ring.state_changed()
        scene.is_caught_up = False
        await sleep(CATCH_UP_GRACE_SECONDS + 0.1)
        assert scene.verdict() is KeyVerdict.STALE

    run(scenario)
