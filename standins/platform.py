"""Fake of the platform interface that reboots VMs."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

__all__ = ["FakePlatform"]


class FakePlatform:
    """In-memory platform that can drop responses and delay reboots.

    A reboot command is idempotent: repeating it starts no second reboot.

    Attributes:
        reboots: VM and id of each reboot command, in order of arrival.
        may_end_reboots: Reboots in progress do not end while it is clear.
        responses_to_drop: Number of following reboot commands that take
            effect but whose connection is aborted.
        address: `host:port` of the listener.
    """

    def __init__(
        self,
        vms: list[str],
        reboot_seconds: float = 1.0,
        on_reboot: Callable[[str], Awaitable[None]] | None = None,
    ):
        """Create a platform whose VMs are all running.

        Args:
            vms: Ids of its VMs.
            reboot_seconds: Duration of a reboot.
            on_reboot: Called with the VM id when a reboot starts.
        """
        self.reboots: list[tuple[str, str]] = []
        self.may_end_reboots = asyncio.Event()
        self.may_end_reboots.set()
        self.responses_to_drop = 0
        self.address = ""
        self._reboot_seconds = reboot_seconds
        self._on_reboot = on_reboot
        self._state = dict.fromkeys(vms, "running")
        self._last_command = dict.fromkeys(vms, "")
        self._runner: web.AppRunner | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start listening on a free loopback port."""
        app = web.Application()
        app.router.add_put("/v1/vms/{vm}/reboots/{command}", self._reboot)
        app.router.add_get("/v1/vms/{vm}", self._describe)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _reboot(self, request: web.Request) -> web.Response:
        vm, command = request.match_info["vm"], request.match_info["command"]
        if vm not in self._state:
            return web.Response(status=404)
        if (vm, command) not in self.reboots:
            self.reboots.append((vm, command))
            task = asyncio.create_task(self._complete_reboot(vm, command))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self.responses_to_drop > 0:
            self.responses_to_drop -= 1
            request.transport.abort()
        return web.json_response({})

    async def _complete_reboot(self, vm: str, command: str) -> None:
        self._state[vm] = "rebooting"
        if self._on_reboot is not None:
            await self._on_reboot(vm)
        await asyncio.sleep(self._reboot_seconds)
        await self.may_end_reboots.wait()
        self._state[vm] = "running"
        self._last_command[vm] = command

    async def _describe(self, request: web.Request) -> web.Response:
        vm = request.match_info["vm"]
        if vm not in self._state:
            return web.Response(status=404)
        return web.json_response(
            {
                "vm": vm,
                "state": self._state[vm],
                "last_command": self._last_command[vm],
            }
        )
