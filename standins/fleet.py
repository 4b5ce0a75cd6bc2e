"""Local fleet: real entry VM processes, fake backend servers and platform."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import socket
import ssl
import sys
from collections.abc import Callable

import aiohttp
import msgspec

from galenarill.common import new_key
from galenarill.settings import load_settings
from standins.platform import FakePlatform
from standins.proxy import FaultProxy
from standins.server import FakeServer

__all__ = ["LocalFleet", "EntryVm", "free_port"]

START_SECONDS = 120.0
STOP_SECONDS = 30.0
FREE_PORT_RANGE = range(15_000, 32_000)

# Ports that were returned before. Who asked for one may not listen yet.
_handed_out: set[int] = set()


def free_port() -> int:
    """Return an unused port on loopback, another one at each call.

    The port is below the kernel's ephemeral port range. Otherwise an outgoing
    connection could take it before the process that will listen on it starts.
    """
    for port in random.sample(FREE_PORT_RANGE, len(FREE_PORT_RANGE)):
        if port in _handed_out:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _handed_out.add(port)
            return port
    raise RuntimeError("every port in FREE_PORT_RANGE is in use")


@dataclasses.dataclass
class EntryVm:
    """One entry VM of the local fleet.

    Attributes:
        id: VM id.
        az: Availability zone.
        callers: `host:port` of the listener for callers.
        links: `host:port` of the listener for links from other entry VMs.
        is_voter: Whether it votes in the replicated log and has a disk.
        process: Its latest process, or None before the first start.
        proxies: Proxy to each entry VM that this one dials, by VM id. Empty
            if links do not pass through proxies.
    """

    id: str
    az: str
    callers: str
    links: str
    is_voter: bool
    process: asyncio.subprocess.Process | None = None
    proxies: dict[str, FaultProxy] = dataclasses.field(default_factory=dict)


class LocalFleet:
    """Entry VMs as processes, with fake backend servers and a fake platform.

    Use it as an asynchronous context manager.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        base: pathlib.Path,
        overlay: pathlib.Path | None = None,
        *,
        zones: tuple[str, ...] = ("az-a", "az-b", "az-c"),
        entry_vms_per_zone: int = 1,
        with_proxies: bool = False,
        slots: int = 8,
        with_servers: bool = True,
        tls_ca: ssl.SSLContext | None = None,
        extra_settings: Callable[[str], list[str]] | None = None,
    ):
        """Configure a fleet; entering the context starts it.

        Args:
            folder: Folder for settings, logs and data of the processes.
            base: File with the base settings.
            overlay: File with the overlay of a site.
            zones: Availability zones of the entry VMs.
            entry_vms_per_zone: Entry VMs in each zone.
            with_proxies: Whether links pass through fault-injecting proxies.
            slots: Slots of each backend server.
            with_servers: Whether to start the backend servers in this process.
            tls_ca: TLS context for connections to the entry VMs, or None for
                plain TCP.
            extra_settings: Returns additional lines for the settings file of
                the entry VM with the given id.
        """
        self.folder = folder
        self.settings = load_settings(base, overlay)
        self.zones = zones
        self.with_proxies = with_proxies
        self.entry_vms: dict[str, EntryVm] = {}
        self.servers: dict[str, FakeServer] = {}
        self.platform: FakePlatform | None = None
        self.session: aiohttp.ClientSession | None = None
        self.keys: dict[str, str] = {}
        self._with_servers = with_servers
        self._tls = tls_ca
        self.scheme = "https" if tls_ca else "http"
        self._extra_settings = extra_settings
        self._slots = slots
        self._change = 0
        for zone in zones:
            for number in range(1, entry_vms_per_zone + 1):
                vm = f"entry-{zone}-{number}"
                self.entry_vms[vm] = EntryVm(
                    vm,
                    zone,
                    f"127.0.0.1:{free_port()}",
                    f"127.0.0.1:{free_port()}",
                    is_voter=number == 1,
                )
        _, self.operator_key, self._operator_digest = new_key()

    async def __aenter__(self) -> "LocalFleet":
        """Start the fleet, apply the settings and give each team a key."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, ssl=self._tls or True),
            timeout=aiohttp.ClientTimeout(total=120),
        )
        try:
            await self._start_platform()
            self._write_shared_files()
            if self.with_proxies:
                await self._start_proxies()
            for vm in self.entry_vms:
                self.write_settings(vm)
                await self.start_entry_vm(vm)
            await self.wait_leader()
            await self.apply_settings()
            if self._with_servers:
                await self._start_servers()
            for team in self.settings.settings.teams:
                self.keys[team] = await self.give_key(team)
            await self.wait_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_) -> None:
        """Kill the entry VMs and stop the fakes."""
        await asyncio.gather(
            *(self.stop_entry_vm(vm, signal.SIGKILL) for vm in self.entry_vms)
        )
        for server in self.servers.values():
            await server.stop()
        for vm in self.entry_vms.values():
            for proxy in vm.proxies.values():
                await proxy.stop()
        if self.platform is not None:
            await self.platform.stop()
        await self.session.close()

    async def start_entry_vm(self, vm: str) -> None:
        """Start the process of an entry VM."""
        output = (self.folder / f"{vm}.err").open("ab")
        self.entry_vms[vm].process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "galenarill",
            "serve",
            str(self.folder / f"{vm}.toml"),
            stderr=output,
            stdout=output,
        )
        output.close()

    async def stop_entry_vm(
        self, vm: str, signal_number: signal.Signals = signal.SIGTERM
    ) -> int | None:
        """Send a signal to an entry VM's process and return its exit code.

        A process that is suspended is resumed first. Returns None if the
        process is not running.
        """
        process = self.entry_vms[vm].process
        if process is None or process.returncode is not None:
            return None
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal_number)
        async with asyncio.timeout(STOP_SECONDS):
            return await process.wait()

    def set_zone_fault(self, zone: str, fault) -> None:
        """Set `fault` on every link between `zone` and other zones."""
        for vm in self.entry_vms.values():
            for peer, proxy in vm.proxies.items():
                if (vm.az == zone) != (self.entry_vms[peer].az == zone):
                    proxy.set_fault(fault)

    def set_vm_fault(self, vm_id: str, fault) -> None:
        """Set `fault` on every link of one entry VM."""
        for vm in self.entry_vms.values():
            for peer, proxy in vm.proxies.items():
                if vm_id in (vm.id, peer):
                    proxy.set_fault(fault)

    async def admin(self, method: str, path: str, vm: str = "", **kwargs):
        """Call the administration interface of `vm` or of any running VM.

        Returns:
            HTTP status and decoded JSON body.
        """
        target = self.entry_vms[vm] if vm else self._first_running_entry_vm()
        headers = kwargs.pop("headers", {})
        headers["Authorization"] = f"Bearer {self.operator_key}"
        url = f"{self.scheme}://{target.callers}/v1/admin/{path}"
        async with self.session.request(
            method, url, headers=headers, **kwargs
        ) as response:
            return response.status, json.loads(await response.read())

    async def submit(self, vm: str, queue: str, team: str | None, **kwargs):
        """Send a request to a queue with the key of `team`, if given.

        Returns:
            HTTP status, headers and body of the response.
        """
        method = kwargs.pop("method", "POST")
        tail = kwargs.pop("tail", "")
        headers = kwargs.pop("headers", {})
        if team is not None:
            headers["Authorization"] = f"Bearer {self.keys[team]}"
        address = self.entry_vms[vm].callers
        url = f"{self.scheme}://{address}/v1/queues/{queue}/{tail}"
        async with self.session.request(
            method, url, headers=headers, **kwargs
        ) as response:
            return response.status, response.headers, await response.read()

    async def apply_settings(self) -> None:
        """Apply the base settings and the overlay."""
        edits = [
            {"path": [key], "value": value}
            for key, value in self.settings.raw.items()
        ]
        body = msgspec.json.Encoder(decimal_format="number").encode(
            {"edits": edits}
        )
        status, answer = await self.admin("POST", "settings", data=body)
        if status != 200:
            raise RuntimeError(f"the entry VM rejected the settings: {answer}")

    async def give_key(self, team: str) -> str:
        """Create a key for `team` and return its text."""
        key_id, text, digest = new_key()
        body = {"key_id": key_id, "team": team, "digest": digest}
        status, answer = await self.admin("POST", "keys", json=body)
        if status != 200:
            raise RuntimeError(f"the entry VM rejected the key: {answer}")
        return text

    async def wait_leader(self) -> None:
        """Wait until every entry VM knows the leader of the log."""
        await self._wait_for_all(
            lambda status: status["log_leader"] is not None
        )

    async def wait_ready(self) -> None:
        """Wait until all entry VMs are ready and all servers are usable."""
        deadline = asyncio.get_running_loop().time() + START_SECONDS
        while True:
            ready = [await self.is_ready(vm) for vm in self.entry_vms]
            if all(ready) and await self._count_servers() >= len(self.servers):
                return
            if asyncio.get_running_loop().time() > deadline:
                raise TimeoutError("the fleet is not ready in time")
            await asyncio.sleep(0.1)

    async def is_ready(self, vm: str) -> bool:
        """Return whether an entry VM's readiness endpoint returns 200."""
        try:
            async with self.session.get(
                f"{self.scheme}://{self.entry_vms[vm].callers}/readyz"
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def statuses(self) -> dict[str, dict]:
        """Return the status of each entry VM that responds, by VM id."""
        found = {}
        for vm in self.entry_vms:
            try:
                status, body = await self.admin("GET", "status", vm)
            except aiohttp.ClientError:
                continue
            if status == 200:
                found[vm] = body
        return found

    async def _count_servers(self) -> int:
        statuses = await self.statuses()
        return sum(
            server["slots"] > 0 and server["is_usable"]
            for status in statuses.values()
            for server in status["backend_servers"]
        )

    async def _wait_for_all(self, condition) -> None:
        deadline = asyncio.get_running_loop().time() + START_SECONDS
        while True:
            statuses = await self.statuses()
            if len(statuses) == len(self.entry_vms) and all(
                condition(status) for status in statuses.values()
            ):
                return
            if asyncio.get_running_loop().time() > deadline:
                raise TimeoutError(f"the fleet did not start: {statuses}")
            await asyncio.sleep(0.1)

    def _first_running_entry_vm(self) -> EntryVm:
        for vm in self.entry_vms.values():
            if vm.process is not None and vm.process.returncode is None:
                return vm
        raise RuntimeError("no entry VM is running")

    async def _start_platform(self) -> None:
        self.platform = FakePlatform(
            list(self.settings.settings.vms), on_reboot=self._reboot
        )
        await self.platform.start()

    async def _reboot(self, vm: str) -> None:
        if vm in self.servers:
            await self.servers[vm].restart()

    async def _start_servers(self) -> None:
        addresses = [vm.callers for vm in self.entry_vms.values()]
        for vm, vm_settings in self.settings.settings.vms.items():
            server = FakeServer(vm, vm_settings.pool, addresses, self._slots)
            server.tls = self._tls
            self.servers[vm] = server
            await server.start()

    async def _start_proxies(self) -> None:
        for vm in self.entry_vms.values():
            for peer in self.entry_vms.values():
                # The VM with the smaller id opens the link.
                if vm.id < peer.id:
                    proxy = FaultProxy(peer.links)
                    await proxy.start()
                    vm.proxies[peer.id] = proxy

    def _write_shared_files(self) -> None:
        (self.folder / "link-secret").write_text("only for this local fleet")
        key_id = self.operator_key.split("_")[1]
        (self.folder / "operators.toml").write_text(
            "[operators.local]\n"
            'role = "administer"\n'
            f'key_id = "{key_id}"\n'
            f'digest = "{self._operator_digest}"\n'
        )

    def write_settings(self, vm_id: str) -> None:
        """Write the settings file of an entry VM's process."""
        vm = self.entry_vms[vm_id]
        lines = [
            f'vm = "{vm.id}"',
            f'link_secret_file = "{self.folder / "link-secret"}"',
            f'operators_file = "{self.folder / "operators.toml"}"',
            f'log_file = "{self.folder / vm.id}.log"',
            f'platform = "http://{self.platform.address}"',
        ]
        if vm.is_voter:
            lines.append(f'data_folder = "{self.folder / vm.id}.data"')
        if self._extra_settings is not None:
            lines += self._extra_settings(vm_id)
        for peer in self.entry_vms.values():
            links = peer.links
            if peer.id in vm.proxies:
                links = vm.proxies[peer.id].address
            lines += [
                "[[entry_vms]]",
                f'id = "{peer.id}"',
                f'availability_zone = "{peer.az}"',
                f'links = "{links}"',
                f'callers = "{peer.callers}"',
                f"voter = {str(peer.is_voter).lower()}",
            ]
        (self.folder / f"{vm.id}.toml").write_text("\n".join(lines) + "\n")
