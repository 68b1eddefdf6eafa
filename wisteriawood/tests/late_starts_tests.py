"""Tests of starts without an answer, and of what a restart makes void."""

import unittest
from unittest import mock

import anyio
from anyio import abc

from wisteriawood.cells import command_senders
from wisteriawood.cells import late_starts
from wisteriawood.cells import leases
from wisteriawood.cells import runs
from wisteriawood.cells import start_checks
from wisteriawood import errors
from wisteriawood.jobs import specs
from wisteriawood.links import runners
from wisteriawood.platform import worker_client
from wisteriawood.tests import builders
from wisteriawood.tests import recut_builders

CELL = "shop@a"
JOB = "0123456789abcdef"
HOSTS = {"host-a-0", "host-a-1"}
STEP = specs.StepSpec(task_count=1, cpu_millicores=100)
STANDING_STEP = specs.StepSpec(
    task_count=6, cpu_millicores=100, is_standing=True
)


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

    # Guards against a standing task that is away for 18 s because its start
    # went to a worker that was lost a moment before (LOST).
    def test_a_standing_task_is_not_sent_to_a_worker_that_was_just_lost(self):
        async def _check(world, cell):
            await anyio.sleep(0.2)
            world.work_s[JOB] = 60.0
            lost = world.workers["w-a-0"]
            lost.cut_from |= HOSTS
            sent_at_s = anyio.current_time()
            await world.submit_to(CELL, JOB, [STANDING_STEP])
            await anyio.sleep(4)
            started = [
                (at_s, name)
                for starts in world.starts().values()
                for _run, at_s, name in starts
            ]
            self.assertEqual({name for _at_s, name in started}, {"w-a-1"})
            self.assertEqual(len(started), STANDING_STEP.task_count)
            self.assertLess(max(started)[0], sent_at_s + 3.0)
            self.assertFalse(cell.fleet["w-a-0"].runs)

        self._run(_check)

    # Guards against a wait for the longest lease where every start was
    # answered: a lost worker's tasks run again once its lease has lapsed.
    def test_answered_runs_wait_for_the_lease_only(self):
        async def _check(world, cell):
            world.work_s[JOB] = 60.0
            await world.submit_to(CELL, JOB, [STANDING_STEP])
            await anyio.sleep(2)
            for worker in cell.fleet.values():
                for run in worker.runs.values():
                    self.assertEqual(run.late_start_until_s, 0.0)
            world.workers["w-a-0"].cut_from |= HOSTS
            cut_at_s = anyio.current_time()
            await anyio.sleep(8)
            self.assertFalse(cell.fleet["w-a-0"].runs)
            last_s = max(
                at_s
                for starts in world.starts().values()
                for _run, at_s, _name in starts
            )
            self.assertLess(last_s, cut_at_s + leases.lapse_s(6.0) + 0.5)

        self._run(_check)

    # Guards against a wait for a start that was never sent (LOST).
    def test_only_a_start_that_may_have_been_sent_counts(self):
        async def _main():
            await anyio.sleep(10)
            for error, is_counted in (
                (runners.NotSentError("no connection"), False),
                (runners.RestartedError("another instance"), False),
                (errors.LinkClosedError("no answer"), True),
            ):
                worker = builders.make_run_worker("w", now_s=10.0)
                worker.link = mock.Mock(
                    start=mock.AsyncMock(side_effect=error)
                )
                job = builders.make_job()
                run = runs.Run(
                    job=job, task=job.occurrences[0][0][0], assigned_at_s=10.0
                )
                sender = command_senders.CommandSender(
                    cell=builders.make_cell([worker]), worker=worker
                )
                self.assertIsNone(await sender._send_start(run))
                self.assertEqual(run.late_start_until_s > 0, is_counted)
                worker.close()

        builders.run_virtual(_main)

    # Guards against a start of a run that ended while its worker was asked
    # for an answer, so that its task runs twice.
    def test_a_run_that_ends_meanwhile_is_not_started(self):
        async def _main():
            await anyio.sleep(10)
            worker = builders.make_run_worker("w", now_s=9.0)
            cell = builders.make_cell([worker])
            builders.confirm_views(cell)
            job = builders.make_job(is_standing=True)
            run = runs.Run(
                job=job, task=job.occurrences[0][0][0], assigned_at_s=10.0
            )
            worker.add_run(run)

            async def _renew(**_fields):
                worker.remove_run(run)
                return mock.Mock(started_unix_ms=worker.started_unix_ms)

            worker.link = mock.Mock(
                renew=_renew,
                start=mock.AsyncMock(return_value=runners.StartResult.STARTED),
            )
            sender = command_senders.CommandSender(cell=cell, worker=worker)
            with mock.patch.object(
                start_checks, "find_obstacle", return_value=""
            ):
                await sender._start(run)
            worker.link.start.assert_not_awaited()
            worker.close()

        builders.run_virtual(_main)

    async def _start_at_closed_port(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(abc.SocketAttribute.local_port)
        await listener.aclose()
        client = worker_client.WorkerClient(
            registration=runners.Registration(
                worker_id="w",
                service="s",
                address=f"127.0.0.1:{port}",
                zone="a",
            )
        )
        command = runners.StartRunCommand(
            task_name="j.0.0.0",
            run=1,
            payload="",
            lease_until_ms=1000,
            token=1,
            started_unix_ms=1,
        )
        with self.assertRaises(runners.NotSentError):
            await client.start(command)
        await client.aclose()

    # Guards against the same where nothing listens at the worker's address.
    def test_a_refused_connection_sends_nothing(self):
        anyio.run(self._start_at_closed_port)

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


class BoundTests(unittest.TestCase):
    """Until when a run on a silent worker counts."""

    def _find_end_s(self, longest_lease_s, *, answered_s, renewed_s=0.0):
        """Return the bound of a start without an answer at 100 s."""
        worker = builders.make_run_worker("w", now_s=answered_s)
        worker.lease.longest_s = longest_lease_s
        worker.renewed_at_s = renewed_s
        run = builders.put_run(worker, builders.make_job(), now_s=99.0)
        run.late_start_until_s = 100.0 + late_starts.LATE_ORDER_S
        worker.close()
        return worker.run_ended_at_s(run)

    # Guards against a bound that is shorter than what it consists of: the
    # delay of an order, and the longest lease on a clock that is 2% slow.
    def test_a_late_start_counts_until_the_longest_lease_has_lapsed(self):
        for longest_lease_s, waited_s in ((6.0, 18.27), (10.0, 22.35)):
            found_s = self._find_end_s(longest_lease_s, answered_s=111.9)
            self.assertAlmostEqual(found_s, 100.0 + waited_s)

    # Guards against a renewal that prolongs what a late start has begun.
    def test_a_late_renewal_prolongs_it(self):
        found_s = self._find_end_s(6.0, answered_s=104.0, renewed_s=105.0)
        self.assertAlmostEqual(found_s, 105.0 + 18.27)

    # Guards against a wait for a start that has taken no effect in time.
    def test_a_later_answer_ends_the_wait(self):
        self.assertLess(self._find_end_s(10.0, answered_s=112.0), 112.0)
