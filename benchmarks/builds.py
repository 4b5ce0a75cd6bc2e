"""Command that checks the compatibility of this build with an earlier one.

    python -m benchmarks.builds EARLIER

EARLIER is a checkout of an earlier version with its `.venv`. This build reads
the earlier build's data, and both builds run in one fleet. Prints a line per
check and exits with 1 if any check failed.
"""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

from benchmarks.fleets import BASE, SITE
from standins.fleet import LocalFleet
from standins.platform_http import (
    CONTROL_PORT,
    GATEWAY_PORT,
    READINESS_PORT,
    FakeMachineApi,
    FakePlatformWorkers,
    write_settings,
)

COORDINATOR_IPS = ["127.0.8.1", "127.0.8.2", "127.0.8.3"]
GATEWAY_IPS = ["127.0.8.11", "127.0.8.12"]
HEADERS = {"Authorization": "Bearer key-1", "Host": "a.example"}
WAIT_SECONDS = 60.0
# An entry VM writes a snapshot after fewer log entries than this.
EDIT_COUNT = 1_100
# Builds of the three entry VMs or coordinators, and of the two gateways.
MIXED_BUILDS = (
    (("earlier", "earlier", "this"), ("earlier", "this")),
    (("this", "this", "earlier"), ("this", "earlier")),
)


class CheckReport:
    """Prints the results of checks and counts failures."""

    def __init__(self):
        """Initialize without failures."""
        self.failures = 0

    def check(self, what: str, is_right: bool, detail="") -> None:
        """Print the result of one check."""
        self.failures += not is_right
        print("ok  " if is_right else "FAIL", what, detail, flush=True)


def main() -> int:
    """Check entry VMs, then coordinators with gateways."""
    interpreters = {
        "this": sys.executable,
        "earlier": str(
            pathlib.Path(sys.argv[1]).absolute() / ".venv/bin/python"
        ),
    }
    report = CheckReport()
    asyncio.run(check_entry_vms(interpreters, report))
    asyncio.run(check_coordinators(interpreters, report))
    return 1 if report.failures else 0


async def wait_until(poll, what: str):
    """Call `poll` until it returns a true value, and return that value.

    Raises:
        TimeoutError: There was none within `WAIT_SECONDS`.
    """
    deadline = time.monotonic() + WAIT_SECONDS
    while True:
        found = await poll()
        if found:
            return found
        if time.monotonic() > deadline:
            raise TimeoutError(f"not reached in {WAIT_SECONDS:g} s: {what}")
        await asyncio.sleep(0.1)


class MixedFleet(LocalFleet):
    """A local fleet whose entry VMs may run different builds."""

    def set_builds(self, interpreters: dict[str, str], builds) -> None:
        """Set the build that each entry VM runs after its next start."""
        self._interpreters = interpreters
        self.builds = dict(zip(self.entry_vms, builds, strict=True))

    async def start_entry_vm(self, vm: str) -> None:
        """Start the process of an entry VM with its build."""
        with (self.folder / f"{vm}.err").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                self._interpreters[self.builds[vm]],
                "-m",
                "galenarill",
                "serve",
                str(self.folder / f"{vm}.toml"),
                cwd=self.folder,
                stderr=output,
                stdout=output,
            )
        self.entry_vms[vm].process = process

    async def restart_entry_vms(self) -> None:
        """Stop all entry VMs with SIGTERM and start them again."""
        await asyncio.gather(*(self.stop_entry_vm(vm) for vm in self.entry_vms))
        for vm in self.entry_vms:
            await self.start_entry_vm(vm)
        await self.wait_leader()
        await self.wait_ready()

    async def restart_entry_vm(self, vm: str, number=signal.SIGTERM) -> None:
        """Stop one entry VM with signal `number` and start it again."""
        await self.stop_entry_vm(vm, number)
        await self.start_entry_vm(vm)
        await self.wait_leader()
        await self.wait_ready()


