"""Tests of the faults and links of the soak, without real processes."""

import pathlib
import random
import socket
import struct
import unittest

import anyio
from anyio import abc
from anyio import lowlevel

from wisteriawood.soak import proxies
from wisteriawood.soak import worlds
from wisteriawood.tests import soak_builders


class RecutTests(unittest.TestCase):
    def test_zones_without_living_workers_are_left_alone(self):
        """Guards against a soak that an error of its own fault ends."""

        async def _main():
            world = worlds.SoakWorld(
                seed=1, folder=pathlib.Path(), load_s=1.0, has_lives=True
            )
            for zone in world.zones():
                worker = soak_builders.make_worker(world.checker, f"w-{zone}")
                worker.registration.zone = zone
                worker.crash()
            await world.inject("recut-workers", random.Random(1))
            self.assertTrue(all(w.is_dead for w in world.workers.values()))

        anyio.run(_main)


class ProxyTests(unittest.TestCase):
    async def _reset_while_ending(self, checkpoints):
        """Reset a link some steps after its client has reset a connection."""
        listener = await anyio.create_tcp_listener(local_host=proxies.HOST)
        port = listener.extra(abc.SocketAttribute.local_port)
        proxy = proxies.Proxy(target_port=port)
        await proxy.listen()
        async with (
            listener,
            proxy._listener,
            anyio.create_task_group() as group,
        ):
            group.start_soon(listener.serve, _echo)
            group.start_soon(proxy.run)
            client = await anyio.connect_tcp(proxies.HOST, proxy.port)
            await client.send(b"x")
            await client.receive()
            raw = client.extra(abc.SocketAttribute.raw_socket)
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await anyio.aclose_forcefully(client)
            for _number in range(checkpoints):
                await lowlevel.checkpoint()
            proxy.reset()
            group.cancel_scope.cancel()

    def test_connections_that_have_just_ended_are_reset(self):
        """Guards against a soak that an error of its own link ends."""
        for checkpoints in range(8):
            with self.subTest(checkpoints=checkpoints):
                anyio.run(self._reset_while_ending, checkpoints)


async def _echo(stream):
    async with stream:
        await stream.send(await stream.receive())
        await anyio.sleep_forever()
