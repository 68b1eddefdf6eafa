"""Tests of edges of starts without an answer, and of tokens that rise."""

import unittest
from unittest import mock

import anyio

from wisteriawood.cells import leases
from wisteriawood.links import runners
from wisteriawood.platform import worker_client
from wisteriawood.tests import builders
from wisteriawood.tests import late_starts_builders as edges
from wisteriawood.tests import ownership_builders


class EdgeTests(unittest.TestCase):
    def _run(self, check, *, uptime_s=3.4, longest_lease_s=10.0):
        async def _main(world):
            await anyio.sleep(uptime_s)
            await check(world, world.workers[edges.WORKER])

        builders.run_job_world(
            _main,
            zones=["a"],
            hosts_per_zone=2,
            workers_per_zone=2,
            longest_lease_s=longest_lease_s,
        )

    # Guards against a standing task that is away for 24 s since one answer
    # was lost long ago (LOST): a known instance that answers 12 s after the
    # start shows that no later one can carry it out.
    def test_a_lost_answer_of_long_ago_makes_nothing_wait(self):
        async def _check(world, standin):
            edges.use_link(world, edges.LostStartsLink, is_carried_out=True)
            await edges.submit(world, is_standing=True)
            await anyio.sleep(14)
            lost = set(standin.runs)
            self.assertTrue(lost)
            lost_at_s = anyio.current_time()
            world.lose_worker(edges.WORKER)
            await anyio.sleep(28)
            for name, starts in world.starts().items():
                if name in lost:
                    self.assertLess(
                        starts[-1][1], lost_at_s + leases.lapse_s(6.0) + 1.0
                    )

        self._run(_check)

    # Guards against a start that the row of a release does not name, since it
    # was sent while the row was being stored (TWICE).
    def test_a_start_that_is_sent_while_a_release_is_stored(self):
        async def _check(world, standin):
            link = edges.use_link(
                world, edges.LostStartsLink, is_carried_out=False
            )
            host = world.hosts[world.holder_of(edges.CELL)]
            commit = type(host.store).commit

            async def _commit(store, *args, **fields):
                await anyio.sleep(0.3)
                return await commit(store, *args, **fields)

            with mock.patch.object(type(host.store), "commit", _commit):
                await edges.submit(world)
                while not any(
                    worker.runs
                    for worker in edges.find_cell(world).fleet.values()
                ):
                    await anyio.sleep(0.005)
                await anyio.sleep(0.15)
                async with anyio.create_task_group() as group:
                    group.start_soon(host.drain)
                    # No start is sent from the release on.
                    with anyio.move_on_after(2):
                        while not link.kept:
                            await anyio.sleep(0.005)
                    await anyio.sleep(0.05)
                    standin.crash()
                    standin.cut_from |= edges.HOSTS
            await anyio.sleep(0.3)
            standin.restart()
            await anyio.sleep(5)
            link.carry_out()
            await anyio.sleep(15)
            self.assertEqual(ownership_builders.find_overlaps(world), [])

        self._run(_check)

    # Guards against a start that is carried out late by the next instance of
    # a worker that has drained and left (TWICE).
    def test_a_start_that_runs_late_on_a_worker_that_had_left(self):
        async def _check(world, standin):
            link = edges.use_link(
                world, edges.LostStartsLink, is_carried_out=False
            )
            await edges.submit(world)
            await anyio.sleep(0.25)
            self.assertTrue(link.kept)
            world.drain_worker(edges.WORKER)
            await anyio.sleep(0.2)
            standin.leave()
            world._lost_workers.add(edges.WORKER)
            world.publish_directory()
            await anyio.sleep(3)
            standin.cut_from |= edges.HOSTS
            standin.restart()
            link.carry_out()
            await anyio.sleep(8)
            self.assertEqual(ownership_builders.find_overlaps(world), [])

        self._run(_check)

    # Guards against a cell that is given up as a worker has seen a higher
    # token, which is its holder's own.
    def test_a_call_that_the_own_higher_token_overtakes(self):
        async def _check(world, standin):
            holder = world.holder_of(edges.CELL)
            edges.use_link(world, edges.OvertakenLink)
            await edges.submit(world, tasks=4, is_standing=True)
            await edges.submit(world, tasks=4)
            cell = edges.find_cell(world)
            for _ in range(100):
                self.assertEqual(world.holder_of(edges.CELL), holder)
                await anyio.sleep(0.01)
            self.assertGreater(cell.fleet[edges.WORKER].restarts, 0)

        self._run(_check)

    # Guards against a late renewal of this holder that makes a late start of
    # a former one run on (TWICE).
    def test_a_renewal_that_extends_a_start_of_a_former_holder(self):
        async def _check(world, standin):
            link = edges.use_link(
                world, edges.LostStartsLink, is_carried_out=False
            )
            await edges.submit(world)
            await anyio.sleep(0.2)
            self.assertTrue(link.kept)
            link.carry_out()
            holder = world.holder_of(edges.CELL)
            await world.hosts[holder].drain()
            world.kill_host(holder)
            await anyio.sleep(10.6)
            standin.crash()
            standin.cut_from |= edges.HOSTS
            await anyio.sleep(0.1)
            standin.restart()
            await anyio.sleep(0.2)
            link.carry_out()
            await anyio.sleep(2.5)
            standin.renew(20000)
            await anyio.sleep(12)
            self.assertEqual(ownership_builders.find_overlaps(world), [])

        self._run(_check)

    # Guards against starts on an instance that has not answered the present
    # token: what the former one was sent may make its lease longer (TWICE).
    def test_a_start_before_the_next_instance_has_answered_the_token(self):
        async def _check(world, standin):
            worker = edges.find_cell(world).fleet[edges.WORKER]
            edges.use_link(
                world,
                edges.StalledHoldLink,
                token=worker.token + 1,
                delay_s=0.78,
            )
            standin.crash()
            await anyio.sleep(0.3)
            standin.restart()
            while not worker.restarts:
                await anyio.sleep(0.001)
            await anyio.sleep(0.68)
            standin.renew(18000)
            await edges.submit(world, tasks=8)
            # The tasks may all start elsewhere.
            with anyio.move_on_after(2):
                while not standin.runs:
                    await anyio.sleep(0.001)
            await anyio.sleep(0.02)
            standin.cut_from |= edges.HOSTS
            await anyio.sleep(14)
            self.assertEqual(ownership_builders.find_overlaps(world), [])

        self._run(_check, uptime_s=12.4)


