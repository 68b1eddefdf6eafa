"""Tests of starts without an answer, and of what a restart makes void."""

import unittest

import anyio

from wisteriawood.jobs import specs
from wisteriawood.links import runners
from wisteriawood.tests import builders
from wisteriawood.tests import recut_builders

CELL = "shop@a"
JOB = "0123456789abcdef"
STEP = specs.StepSpec(task_count=1, cpu_millicores=100)


class LateStartTests(unittest.TestCase):
    def _run(self, check, *, workers=2, hosts=1, **fields):
        async def _main(world):
            await anyio.sleep(3)
            holder = world.hosts[world.holder_of(CELL)]._holders[CELL]
            await check(world, holder.cell)

        builders.run_job_world(
            _main,
            zones=["a"],
            hosts_per_zone=hosts,
            workers_per_zone=workers,
            **fields,
        )

    # Guards against an acknowledgement that the next instance gets, so that it
    # forgets an end and its task runs again.
    def test_an_acknowledgement_is_not_repeated_once_it_was_answered(self):
        async def _check(world, cell):
            worker, renewals = cell.fleet["w-a-0"], []
            worker.link = recut_builders.RecordingLink(
                renewals=renewals,
                worker=world.workers["w-a-0"],
                host="host-a-0",
            )
            world.work_s[JOB] = 0.5
            await world.submit_to(CELL, JOB, [STEP])
            await anyio.sleep(6)
            sent = [
                fields["acknowledged"] for _at_s, _born, fields in renewals
            ]
            self.assertEqual([n for n in sent if n], [1])
            self.assertEqual(worker.acknowledged, 1)
            self.assertFalse(world.workers["w-a-0"].has_unacknowledged_ends())

        self._run(_check, workers=1)


class EndedInstanceTests(unittest.TestCase):
    """A start shows that another instance answers, before a report does."""

    def _run(self, check):
        async def _main(world):
            await anyio.sleep(3)
            holder = world.hosts[world.holder_of(CELL)]._holders[CELL]
            await check(world, world.workers["w-a-0"], holder.cell)

        builders.run_job_world(
            _main, zones=["a"], hosts_per_zone=1, workers_per_zone=1
        )

    # Guards against leases, acknowledgements and starts for an instance that
    # has ended, after a misdirected start has shown it.
    def test_nothing_is_sent_to_it_until_the_next_one_is_fenced(self):
        async def _check(world, standin, cell):
            worker, renewals = cell.fleet["w-a-0"], []
            worker.link = recut_builders.RecordingLink(
                renewals=renewals, worker=standin, host="host-a-0"
            )
            world.work_s[JOB] = 20.0
            await anyio.sleep(1.2)
            standin.forwards_calls = True
            token = worker.token
            standin.crash()
            standin.restart()
            with self.assertRaises(runners.MisdirectedError):
                await worker.link.start(
                    runners.StartRunCommand(
                        task_name=f"{JOB}.0.0.0",
                        run=1,
                        payload="",
                        lease_until_ms=worker.lease.granted_until_ms,
                        token=token,
                        started_unix_ms=worker.started_unix_ms,
                        least_clock_ms=worker.lease.least_clock_ms(
                            anyio.current_time()
                        ),
                    )
                )
            former_unix_ms = worker.started_unix_ms
            worker.end_instance(former_unix_ms)
            worker.end_instance(former_unix_ms)
            self.assertEqual(worker.token, token + 1)
            ended_at_s = anyio.current_time()
            await anyio.sleep(0.5)
            self.assertEqual(standin.token, token + 1)
            self.assertEqual(worker.started_unix_ms, standin.started_unix_ms)
            later = [item for item in renewals if item[0] >= ended_at_s]
            at_s, instance, first = later[0]
            self.assertEqual(instance, standin.started_unix_ms)
            self.assertLess(at_s, ended_at_s + 0.05)
            self.assertEqual(
                (
                    first["token"],
                    first["acknowledged"],
                    first["lease_until_ms"],
                    first["started_unix_ms"],
                ),
                (token + 1, 0, 0, 0),
            )

        self._run(_check)
