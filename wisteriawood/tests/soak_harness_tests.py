"""Tests of the faults and links of the soak, without real processes."""

import pathlib
import random
import socket
import struct
import unittest
from unittest import mock

import anyio
from anyio import abc
from anyio import lowlevel
import httpx

from wisteriawood.links import runners
from wisteriawood.platform import standins
from wisteriawood.platform import worker_client
from wisteriawood.soak import lives
from wisteriawood.soak import proxies
from wisteriawood.soak import worlds
from wisteriawood.standins import runners as run_standins
from wisteriawood.tests import builders
from wisteriawood.tests import soak_builders

ENTRY = runners.Registration(
    worker_id="w", service="s", address="w:80", zone="a"
)


class ShapeTests(unittest.TestCase):
    def test_longest_lease_of_kept_lives_depends_on_the_seed(self):
        kept = [lives.make_shape(seed, True) for seed in range(1, 21)]
        self.assertEqual({s.hold_max_ms for s in kept}, {6_000, 10_000})
        self.assertTrue(all(s.outlives_process for s in kept))
        again = [lives.make_shape(seed, True) for seed in range(1, 21)]
        self.assertEqual(
            [s.hold_max_ms for s in kept], [s.hold_max_ms for s in again]
        )
        plain = [lives.make_shape(seed) for seed in range(1, 21)]
        self.assertEqual({s.hold_max_ms for s in plain}, {10_000})
        self.assertFalse(any(s.outlives_process for s in plain))


class RecutTests(unittest.TestCase):
    def _count_resets(self, outlives_process, is_cut=False):
        """Restart a worker; return how often its link was reset."""
        link = mock.Mock(held=set(proxies.Direction) if is_cut else set())

        async def _main():
            world = worlds.SoakWorld(
                seed=1,
                folder=pathlib.Path(),
                load_s=1.0,
                has_lives=True,
                outlives_process=outlives_process,
            )
            world.hosts["host-a-0"] = mock.Mock()
            for zone in world.zones():
                worker = soak_builders.make_worker(world.checker, f"w-{zone}")
                worker.registration.zone = zone
            world.worker_links["host-a-0"] = dict.fromkeys(world.workers, link)
            await world.inject("recut-workers", random.Random(1))
            lives_of = [w.started_unix_ms for w in world.workers.values()]
            self.assertEqual(sorted(lives_of), [1000, 2000])
            self.assertEqual(link.held, set())

        builders.run_virtual(_main)
        return link.reset.call_count

    def test_connections_outlive_a_process_only_on_request(self):
        # The last reset is that at the end of the cut.
        self.assertEqual(self._count_resets(False), 2)
        self.assertEqual(self._count_resets(True), 1)
        # What an earlier cut holds up is lost.
        self.assertEqual(self._count_resets(True, is_cut=True), 2)

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


class OrderTests(unittest.TestCase):
    async def _restart(self, keep_orders):
        """Restart a worker that owes an answer; return the runs it starts."""
        worker = run_standins.MemoryWorker(
            registration=ENTRY, work_s=lambda _name: 1.0
        )
        worker.keep_orders = keep_orders
        worker.lost_answers = 1
        worker.lost_answer_delay_s = 0.5
        app = standins.WorkerApp(worker=worker, worker_id="w")
        client = worker_client.WorkerClient(
            registration=ENTRY, transport=httpx.ASGITransport(app)
        )
        command = runners.StartRunCommand(
            task_name="j.0.0.0",
            run=1,
            payload="p",
            lease_until_ms=5000,
            token=1,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(worker.run)
            group.start_soon(client.start, command)
            await anyio.sleep(0.1)
            worker.crash()
            worker.restart()
            await anyio.sleep(0.6)
            group.cancel_scope.cancel()
        await client.aclose()
        return [start[:2] for start in worker.starts]

    def test_orders_without_an_answer_are_kept_only_on_request(self):
        for keep_orders, expected in ((False, []), (True, [("j.0.0.0", 1)])):
            starts = builders.run_virtual(self._restart, keep_orders)
            self.assertEqual(starts, expected)


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
