"""A local fleet of the size that users run today."""

import contextlib
import json
import pathlib
import tempfile
from collections.abc import AsyncIterator

from benchmarks.added_cost import spawn
from standins.fleet import LocalFleet

__all__ = [
    "BASE",
    "SITE",
    "start_servers",
    "reference_fleet",
    "read_sent_bytes",
]

BASE = pathlib.Path("examples/base.toml")
SITE = pathlib.Path("examples/printworks/site.toml")
SLOTS_PER_SERVER = 8


@contextlib.asynccontextmanager
async def reference_fleet(with_servers: bool = True) -> AsyncIterator[tuple]:
    """Run eight entry VMs: three, three and two in the three zones.

    Args:
        with_servers: Whether to run backend servers, in separate processes.

    Yields:
        The fleet and the processes of the backend servers.
    """
    with tempfile.TemporaryDirectory(prefix="galenarill-") as folder:
        fleet = LocalFleet(
            pathlib.Path(folder),
            BASE,
            SITE,
            entry_vms_per_zone=3,
            with_servers=False,
        )
        del fleet.entry_vms["entry-az-c-3"]
        servers = await start_servers(fleet) if with_servers else []
        try:
            async with fleet:
                yield fleet, servers
        finally:
            for process in servers:
                process.kill()
                await process.wait()


async def start_servers(fleet):
    """Start the fleet's backend servers, in one process per zone."""
    processes = []
    addresses = [vm.callers for vm in fleet.entry_vms.values()]
    for zone in fleet.zones:
        vms = [
            {"id": name, "pool": vm.pool}
            for name, vm in fleet.settings.settings.vms.items()
            if vm.availability_zone == zone
        ]
        config = {"entry_vms": addresses, "slots": SLOTS_PER_SERVER, "vms": vms}
        process = await spawn("standins.echo", json.dumps(config))
        processes.append(process)
    return processes


async def read_sent_bytes(fleet) -> dict[str, float]:
    """Return the bytes each entry VM has sent over its links, by VM."""
    sent_bytes = {}
    for vm in fleet.entry_vms.values():
        url = f"http://{vm.callers}/metrics"
        async with fleet.session.get(url) as response:
            text = await response.text()
        for line in text.splitlines():
            if line.startswith("galenarill_link_sent_bytes"):
                sent_bytes[vm.id] = float(line.split()[-1])
    return sent_bytes
