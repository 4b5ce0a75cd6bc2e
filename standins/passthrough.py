"""Minimal HTTP proxy, the baseline of the benchmarks."""

import asyncio
import sys

import aiohttp
import uvloop
from aiohttp import web

__all__ = ["main"]


async def _serve(port: int, target: str) -> None:
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
    ) as session:

        async def handle(request: web.Request) -> web.Response:
            body = await request.read()
            async with session.request(
                request.method,
                f"http://{target}{request.rel_url}",
                data=body,
                headers={"Content-Type": request.content_type},
            ) as answer:
                data = await answer.read()
                return web.Response(
                    status=answer.status,
                    body=data,
                    content_type=answer.content_type,
                )

        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()


def main() -> None:
    """Forward requests from a local port to a target address.

    The port and the address, as `host:port`, are command-line arguments.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(int(sys.argv[1]), sys.argv[2]))


if __name__ == "__main__":
    main()