async def check_entry_vms(
    interpreters: dict[str, str], report: CheckReport
) -> None:
    """Check that entry VMs of both builds can share data and links."""
    with tempfile.TemporaryDirectory(prefix="galenarill-") as folder:
        fleet = MixedFleet(pathlib.Path(folder), BASE, SITE)
        fleet.set_builds(interpreters, ["earlier"] * 3)
        async with fleet:
            withdrawn = await _write_data(fleet)
            before = await _read_data(fleet)
            fleet.set_builds(interpreters, ["this"] * 3)
            await fleet.restart_entry_vms()
            await _check_entry_vm_data(
                fleet, before, withdrawn, "this build", report
            )
            for builds, _ in MIXED_BUILDS:
                fleet.set_builds(interpreters, builds)
                await fleet.restart_entry_vms()
                mixture = " ".join(builds)
                await _check_entry_vm_data(
                    fleet, before, withdrawn, mixture, report
                )
                for build in ("earlier", "this"):
                    await _elect_build(fleet, build)
                    await _check_service(
                        fleet, f"{mixture}, {build} leads", report
                    )
                before = await _read_data(fleet)


async def _write_data(fleet: MixedFleet) -> str:
    """Write settings, a withdrawn key and a moved VM, and return the key."""
    vms = list(fleet.entry_vms)
    for begin in range(0, EDIT_COUNT, 20):
        await asyncio.gather(
            *(
                _edit_settings(
                    fleet, vms[n % 3], ["queues", "batch", "max_waiting"], n
                )
                for n in range(begin + 1, begin + 21)
            )
        )
    key = await fleet.give_key("batch")
    path = f"keys/{key.split('_')[1]}/withdrawal"
    status, _ = await fleet.admin("POST", path)
    assert status == 200, status
    spare, (source, target) = next(
        (name, (vm.pool, "render"))
        for name, vm in fleet.settings.settings.vms.items()
        if vm.pool == "spare"
    )
    body = {"from_pool": source, "to_pool": target}
    status, response = await fleet.admin("POST", f"vms/{spare}/move", json=body)
    assert status == 200, response

    async def has_moved():
        statuses = await fleet.statuses()
        return statuses and all(
            status["vms"][spare][0] == target
            and status["vms"][spare][3] == "serving"
            for status in statuses.values()
        )

    await wait_until(has_moved, f"{spare} in pool {target}")
    return key


async def _edit_settings(fleet, vm, path, value) -> int:
    body = {"edits": [{"path": path, "value": value}]}
    status, _ = await fleet.admin("POST", "settings", vm, json=body)
    assert status == 200, status
    return status


async def _read_data(fleet: MixedFleet) -> dict:
    """Return the settings, keys, pools, limits and history of each entry VM."""

    async def same_version():
        statuses = await fleet.statuses()
        versions = {status["version"] for status in statuses.values()}
        return statuses if len(versions) == 1 and len(statuses) == 3 else None

    statuses = await wait_until(same_version, "one version everywhere")
    described = {}
    for vm in fleet.entry_vms:
        _, settings = await fleet.admin("GET", "settings", vm)
        _, keys = await fleet.admin("GET", "keys", vm)
        _, history = await fleet.admin("GET", "history", vm)
        described[vm] = {
            "settings": settings["settings"],
            "keys": keys,
            "pools": {n: row[:4] for n, row in statuses[vm]["vms"].items()},
            "limits": {
                name: team["upper_limit_slots"]
                for name, team in statuses[vm]["teams"].items()
            },
            "history": history["history"],
            "version": settings["version"],
        }
    return described