class OddAnswerTests(unittest.TestCase):
    # Guards against the end of an instance that only is unhealthy: the token
    # rises, and its calls under way are fenced.
    def test_an_unhealthy_answer_on_a_new_connection_is_no_restart(self):
        async def _handle(stream):
            async with stream:
                await stream.receive()
                await stream.send(
                    b"HTTP/1.1 503 Unhealthy\r\nContent-Length: 2\r\n\r\n{}"
                )
                await anyio.sleep(0.1)

        async def _main():
            listener = await anyio.create_tcp_listener(
                local_host="127.0.0.1", local_port=0
            )
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, _handle)
                link = worker_client.WorkerClient(
                    registration=runners.Registration(
                        worker_id="w",
                        service="s",
                        zone="a",
                        address=f"127.0.0.1:{port}",
                    )
                )
                try:
                    await link.start(
                        runners.StartRunCommand(
                            task_name="0123456789abcdef.0.0.0",
                            run=1,
                            payload="",
                            lease_until_ms=5000,
                            token=7,
                            started_unix_ms=123,
                        )
                    )
                except runners.RestartedError:
                    self.fail("an unhealthy worker counts as restarted")
                except Exception:
                    pass
                finally:
                    await link.aclose()
                    group.cancel_scope.cancel()

        anyio.run(_main)
