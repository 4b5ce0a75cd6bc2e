"""Starts the project's programs as the deploy file says, on loopback."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Exit codes of a case; `case.sh` translates them, since Python itself exits
# with 1 after an error.
HELD = 0
BROKEN = 10
NOT_RUN = 2
ZONES = ("ub-east", "ub-west", "ub-south")
# Values of the bounds of a small deployment (sites/tsagaan-ub.toml).
BOUNDS = {
    "seed_lag_s": 3,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "recovery_s": 12,
    "max_hold_ms": 6000,
    "stop_ms": 400,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "notice_ms": 4500,
    "move_s": 1.5,
    "upkeep_s": 2,
    "require_fencing": True,
    "lease_ms": 3000,
}


def render(template: str, fields: dict) -> str:
    """Fill in a settings template as DEPLOY.md describes."""

    def look_up(path: str):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                index = int(part)
                value = value[index] if index < len(value) else None
            else:
                value = value.get(part) if value is not None else None
        return value

    def section(match: re.Match) -> str:
        keys = list(look_up(match[1]))
        return "".join(
            match[2]
            .replace("{{@}}", key)
            .replace("{{,}}", "," if key != keys[-1] else "")
            for key in keys
        )

    def value(match: re.Match) -> str:
        found = look_up(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([\w.]+)(\|json)?}}", value, text)


class System:
    """Three coordinators and some gateways, each a process of its own."""

    def __init__(self, folder: pathlib.Path, record, gateways: int = 2):
        """Choose free loopback addresses; `start_all` starts the processes."""
        self.folder = folder
        self.record = record
        self.deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )
        net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.cores = [f"{net}.{1 + i}" for i in range(3)]
        self.fronts = [f"{net}.{11 + i}" for i in range(gateways)]
        self.cloud_ip = f"{net}.30"
        self.worker_ip = f"{net}.31"
        ports = _free_ports([*self.cores, *self.fronts], 5)
        self.link_port, self.metrics_port = ports[:2]
        self.control_port, self.front_port, self.ready_port = ports[2:]
        self.cloud_address: str | None = None
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.peak_memory_mb: dict[str, float] = {}

    @property
    def controls(self) -> list[str]:
        """Return the addresses for workers and the operator."""
        return [f"{ip}:{self.control_port}" for ip in self.cores]

    @property
    def front_addresses(self) -> list[str]:
        """Return the addresses for callers."""
        return [f"{ip}:{self.front_port}" for ip in self.fronts]

    def disk(self, ip: str) -> pathlib.Path:
        """Return the data folder of a core machine."""
        return self.folder / f"disk-{ip}"

    def log(self, ip: str) -> pathlib.Path:
        """Return the file with what a machine's process writes."""
        return self.folder / f"log-{ip}"

    async def start_all(self) -> None:
        """Start all machines for the first time."""
        for ip in [*self.cores, *self.fronts]:
            await self.start(ip, bootstrap=True)

    async def start(self, ip: str, *, bootstrap: bool = False) -> None:
        """Start the program of a machine with settings from the template."""
        is_core = ip in self.cores
        role = "coordinator" if is_core else "gateway"
        settings = self.deploy["roles"][role]
        number = (self.cores if is_core else self.fronts).index(ip)
        if is_core:
            self.disk(ip).mkdir(exist_ok=True)
        listen = (
            {"control": f"{ip}:{self.control_port}"}
            if is_core
            else {
                "front": f"{ip}:{self.front_port}",
                "ready": f"{ip}:{self.ready_port}",
            }
        )
        fields = {
            "node": f"{settings['on']}-{number}",
            "ip": ip,
            "zone": ZONES[number % len(ZONES)],
            "zones": dict.fromkeys(ZONES, "mn-central"),
            "listen": {"front": "", "ready": "", "control": ""} | listen,
            "port_range": [self.link_port, self.metrics_port],
            "seeds": self.controls,
            "bootstrap": bootstrap,
            "data_dir": str(self.disk(ip)) if is_core else None,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "advice": None,
            "cloud": {"address": self.cloud_address},
        }
        file = self.folder / f"settings-{ip}.toml"
        template = (ROOT / settings["template"]).read_text()
        file.write_text(render(template, fields))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GALENARILL_NODE_FILE": str(file),
        }
        with self.log(ip).open("ab") as log:
            self.processes[ip] = await asyncio.create_subprocess_exec(
                *settings["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def note_memory(self) -> None:
        """Record the peak memory of each running process, if it can be read."""
        for ip, process in self.processes.items():
            try:
                text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
            except OSError:
                continue
            if found := re.search(r"VmHWM:\s+(\d+)", text):
                peak = int(found[1]) / 1024
                self.peak_memory_mb[ip] = max(
                    peak, self.peak_memory_mb.get(ip, 0.0)
                )

    async def kill(self, ip: str) -> None:
        """Kill the process of a machine."""
        self.processes[ip].send_signal(signal.SIGKILL)
        await self.processes[ip].wait()

    def wipe(self, ip: str) -> None:
        """Empty the disk of a machine whose process is not running."""
        shutil.rmtree(self.disk(ip))

    async def stop_all(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()


class Record:
    """The file of what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        """Create an empty record."""
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Add a line with the time since the record was created."""
        seconds = time.monotonic() - self._began_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


def run_case(main) -> int:
    """Run a case to its exit code.

    A signal ends it, and with it all processes that it started.
    """

    async def run_until_signal() -> int:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await main()

    try:
        return asyncio.run(run_until_signal())
    except asyncio.CancelledError:
        return NOT_RUN


def _free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all of some addresses."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(20000, 32000)
        sockets = []
        try:
            for ip in ips:
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((ip, port))
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
        if port not in ports:
            ports.append(port)
    return ports