async def _check_entry_vm_data(fleet, before, withdrawn, what, report) -> None:
    after = await _read_data(fleet)
    for vm, old in before.items():
        new = after[vm]
        report.check(
            f"entry VMs, {what}: {vm} goes on from version {old['version']}",
            new["version"] >= old["version"],
            new["version"],
        )
        for name in ("settings", "keys", "pools", "limits"):
            report.check(
                f"entry VMs, {what}: {vm} keeps {name}",
                new[name] == old[name] and bool(new[name]),
            )
        kept = [row for row in new["history"] if row in old["history"]]
        report.check(
            f"entry VMs, {what}: {vm} keeps the history",
            len(kept) >= len(old["history"]) - 40 and bool(kept),
            f"{len(kept)} of {len(old['history'])}",
        )
        fleet.keys["withdrawn"] = withdrawn
        status, _, _ = await fleet.submit(vm, "batch", "withdrawn", tail="x")
        report.check(
            f"entry VMs, {what}: {vm} refuses the withdrawn key",
            status == 401,
            status,
        )
        del fleet.keys["withdrawn"]


async def _elect_build(fleet: MixedFleet, build: str) -> None:
    """Kill and restart log leaders until the leader runs `build`."""
    for _ in range(20):
        statuses = await fleet.statuses()
        leaders = {status["log_leader"] for status in statuses.values()}
        if len(leaders) == 1 and None not in leaders:
            leader = leaders.pop()
            if fleet.builds[leader] == build:
                return
            await fleet.restart_entry_vm(leader, signal.SIGKILL)
        await asyncio.sleep(0.2)
    raise TimeoutError(f"no entry VM of the {build} build became leader")


async def _check_service(
    fleet: MixedFleet, what: str, report: CheckReport
) -> None:
    """Check changes of settings and requests at every entry VM."""
    vms = list(fleet.entry_vms)
    value = time.monotonic_ns() % 1_000_000 + 1
    path = ["queues", "batch", "max_waiting"]
    began_at = time.monotonic()
    for vm in vms:
        value += 1
        await _edit_settings(fleet, vm, path, value)

    async def in_force():
        shown = [await fleet.admin("GET", "settings", vm) for vm in vms]
        return all(
            body["settings"]["queues"]["batch"]["max_waiting"] == value
            for _, body in shown
        )

    await wait_until(in_force, "the change in force everywhere")
    seconds = time.monotonic() - began_at
    report.check(
        f"entry VMs, {what}: three changes in force everywhere within 13 s",
        seconds < 13,
        f"{seconds:.2f} s",
    )
    responses = await asyncio.gather(
        *(
            fleet.submit(vm, queue, "municipal", tail=f"work?tag={vm}-{n}")
            for n in range(20)
            for vm in vms
            for queue in ("orders", "render", "proofs")
        )
    )
    answered = sum(status == 200 for status, _, _ in responses)
    report.check(
        f"entry VMs, {what}: requests answered",
        answered == len(responses),
        f"{answered} of {len(responses)}",
    )
    headers = {"Galenarill-Request-Id": await _issue_id(fleet, vms[0])}
    statuses = [
        (
            await fleet.submit(
                vm, "render", "municipal", tail="once", headers=dict(headers)
            )
        )[0]
        for vm in vms
    ]
    runs = [
        execution
        for server in fleet.servers.values()
        for execution in server.executions
        if execution.request == headers["Galenarill-Request-Id"]
    ]
    report.check(
        f"entry VMs, {what}: one id at every entry VM runs once",
        len(runs) == 1 and statuses[0] == 200,
        statuses,
    )


async def _issue_id(fleet: MixedFleet, vm: str) -> str:
    url = f"http://{fleet.entry_vms[vm].callers}/v1/request-ids"
    key = {"Authorization": f"Bearer {fleet.keys['municipal']}"}
    async with fleet.session.post(
        url, headers=key, json={"count": 1}
    ) as response:
        return (await response.json())["request_ids"][0]


