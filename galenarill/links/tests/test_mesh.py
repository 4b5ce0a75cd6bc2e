"""A message that a handler fails on ends its link, and no other."""

import asyncio
import socket

from galenarill.cluster import Presence
from galenarill.links import Mesh


def _free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def _until(condition):
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the condition did not become true within 10 s")


def test_a_link_comes_back_after_a_handler_has_failed():
    async def scenario():
        addresses = {
            name: f"127.0.0.1:{_free_port()}" for name in ("a", "b", "c")
        }
        received = {name: [] for name in addresses}
        meshes = {}

        def make_handler(name):
            def handle(sender, message):
                received[name].append((sender, message.term))
                if message.term == 13:
                    raise KeyError("unexpected")

            return handle

        for name, address in addresses.items():
            meshes[name] = Mesh(
                name,
                address,
                {k: v for k, v in addresses.items() if k != name},
                b"secret",
                make_handler(name),
                lambda peer, is_up: None,
            )
            await meshes[name].start()
        try:
            await _until(
                lambda: all(
                    len(mesh.connected_peers) == 2 for mesh in meshes.values()
                )
            )
            # `a` dials `b`, so the failing handler runs in the dialling task.
            meshes["b"].send("a", Presence(13, False, ()))
            await _until(lambda: ("b", 13) in received["a"])
            meshes["c"].send("a", Presence(1, False, ()))
            await _until(lambda: ("c", 1) in received["a"])

            def try_again():
                meshes["b"].send("a", Presence(2, False, ()))
                return ("b", 2) in received["a"]

            await _until(try_again)
        finally:
            for mesh in meshes.values():
                await mesh.stop()

    asyncio.run(scenario())
