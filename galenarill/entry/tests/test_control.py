"""Tests of the control plane: journal failure and restart."""

import asyncio
import pathlib
import tempfile

import pytest

from galenarill.entry.control import open_control_plane
from galenarill.errors import JournalError
from galenarill.settings import PeerSettings, ProcessSettings
from galenarill.state import WithdrawKey


def _settings(folder):
    peer = PeerSettings(
        id="e1",
        availability_zone="az-a",
        links="127.0.0.1:1",
        callers="127.0.0.1:2",
        voter=True,
    )
    return ProcessSettings(
        vm="e1",
        link_secret_file="",
        operators_file="",
        entry_vms=[peer],
        data_folder=str(folder),
    )


async def _tick_until(control, condition):
    async with asyncio.timeout(10):
        while not condition():
            control.tick()
            await asyncio.sleep(0.02)


def test_journal_failure_applies_nothing_and_ends_the_process():
    async def scenario(folder):
        control = open_control_plane(
            _settings(folder), lambda *_: False, lambda: None
        )
        await _tick_until(control, lambda: control.is_caught_up)
        version = control.state.version

        def fail(*_):
            raise JournalError("no space left")

        control._driver._journal.append = fail
        change = asyncio.create_task(
            control.propose(WithdrawKey("k1"), "ana", "change-1")
        )
        with pytest.raises(JournalError):
            await _tick_until(control, lambda: False)
        assert control.state.version == version
        assert "k1" not in control.state.keys
        change.cancel()

    with tempfile.TemporaryDirectory(prefix="galenarill-") as name:
        asyncio.run(scenario(pathlib.Path(name)))


def test_changes_survive_a_restart():
    async def scenario(folder):
        control = open_control_plane(
            _settings(folder), lambda *_: False, lambda: None
        )
        await _tick_until(control, lambda: control.is_caught_up)
        for number in range(1100):
            task = asyncio.create_task(
                control.propose(
                    WithdrawKey(f"k{number}"), "ana", f"change-{number}"
                )
            )
            if number % 100 == 99:
                await _tick_until(control, task.done)
        version = control.state.version
        assert control.replica.log.snapshot.index > 0
        restarted = open_control_plane(
            _settings(folder), lambda *_: False, lambda: None
        )
        await _tick_until(restarted, lambda: restarted.is_caught_up)
        assert restarted.state.version >= version
        assert len(restarted.state.keys) == 1100

    with tempfile.TemporaryDirectory(prefix="galenarill-") as name:
        asyncio.run(scenario(pathlib.Path(name)))