class FakeMachines(FakeMachineApi):
    """Platform machines that carry out every order at once."""

    def __init__(self):
        """Create two machines with workers, two without, and two spare ones."""
        super().__init__()
        self.orders: list[tuple[str, dict]] = []
        self.machines = {
            name: {
                "machine": name,
                "pool": pool,
                "state": "up" if pool == "pool" else "down",
                "labels": ["kind", "r1"],
                "capacity": {"cpu": 4, "mem_mb": 1000},
                "id": worker,
            }
            for name, pool, worker in (
                ("m-i-1", "pool", "i-1"),
                ("m-i-2", "pool", "i-2"),
                ("m-w-1", "pool", None),
                ("m-w-2", "pool", None),
                ("m-s-1", "spare", None),
                ("m-s-2", "spare", None),
            )
        }

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._runner = web.ServerRunner(web.Server(self._handle))
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        name = request.path.rpartition("/")[2]
        if name == "machines":
            rows = list(self.machines.values())
            return web.json_response({"machines": rows, "next_token": None})
        body = json.loads(await request.read())
        self.orders.append((name, body))
        machine = self.machines[body["machine"]]
        if name == "machine-move":
            machine["pool"] = body["pool"]
            machine["state"] = "down" if body["pool"] == "spare" else "up"
        else:
            machine["state"] = "upkeep"
        return web.json_response({})


