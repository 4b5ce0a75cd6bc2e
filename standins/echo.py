"""Process that runs fake backend servers for the benchmarks."""

import asyncio
import json
import sys

import uvloop

from standins.server import FakeServer

__all__ = ["main"]


async def _serve(config: dict) -> None:
    servers = []
    for vm in config["vms"]:
        server = FakeServer(
            vm["id"], vm["pool"], config["entry_vms"], config["slots"]
        )
        servers.append(server)
        await server.start(vm.get("port", 0))
    # Each line on standard input requests the servers' records.
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    print("ready", flush=True)
    while await reader.readline():
        print(json.dumps([server.describe() for server in servers]), flush=True)


def main() -> None:
    """Run the backend servers that the JSON argument lists."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(json.loads(sys.argv[1])))


if __name__ == "__main__":
    main()
