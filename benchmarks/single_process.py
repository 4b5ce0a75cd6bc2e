"""Command that checks that the packaged binary runs as a single process.

Run it with `python -m benchmarks.single_process BINARY`.
"""

import asyncio
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from benchmarks.figures import print_result, process_usage
from standins.fleet import LocalFleet

BASE = pathlib.Path("examples/base.toml")
SITE = pathlib.Path("examples/printworks/site.toml")
START_TIMEOUT_SECONDS = 60.0


def _child_pids(pid: int) -> list[str]:
    return pathlib.Path(f"/proc/{pid}/task/{pid}/children").read_text().split()


async def _write_settings(folder: pathlib.Path):
    fleet = LocalFleet(folder, BASE, SITE, zones=("az-a",))
    vm = next(iter(fleet.entry_vms.values()))
    fleet.platform = type("NoPlatform", (), {"address": "127.0.0.1:1"})()
    fleet._write_shared_files()
    fleet.write_settings(vm.id)
    return vm


def main() -> None:
    """Run the binary with a working directory outside the repository."""
    binary = pathlib.Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory(prefix="galenarill-") as name:
        folder = pathlib.Path(name)
        vm = asyncio.run(_write_settings(folder))
        environment = {"PATH": os.environ["PATH"], "HOME": name}
        process = subprocess.Popen(
            [binary, "serve", folder / f"{vm.id}.toml"],
            cwd=folder,
            env=environment,
        )
        try:
            _check_process(process, folder / f"{vm.id}.log")
        finally:
            process.terminate()
            process.wait()


def _check_process(process: subprocess.Popen, log: pathlib.Path) -> None:
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while not log.exists() or "scheduler started" not in log.read_text():
        if time.monotonic() > deadline or process.poll() is not None:
            raise SystemExit(
                "the binary exited or started no scheduler within the timeout"
            )
        time.sleep(0.2)
    children = _child_pids(process.pid)
    print_result("binary_children", len(children), "1")
    print_result("binary_memory", process_usage(process.pid).memory_mib, "MiB")
    if children:
        raise SystemExit(f"the binary has child processes: {children}")


if __name__ == "__main__":
    main()
