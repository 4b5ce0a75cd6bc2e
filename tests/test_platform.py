"""Gateways and coordinators as processes, on a stand-in of the platform."""

import asyncio
import contextlib
import json
import pathlib
import re
import signal
import sys
import tempfile

import aiohttp

from standins.platform_http import (
    CONTROL_PORT,
    FRONT_PORT,
    LINK_PORT,
    READY_PORT,
    PlatformMachines,
    PlatformWorkers,
    write_settings,
)

ROOT = pathlib.Path(__file__).parent.parent
CORE = ["127.0.7.1", "127.0.7.2", "127.0.7.3"]
FRONT = ["127.0.7.11", "127.0.7.12"]
CONTROLS = [f"{ip}:{CONTROL_PORT}" for ip in CORE]
JOB = "5c0e7a21d94b36f8"
KEYED = {"Authorization": "Bearer key-1", "Host": "a.example"}


def configuration(version, key="key-1"):
    return {
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
        "services": [{"name": "pool", "admission_check": True}],
        "tenants": [{"name": "t", "api_keys": [key], "weight": 1}],
    }


def _open_log(file):
    return file.with_suffix(".log").open("ab")


class System:
    """Three coordinators, two gateways and two workers."""

    async def start(self, stack):
        self.folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.processes = {}
        self.machines = PlatformMachines()
        await self.machines.start()
        stack.push_async_callback(self.machines.stop)
        stack.push_async_callback(self.stop)
        for number, ip in enumerate(CORE):
            await self.start_coordinator(number, ip)
        for number, ip in enumerate(FRONT):
            file = write_settings(
                self.folder,
                f"front-{number}",
                ip,
                CORE,
                callers=f"{ip}:{FRONT_PORT}",
                readiness=f"{ip}:{READY_PORT}",
            )
            await self.spawn(ip, "gateway", file)
        self.workers = PlatformWorkers(CONTROLS, "pool")
        stack.push_async_callback(self.workers.stop)
        for name in ("i-1", "i-2"):
            await self.workers.add(name)
        self.session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        )
        await self.until(lambda: self.put(configuration(3)), 200)

    async def start_coordinator(self, number, ip):
        file = write_settings(
            self.folder,
            f"core-{number}",
            ip,
            CORE,
            control=f"{ip}:{CONTROL_PORT}",
            machines=self.machines.address,
            data_folder=str(self.folder / f"disk-{number}"),
        )
        await self.spawn(ip, "coordinator", file)

    async def spawn(self, ip, role, file):
        log = _open_log(file)
        self.processes[ip] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "galenarill",
            role,
            str(file),
            cwd=ROOT,
            stdout=log,
            stderr=log,
        )
        log.close()

    async def kill(self, ip):
        self.processes[ip].kill()
        await self.processes[ip].wait()

    async def stop(self):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            await process.wait()

    async def call(self, method, url, **options):
        try:
            async with self.session.request(method, url, **options) as answer:
                data = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}
        text = data.decode()
        return answer.status, json.loads(text) if text[:1] == "{" else {}

    async def put(self, document, ip=CORE[0]):
        return await self.call(
            "PUT",
            f"http://{ip}:{CONTROL_PORT}/galenarill/config",
            data=json.dumps(document),
        )

    async def front(self, method, path, ip=FRONT[0], headers=KEYED, **options):
        return await self.call(
            method,
            f"http://{ip}:{FRONT_PORT}{path}",
            headers=headers,
            **options,
        )

    async def submit(self, job, count=4, ip=FRONT[0], **options):
        body = {"spec": "x", "steps": [{"count": count, "cpu": 1}]}
        return await self.front(
            "POST", f"/jobs/{job}", ip, data=json.dumps(body), **options
        )

    async def until(self, ask, status, check=lambda body: True):
        async with asyncio.timeout(30):
            while True:
                answer = await ask()
                if answer[0] == status and check(answer[1]):
                    return answer
                await asyncio.sleep(0.1)

    async def completed(self, job):
        await self.until(
            lambda: self.front("GET", f"/jobs/{job}"),
            200,
            lambda body: body["state"] == "completed",
        )

    async def find_leader(self):
        async with asyncio.timeout(30):
            while True:
                for number, ip in enumerate(CORE):
                    log = (self.folder / f"core-{number}.log").read_text()
                    if self.processes[ip].returncode is None and (
                        log.rfind('"leading"')
                        > log.rfind('"no longer leading"')
                    ):
                        return ip
                await asyncio.sleep(0.1)


def run(scenario):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            system = System()
            await system.start(stack)
            await scenario(system)

    asyncio.run(main())


def test_jobs_and_configuration_from_end_to_end():
    async def scenario(system):
        await system.until(lambda: system.submit(JOB), 200)
        await system.completed(JOB)
        assert len(system.workers.history) == 4
        # A resend, at the other gateway, is the same job.
        assert (await system.submit(JOB, ip=FRONT[1]))[0] == 200
        assert (await system.front("GET", f"/jobs/{JOB}"))[1] == {
            "state": "completed"
        }
        assert len(system.workers.history) == 4
        assert (await system.front("GET", "/jobs/" + "0" * 16))[0] == 410
        assert (await system.front("GET", "/jobs/"))[1] == {"waiting": 0}
        no_key = {"Host": "a.example"}
        assert (await system.submit("1" * 16, headers=no_key))[0] == 401
        other = KEYED | {"Host": "b.example"}
        assert (await system.submit("1" * 16, headers=other))[0] == 404
        bad = await system.front("POST", "/jobs/" + "2" * 16, data=b"{")
        assert bad[0] == 400

        # Same version, other content: acknowledged, and not in force.
        assert (await system.put(configuration(3, "key-2")))[0] == 200
        assert (await system.submit("3" * 16))[0] == 200
        invalid = configuration(9) | {"services": []}
        assert (await system.put(invalid, CORE[1]))[0] == 400
        changed = configuration(7, "key-2")
        assert (await system.put(changed, CORE[2]))[0] == 200
        assert (await system.submit("4" * 16))[0] == 401
        for ip in CORE:
            answer = await system.call(
                "GET", f"http://{ip}:{CONTROL_PORT}/galenarill/config"
            )
            assert answer == (200, changed)
        leader = await system.find_leader()
        for ip, values in (
            (leader, {"leads": 1, "configuration_version": 7}),
            (FRONT[0], {"ready": 1}),
        ):
            url = f"http://{ip}:{LINK_PORT + 1}/metrics"

            async def shows_all(url=url, values=values):
                async with system.session.get(url) as page:
                    text = await page.text()
                shown = [
                    re.search(rf"galenarill_{name}{{.*}} {value}\.0\n", text)
                    for name, value in values.items()
                ]
                return all(shown), text

            await system.until(shows_all, True)

    run(scenario)


def test_a_killed_leader_is_replaced_and_loses_nothing():
    async def scenario(system):
        await system.until(lambda: system.submit(JOB, count=30), 200)
        leader = await system.find_leader()
        await system.kill(leader)
        await system.until(lambda: system.submit("1" * 16), 200)
        await system.completed("1" * 16)
        await system.completed(JOB)
        begun = {}
        for run_ in system.workers.history:
            if run_.how == "done":
                begun[run_.task] = begun.get(run_.task, 0) + 1
        assert len(begun) == 34
        assert set(begun.values()) == {1}
        await system.start_coordinator(CORE.index(leader), leader)
        await system.until(
            lambda: system.call(
                "GET", f"http://{leader}:{CONTROL_PORT}/galenarill/config"
            ),
            200,
        )

    run(scenario)