class CoordinatorFleet:
    """Three coordinators and two gateways, on fake machines."""

    def __init__(self, folder: pathlib.Path, interpreters: dict[str, str]):
        """Initialize without processes; data and logs go to `folder`."""
        self._folder = folder
        self._interpreters = interpreters
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.builds: dict[str, str] = {}
        self.machines = FakeMachines()

    async def start(self, coordinator_builds, gateway_builds) -> None:
        """Start all coordinators and gateways, each with the given build."""
        for number, (ip, build) in enumerate(
            zip(COORDINATOR_IPS, coordinator_builds, strict=True)
        ):
            await self._spawn(
                ip,
                build,
                "coordinator",
                f"core-{number}",
                control=f"{ip}:{CONTROL_PORT}",
                machines=self.machines.address,
                data_folder=str(self._folder / f"disk-{number}"),
            )
        for number, (ip, build) in enumerate(
            zip(GATEWAY_IPS, gateway_builds, strict=True)
        ):
            await self._spawn(
                ip,
                build,
                "gateway",
                f"front-{number}",
                callers=f"{ip}:{GATEWAY_PORT}",
                readiness=f"{ip}:{READINESS_PORT}",
            )

    async def _spawn(self, ip, build, role, name, **extra) -> None:
        file = write_settings(self._folder, name, ip, COORDINATOR_IPS, **extra)
        self.builds[ip] = build
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[ip] = await asyncio.create_subprocess_exec(
                self._interpreters[build],
                "-m",
                "galenarill",
                role,
                str(file),
                cwd=self._folder,
                stdout=log,
                stderr=log,
            )

    async def restart(self, ip: str) -> None:
        """Kill a coordinator and start it again with the same build."""
        self.processes[ip].kill()
        await self.processes[ip].wait()
        number = COORDINATOR_IPS.index(ip)
        await self._spawn(
            ip,
            self.builds[ip],
            "coordinator",
            f"core-{number}",
            control=f"{ip}:{CONTROL_PORT}",
            machines=self.machines.address,
            data_folder=str(self._folder / f"disk-{number}"),
        )

    async def stop(self, number=signal.SIGTERM) -> None:
        """Stop all processes with signal `number`."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)
        for process in self.processes.values():
            await process.wait()

    async def call(self, method, url, **options):
        """Return status and JSON body, or 0 and {} if there is no response."""
        try:
            async with self.session.request(method, url, **options) as response:
                text = (await response.read()).decode()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}
        return response.status, json.loads(text) if text[:1] == "{" else {}

    async def control(self, method, path, ip=COORDINATOR_IPS[0], **options):
        """Send a request to the control interface of a coordinator."""
        url = f"http://{ip}:{CONTROL_PORT}/galenarill/{path}"
        return await self.call(method, url, **options)

    async def gateway(self, method, path, ip=GATEWAY_IPS[0], **options):
        """Send a request to a gateway as a client account."""
        url = f"http://{ip}:{GATEWAY_PORT}{path}"
        return await self.call(method, url, headers=HEADERS, **options)

    async def submit(self, job: str, count: int, ip=GATEWAY_IPS[0]) -> int:
        """Submit a job repeatedly until a gateway accepts it."""
        body = {"spec": "x", "steps": [{"count": count, "cpu": 1}]}
        data = json.dumps(body)

        async def accepted():
            status, _ = await self.gateway(
                "POST", f"/jobs/{job}", ip, data=data
            )
            return status == 200

        await wait_until(accepted, f"job {job} accepted")

    async def job_state(self, job: str, ip=GATEWAY_IPS[0]) -> str:
        """Return the state of a job, or an empty string if it is unknown."""
        _, body = await self.gateway("GET", f"/jobs/{job}", ip)
        return body.get("state", "")

    async def wait_completed(self, job: str) -> None:
        """Wait until both gateways report a job as completed."""

        async def is_completed():
            states = [await self.job_state(job, ip) for ip in GATEWAY_IPS]
            return set(states) == {"completed"}

        await wait_until(is_completed, f"job {job} completed")

    async def wait_leader(self) -> str:
        """Wait until exactly one coordinator leads and return its address."""

        async def find():
            found = []
            for ip in COORDINATOR_IPS:
                try:
                    async with self.session.get(
                        f"http://{ip}:7001/metrics"
                    ) as page:
                        text = await page.text()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
                for line in text.splitlines():
                    if line.startswith("galenarill_leads{"):
                        found += [ip] * line.endswith(" 1.0")
            return found[0] if len(found) == 1 else None

        return await wait_until(find, "a leader")


async def check_coordinators(
    interpreters: dict[str, str], report: CheckReport
) -> None:
    """Check that coordinators and gateways share data and links."""
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(
            tempfile.TemporaryDirectory(prefix="galenarill-")
        )
        fleet = CoordinatorFleet(pathlib.Path(folder), interpreters)
        await fleet.machines.start()
        stack.push_async_callback(fleet.machines.stop)
        stack.push_async_callback(fleet.stop)
        await fleet.start(["earlier"] * 3, ["earlier"] * 2)
        controls = [f"{ip}:{CONTROL_PORT}" for ip in COORDINATOR_IPS]
        workers = FakePlatformWorkers(controls, "pool", seconds=0.5)
        stack.push_async_callback(workers.stop)
        for name in ("i-1", "i-2"):
            await workers.add(name)
        fleet.session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        )
        await _apply_configuration(fleet, 3)
        await fleet.submit("0" * 15 + "1", 4)
        await fleet.wait_completed("0" * 15 + "1")
        wave = {"wave": 7, "machines": ["m-w-1", "m-w-2"]}
        wave |= {"duration_s": 600, "upper_limit": 1}
        await _start_wave(fleet, wave, report)
        moves = await _wait_orders(fleet, "machine-move")
        report.check("earlier build: machines moved", bool(moves), moves[:2])
        await fleet.submit("0" * 15 + "2", 120)
        _, wave_state = await fleet.control("GET", "wave-get/7")
        report.check(
            "earlier build: a wave in progress",
            wave_state == {"state": "running"},
            wave_state,
        )
        await fleet.stop(signal.SIGKILL)
        done = len([r for r in workers.history if r.how == "done"])
        report.check("earlier build: a job in progress", 4 <= done < 124, done)
        await fleet.start(["this"] * 3, ["this"] * 2)
        await _check_coordinator_data(fleet, workers, wave_state, 3, report)
        job = 3
        for coordinator_builds, gateway_builds in MIXED_BUILDS:
            await fleet.stop()
            await fleet.start(coordinator_builds, gateway_builds)
            for build in ("earlier", "this"):
                what = f"{' '.join(coordinator_builds)}, {build} leads"
                for _ in range(20):
                    leader = await fleet.wait_leader()
                    if fleet.builds[leader] == build:
                        break
                    await fleet.restart(leader)
                    await asyncio.sleep(1)
                report.check(
                    f"coordinators, {what}",
                    fleet.builds[await fleet.wait_leader()] == build,
                )
                for ip in GATEWAY_IPS:
                    await fleet.submit(f"{job:016x}", 8, ip)
                    await fleet.wait_completed(f"{job:016x}")
                    report.check(f"coordinators, {what}: a job by {ip}", True)
                    job += 1
                await _apply_configuration(fleet, job + 10)
                report.check(f"coordinators, {what}: configuration", True)
        status, state = await fleet.control("GET", "wave-get/7")
        report.check(
            "coordinators: the wave is completed",
            (status, state) == (200, {"state": "completed"}),
            state,
        )


async def _apply_configuration(fleet: CoordinatorFleet, version: int) -> None:
    """Change the configuration and wait until every coordinator has it."""
    document = {
        "version": version,
        "routes": [
            {
                "name": "q",
                "host": "a.example",
                "path_prefix": "/jobs/",
                "service": "pool",
                "timeout_ms": 3000,
                "slo_ms": 600,
                "max_attempts": 2,
                "stretch": 1.6,
            }
        ],
        "services": [
            {"name": "pool", "admission_check": True},
            {"name": "spare", "spare": True},
        ],
        "tenants": [{"name": "t", "api_keys": ["key-1"], "weight": 1}],
    }
    data = json.dumps(document)

    async def put():
        return (await fleet.control("PUT", "config", data=data))[0] == 200

    async def everywhere():
        shown = [
            await fleet.control("GET", "config", ip) for ip in COORDINATOR_IPS
        ]
        return all(response == (200, document) for response in shown)

    await wait_until(put, f"configuration {version} acknowledged")
    await wait_until(everywhere, f"configuration {version} everywhere")


async def _start_wave(
    fleet: CoordinatorFleet, wave: dict, report: CheckReport
) -> None:
    async def started():
        data = json.dumps(wave)
        return (await fleet.control("POST", "wave-start", data=data))[0] == 200

    await wait_until(started, "a wave begun")
    orders = await _wait_orders(fleet, "machine-upkeep")
    report.check("earlier build: upkeep ordered", bool(orders), orders)


async def _wait_orders(fleet: CoordinatorFleet, name: str) -> list[dict]:
    async def ordered():
        return [body for kind, body in fleet.machines.orders if kind == name]

    return await wait_until(ordered, name)


async def _check_coordinator_data(
    fleet, workers, wave_state, version, report
) -> None:
    """Check that this build's coordinators read the earlier build's data."""
    finished, unfinished = "0" * 15 + "1", "0" * 15 + "2"

    async def known():
        return await fleet.job_state(finished)

    state = await wait_until(known, "the ended job is known")
    report.check("this build: the ended job", state == "completed", state)
    _, wave = await fleet.control("GET", "wave-get/7")
    report.check("this build: the wave", wave == wave_state, wave)
    _, shown = await fleet.control("GET", "config")
    report.check(
        "this build: the configuration",
        shown.get("version") == version,
        shown.get("version"),
    )
    await fleet.wait_completed(unfinished)
    done = {r.task for r in workers.history if r.how == "done"}
    repeated = len([r for r in workers.history if r.how == "done"]) - len(done)
    report.check("this build: every task done", len(done) == 124, len(done))
    report.check("this build: no task done twice", repeated == 0, repeated)

    async def wave_is_completed():
        # Maintenance ends as soon as it is ordered.
        for name, machine in fleet.machines.machines.items():
            if name.startswith("m-w"):
                machine["state"] = "up"
        _, body = await fleet.control("GET", "wave-get/7")
        return body == {"state": "completed"}

    await wait_until(wave_is_completed, "the wave is completed")
    upkeeps = await _wait_orders(fleet, "machine-upkeep")
    report.check(
        "this build: the wave is carried on",
        {order["machine"] for order in upkeeps} == {"m-w-1", "m-w-2"},
        upkeeps,
    )


if __name__ == "__main__":
    sys.exit(main())
