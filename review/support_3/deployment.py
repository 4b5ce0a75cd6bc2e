"""A small deployment: the project's processes, workers and their platform."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

from review.support_3.http import HttpServer, call
from review.support_3.workers import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {
    "status_s": 120,
    "grace_s": 6,
    "lease_ms": 3000,
    "max_hold_ms": 6000,
}
# A case is ended after this time, so that its processes end before 120 s.
MAX_SECONDS = 110.0
POOL = "pool-a"
HOST = "queue.example"
PREFIX = "/proof/"
OTHER_PREFIX = "/other/"
KEY = "sjnbanfqasnmgkcuyj8p"
PLACEHOLDER = re.compile(r"{{(.+?)}}")


class CannotRunError(Exception):
    """The case could not be brought to the point that it is about."""


class Deployment:
    """Three coordinators, two gateways and the workers of one pool.

    Attributes:
        workers: The workers by name.
        steps: Steps of each submitted job, by id.
        jobs_begun: Jobs of which a task has begun on a worker.
        events: The lines of the record so far.
    """

    def __init__(self, record_file, kinds):
        """Create a deployment with one worker for each entry of `kinds`."""
        self._record = record_file.open("w")
        self._began_at = time.monotonic()
        self._kinds = kinds
        self._processes = {}
        self._platform = HttpServer(self._serve_platform)
        subnet = f"127.{random.randrange(64, 250)}.{random.randrange(250)}"
        self._core_ips = [f"{subnet}.{n}" for n in (1, 2, 3)]
        self._front_ips = [f"{subnet}.{n}" for n in (11, 12)]
        self._worker_ip = f"{subnet}.100"
        self._ports = {
            name: _free_port(f"{subnet}.1")
            for name in ("front", "ready", "control", "link", "metrics")
        }
        # Two following ports.
        self._ports["metrics"] = self._ports["link"] + 1
        self._platform_address = (
            f"{self._worker_ip}:{_free_port(subnet + '.1')}"
        )
        self.controls = [
            f"{ip}:{self._ports['control']}" for ip in self._core_ips
        ]
        self.fronts = [f"{ip}:{self._ports['front']}" for ip in self._front_ips]
        self.readiness = [
            f"{ip}:{self._ports['ready']}" for ip in self._front_ips
        ]
        self.workers = {}
        self.steps = {}
        self.jobs_begun = set()
        self.events = []
        self._folder = tempfile.TemporaryDirectory()

    def note(self, event, **fields):
        """Write one line into the record."""
        seconds = round(time.monotonic() - self._began_at, 3)
        line = {"t": seconds, "event": event, **fields}
        self.events.append(line)
        self._record.write(json.dumps(line) + "\n")
        self._record.flush()

    async def start(self, plan):
        """Start everything and wait until jobs are accepted.

        Args:
            plan: Returns cpu, work in milliseconds and outcome of a task, by
                its name and the worker that starts it.
        """
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        host, _, port = self._platform_address.rpartition(":")
        await self._platform.open(host, int(port))
        for number, ip in enumerate(self._core_ips):
            await self._spawn(deploy, "coordinator", f"core-{number}", ip)
        for number, ip in enumerate(self._front_ips):
            await self._spawn(deploy, "gateway", f"front-{number}", ip)
        for number, kind in enumerate(self._kinds):
            name = f"i-{number:02}"
            self.workers[name] = Worker(
                name,
                f"{self._worker_ip}:{_free_port(self._worker_ip)}",
                kind,
                f"r{number // 4}",
                self.controls,
                POOL,
                plan,
                self.note,
            )
            await self.workers[name].begin()
        await self._until(self.put_configuration, "configuration", 20)
        await self._until(self._is_ready, "readiness of the gateways", 20)
        # Workers are found by their reports, and then asked for their runs.
        await asyncio.sleep(2.5)

    async def stop(self):
        """End all processes that were started."""
        for worker in self.workers.values():
            if worker.is_up:
                worker.crash()
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        for process in self._processes.values():
            await process.wait()
        self._platform.close()
        self._record.close()
        self._folder.cleanup()

    async def submit(self, job, steps, front=0):
        """Hand in a job and return the status of the answer."""
        self.steps[job] = steps
        body = {"spec": "x", "steps": steps}
        status, _ = await self.call_front("POST", PREFIX + job, body, front)
        return status

    async def state_of(self, job, front=0):
        """Return status and state of a job."""
        status, value = await self.call_front("GET", PREFIX + job, None, front)
        return status, (value or {}).get("state")

    async def waiting(self, front=0):
        """Return status and number of jobs that have not begun."""
        status, value = await self.call_front("GET", PREFIX, None, front)
        return status, (value or {}).get("waiting")

    async def call_front(self, method, path, body=None, front=0, key=KEY):
        """Make a call of a client, and record it with its answer."""
        key = key if isinstance(key, bytes) else key.encode()
        status, value = await call(
            self.fronts[front],
            method,
            path,
            headers={
                "Host": HOST,
                "Authorization": b"Bearer " + key,
                "X-Galenarill-Deadline-Ms": "3000",
            },
            body=body,
            seconds=3.0,
        )
        self.note(
            "call",
            method=method,
            path=path,
            front=front,
            status=status,
            answer=value,
        )
        return status, value

    def first_step_of(self, task):
        """Return the job and the step of a task that begins on a worker."""
        job, _, step, _ = task.split(".")
        self.jobs_begun.add(job)
        return job, self.steps[job][int(step)]

    async def _spawn(self, deploy, role, name, ip):
        words = deploy["roles"][role]["run"].split()
        template = (ROOT / deploy["roles"][role]["template"]).read_text()
        folder = pathlib.Path(self._folder.name)
        data_folder = folder / f"disk-{name}"
        listen = {
            "front": f"{ip}:{self._ports['front']}",
            "ready": f"{ip}:{self._ports['ready']}",
        }
        if role == "coordinator":
            data_folder.mkdir()
            listen = {"control": f"{ip}:{self._ports['control']}"}
        settings = {
            "node": name,
            "ip": ip,
            "zone": "a",
            "zones": {"a": "region"},
            "listen": listen,
            "port_range": [self._ports["link"], self._ports["metrics"]],
            "seeds": self.controls,
            "bootstrap": True,
            "data_dir": str(data_folder) if role == "coordinator" else None,
            "fault_tolerance": {"machines": 1},
            "bounds": BOUNDS,
            "advice": None,
            "cloud": {"address": self._platform_address},
        }
        file = folder / f"{name}.toml"
        file.write_text(_render(template, settings))
        log = (folder / f"{name}.log").open("wb")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            log.close()
            log = (pathlib.Path(keep) / f"{name}.log").open("wb")
        self._processes[name] = await asyncio.create_subprocess_exec(
            sys.executable if words[0] == "python3" else words[0],
            *words[1:],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "GALENARILL_NODE_FILE": str(file),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    async def _until(self, condition, what, seconds):
        ends_at = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > ends_at:
                raise CannotRunError(f"no {what} after {seconds} s")
            await asyncio.sleep(0.2)

    async def put_configuration(self, version=3, limit_cpu=0, service=POOL):
        """Send a configuration, and return whether it was acknowledged.

        Args:
            version: Its version.
            limit_cpu: Upper limit of the tenant in thousandths of a core, or 0
                for none.
            service: The one service, to which the one route leads. The route
                of the workers' service has the prefix that clients use.
        """
        prefix = PREFIX if service == POOL else OTHER_PREFIX
        body = {
            "version": version,
            "routes": [
                {
                    "name": f"r-{service}",
                    "host": HOST,
                    "path_prefix": prefix,
                    "kind": "unsafe",
                    "timeout_ms": 3000,
                    "slo_ms": 600,
                    "priority": 0,
                    "service": service,
                    "max_attempts": 2,
                    "stretch": 1.6,
                    "public": False,
                }
            ],
            "services": [
                {
                    "name": service,
                    "health_path": "/health",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "admission_check": True,
                    "spare": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [
                {
                    "name": "tenant-1",
                    "api_keys": [KEY],
                    "priority": 1,
                    "weight": 1,
                    "upper_limit": {"cpu": limit_cpu, "mem_mb": 0, "gpu": 0},
                }
            ],
        }
        control = random.choice(self.controls)
        status, _ = await call(
            control, "PUT", "/galenarill/config", body=body, seconds=1.0
        )
        self.note(
            "configuration", version=version, cpu=limit_cpu, status=status
        )
        return status == 200

    async def _is_ready(self):
        answers = [await call(a, "GET", "/") for a in self.readiness]
        return all(status == 200 for status, _ in answers)

    async def _serve_platform(self, method, path, headers, body):
        if method == "GET":
            return 200, {
                "machines": [
                    {
                        "machine": worker.machine,
                        "pool": POOL,
                        "state": "up",
                        "zone": "a",
                        "labels": [worker.kind, worker.rack],
                        "capacity": {"cpu": worker.cpu, "mem_mb": 65536},
                        "id": worker.name,
                    }
                    for worker in self.workers.values()
                ]
            }
        return 409, {"reason": "busy"}


def _free_port(ip):
    with socket.socket() as found:
        found.bind((ip, 0))
        return found.getsockname()[1]


def _render(template, fields):
    """Fill in a template, as DEPLOY.md describes it.

    Only what the project's template uses: values, JSON and the section over
    the zones.
    """

    def look_up(name):
        value = fields
        for part in name.split("."):
            if value is None:
                return None
            value = (
                value[int(part)] if isinstance(value, list) else value.get(part)
            )
        return value

    def fill_section(match):
        entries = look_up(match[1]) or {}
        parts = [
            match[2]
            .replace("{{@}}", str(key))
            .replace("{{,}}", "" if number == len(entries) else ",")
            for number, key in enumerate(entries, 1)
        ]
        return "".join(parts)

    def fill(match):
        name, _, form = match[1].partition("|")
        value = look_up(name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", fill_section, template, flags=re.S)
    return PLACEHOLDER.sub(fill, text)


async def _run(case, kinds, folder):
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(folder / "record.txt", kinds)
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    try:
        deployment.note("begins", trouble=has_trouble)
        async with asyncio.timeout(MAX_SECONDS):
            broken = await case(deployment, has_trouble)
    except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
        deployment.note("the case could not run", why=repr(error))
        return 2
    else:
        deployment.note("result", broken=broken or "no rule")
        return 1 if broken else 0
    finally:
        await deployment.stop()


def run_case(case, kinds, file):
    """Run a case and exit with 1 if it found a rule broken.

    Args:
        case: Coroutine function of the deployment and whether to disrupt it.
            It returns what broke a rule, or "".
        kinds: Kind of each worker.
        file: File of the case; the record is written beside it.
    """
    folder = pathlib.Path(file).resolve().parent
    sys.exit(asyncio.run(_run(case, kinds, folder)))
