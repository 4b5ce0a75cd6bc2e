"""Processes of the project, started as the deploy file says."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import tomllib

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds of the two small deployments.
BOUNDS = {
    "status_s": 120,
    "grace_s": 6,
    "lease_ms": 3000,
    "max_hold_ms": 6000,
}
CONTROL_PORT = 8345
FRONT_PORT = 8340
READY_PORT = 8343
LINK_PORT = 7000
METRICS_PORT = 7015
START_SECONDS = 30.0


class CannotRunError(Exception):
    """The case could not be set up."""


def _free_subnet() -> str:
    """Return the first three numbers of loopback addresses that are free."""
    for _ in range(100):
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host, port in ((1, CONTROL_PORT), (1, LINK_PORT)):
                with socket.socket() as probe:
                    probe.bind((f"{subnet}.{host}", port))
        except OSError:
            continue
        return subnet
    raise CannotRunError("no free loopback addresses")


def _render(template: str, fields: dict) -> str:
    """Fill in the placeholders of a settings template."""

    def replace(match: re.Match) -> str:
        path, _, form = match[1].partition("|")
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = (value or {}).get(part)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"{{([^}]+)}}", replace, template)


class System:
    """Some coordinators and gateways on loopback addresses."""

    def __init__(
        self,
        folder: pathlib.Path,
        cloud: str,
        advice: str = "",
        gateways: int = 2,
        coordinators: int = 3,
    ):
        """Choose addresses; `start` starts the processes.

        Args:
            folder: Folder for settings, disks and logs.
            cloud: Address of the platform's machine interface.
            advice: Address of the policy service, or "".
            gateways: Number of gateways.
            coordinators: Number of coordinators, the first three of which are
                the seeds.
        """
        self._folder = folder
        self._cloud = cloud
        self._advice = advice
        subnet = _free_subnet()
        self.cores = [f"{subnet}.{n}" for n in range(1, coordinators + 1)]
        self.fronts = [f"{subnet}.{n + 11}" for n in range(gateways)]
        self.controls = [f"{ip}:{CONTROL_PORT}" for ip in self.cores]
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._roles = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]

    async def start(self) -> None:
        """Start all processes for the first time."""
        for ip in self.cores:
            await self.spawn(ip, "coordinator", bootstrap=True)
        for ip in self.fronts:
            await self.spawn(ip, "gateway", bootstrap=True)

    async def spawn(self, ip: str, role: str, *, bootstrap: bool) -> None:
        """Start a process with the command of the deploy file."""
        is_core = role == "coordinator"
        node = f"{'core' if is_core else 'front'}-{ip.rpartition('.')[2]}"
        data = self._folder / f"{node}.data"
        if is_core:
            data.mkdir(exist_ok=True)
        zones = ("a", "b", "c")
        fields = {
            "node": node,
            "ip": ip,
            "zone": zones[int(ip[-1]) % 3],
            "port_range": [LINK_PORT, METRICS_PORT],
            "seeds": self.controls[:3],
            "bootstrap": bootstrap,
            "data_dir": str(data) if is_core else None,
            "listen": {"control": f"{ip}:{CONTROL_PORT}"}
            if is_core
            else {
                "front": f"{ip}:{FRONT_PORT}",
                "ready": f"{ip}:{READY_PORT}",
            },
            "cloud": {"address": self._cloud},
            "advice": self._advice,
            "fault_tolerance": {"machines": 1, "zones": 1},
            "bounds": BOUNDS,
        }
        described = self._roles[role]
        settings = self._folder / f"{node}.settings"
        settings.write_text(
            _render((ROOT / described["template"]).read_text(), fields)
        )
        log = (self._folder / f"{node}.log").open("ab")
        self.processes[ip] = await asyncio.create_subprocess_exec(
            *described["run"].split(),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "GALENARILL_NODE_FILE": str(settings),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Send a signal to the process at an address."""
        self.processes[ip].send_signal(number)

    async def kill(self, ip: str) -> None:
        """Kill the process at an address."""
        self.processes[ip].kill()
        await self.processes[ip].wait()

    async def stop(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()

    async def leader(self, session: aiohttp.ClientSession) -> str:
        """Return the address of the coordinator whose metrics say it leads."""
        deadline = asyncio.get_running_loop().time() + START_SECONDS
        while asyncio.get_running_loop().time() < deadline:
            for ip in self.cores:
                url = f"http://{ip}:{METRICS_PORT}/metrics"
                with contextlib.suppress(
                    aiohttp.ClientError, TimeoutError, OSError
                ):
                    async with session.get(url) as page:
                        text = await page.text()
                    if re.search(r"galenarill_leads(?:{.*})? 1\.0", text):
                        return ip
            await asyncio.sleep(0.1)
        raise CannotRunError("no coordinator leads")
